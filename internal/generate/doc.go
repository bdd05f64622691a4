// Package generate is the entry node's side of a generation: it picks a
// backend server, forwards the request to the server's owner, passes the
// tokens on, and retries or resumes when something breaks.
//
// # Method
//
// Candidates are the servers that hold the item by the views that nodes share.
// The request goes to the owner of the picked server, which has the deadline
// queue and the exact count in flight; if the owner can't be reached it goes to
// the engine directly. A request that finds no copy waits for one, within its
// deadline.
//
// A failure before the first token is retried on another server if the retry
// policy and the budget allow. After the first token only the same generation
// can go on: it is resumed at the engine from the next offset, through the
// owner or directly. The caller sees each token once and in order, or an error.
//
// # Usage
//
//	r := &generate.Router{Self: "node-1", Views: views, Local: dispatcher, ...}
//	err := r.Do(ctx, generate.Request{...}, emit)
//
// The error is nil after the finish was emitted, else an *outcome.Error.
package generate

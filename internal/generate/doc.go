// Package generate implements the entry node's side of a generation. It picks a
// backend server, forwards the request to the node that owns the server, emits
// the tokens, and retries or resumes after a failure.
//
// # Method
//
// The candidates are the servers that hold the item according to the views that
// nodes share. The request goes to the owner of the picked server, which keeps
// the deadline queue and the exact number of requests in flight. If the owner
// can't be reached, the request goes directly to the engine. A request for an
// item without a copy waits for one within its deadline.
//
// A failure before the first token is retried on another server if the retry
// policy and the budget allow it. After the first token only the same generation
// can continue: it is resumed at the engine from the next offset, through the
// owner or directly. The caller gets each token once and in order, or an error.
//
// # Usage
//
//	r := &generate.Router{Self: "node-1", Views: views, Local: dispatcher, ...}
//	err := r.Do(ctx, generate.Request{...}, emit)
//
// The error is nil after the finish was emitted, else an *outcome.Error.
package generate

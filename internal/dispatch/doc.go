// Package dispatch implements the owner's side of the request path. It holds the
// deadline queue of each backend server that this node owns, sends requests to
// the engine when a slot is free, and returns the replies.
//
// # Method
//
// One core/queue.Queue per server decides which request runs next and which are
// refused. Each request waits in its own goroutine for the queue's verdict.
// Every change of a queue also delivers the verdicts that follow from it, under
// the server's lock.
//
// When the requester of a streamed response is gone, the engine continues for
// ResumeGrace, so that the caller can return through any node and get the rest
// of the response. After that the generation is cancelled. A requester that
// cancels explicitly ends the generation at once.
//
// # Usage
//
//	d := &dispatch.Dispatcher{Log: log, Engine: func(server string) engines.Engine { ... }}
//	d.Acquire("gpu-1", 8)
//	err := d.RunJob(ctx, job, sink)
package dispatch

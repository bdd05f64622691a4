// Package dispatch is the owner's side of the request path: it holds the
// deadline queue of each backend server that this node owns, sends requests to
// the engine when a slot is free, and passes the answers on.
//
// # Method
//
// One core/queue.Queue a server decides what runs next and what is refused. A
// request waits in its own goroutine for the queue's verdict; whoever changes
// the queue also delivers the verdicts that follow from the change, under the
// server's lock.
//
// When who asked for a streamed answer is gone, the engine goes on for
// ResumeGrace, so that the caller can come back through any node and get the
// rest; then the generation is cancelled. An asker that says it cancels ends
// the generation at once.
//
// # Usage
//
//	d := &dispatch.Dispatcher{Log: log, Engine: func(server string) engines.Engine { ... }}
//	d.Own("gpu-1", 8)
//	err := d.Do(ctx, job, sink)
package dispatch

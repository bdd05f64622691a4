// Package soak runs the real programs as processes on one machine, injects faults from
// outside, and checks from what clients and backend servers observe that the system's
// invariants hold at all times.
//
// All random choices derive from the seed: which faults occur, when, and how long they last.
// Faults come in series and overlap. The soak starts the processes itself and ends them by
// process ID.
//
// # Invariants
//
// The soak checks that:
//
//   - A successful response is complete and belongs to its request.
//   - The events of a stream arrive in order and exactly once.
//   - A request that must not run twice never does.
//   - A request that was refused as not run never runs.
//   - A node never returns to an older configuration.
//   - An engine never gets orders from two nodes under one epoch.
//   - No engine is loaded beyond its memory.
//   - No API key reaches a server, and neither does a request whose key was revoked
//     early enough; a server gets the team of each request.
//   - A team gets no more tokens served than its quota and the tolerance allow.
//   - A server that announces that it leaves, asks a node to back off or sets a rate
//     gets no more requests than that allows.
//   - Nodes that have lost their path to all servers serve about as often as others.
//   - Brittle servers aren't sent so much that they fall over.
//   - Requests with a part of their prompts that crashes servers are refused soon after the fifth crash, and copies of a request that
//     does soon after the third.
//   - A node that gets most requests serves them about as often as all nodes did before, also with a share of a processor.
//   - Hardly any request reaches a server later than 0.5 s after its client has left, and servers end most of their work by then.
//   - Requests that servers handle for longer than the timeout of their route have a final answer 0.5 s after it.
//   - When all faults have ended, every node serves again, and requests of each kind are served as well, also those that were in flight when
//     all servers of a service ended.
//
// # Usage
//
//	r := &soak.Run{Binary: "bin/guavapaddle", Seed: 7, Duration: 20 * time.Second, Nodes: 4, Log: os.Stderr}
//	violations, err := r.Do(ctx)
package soak

// Package soak runs the real programs as processes on one machine, injects
// faults from outside them, and checks what must hold at all times from what
// clients and backend servers see.
//
// Everything random comes from the seed: which faults come when, and how long
// they last. Faults come in series and overlap. Processes are started by the
// soak and ended by their ids.
//
// What is checked: an answer with a success is whole and its request's own; the
// events of a stream come in order, each once; a request that must not run twice
// never does; one that was refused as not run never runs; a node never goes back
// to an older configuration; orders to an engine never come under an older
// epoch after a newer one, or from two nodes under one; no engine is loaded
// beyond its memory; no key reaches a server, nor does a request whose key was revoked
// in time, and a server is told whose request it is; a team has no more tokens served
// than its quota and the tolerance allow; a server that says that it leaves, asks a node for
// rest or names a rate gets no more than that allows; and when all faults have ended, every node serves again.
//
// # Usage
//
//	r := &soak.Run{Binary: "bin/guavapaddle", Seed: 7, Duration: 20 * time.Second, Nodes: 4, Log: os.Stderr}
//	violations, err := r.Do(ctx)
package soak

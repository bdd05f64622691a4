// Package planner learns the demand of a node's callers, reports it to the node
// that plans, and plans while this node is the one.
//
// # Method
//
// Every node reports its demand to the live node that rendezvous hashing
// chooses. That node plans with core/place and tells each owner what its servers
// should hold; only owners give orders. Two nodes that plan at once cost moves,
// never safety. Reports grow rarer with the count of nodes, plans are told only
// when they changed, are not followed yet, or were told long ago, and planning
// takes a hundredth of a processor at most.
//
// # Usage
//
//	p := &planner.Planner{Self: name, Policy: policy, Demand: planner.NewDemand(), ...}
//	go p.Run(ctx)
//	p.Receive(from, frame)
package planner

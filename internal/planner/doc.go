// Package planner estimates the demand of a node's callers, reports it to the
// planning node, and plans the placement while this node is the planning node.
//
// # Method
//
// Rendezvous hashing selects the planning node among the live nodes. All nodes
// report their demand to it. It plans with core/place and sends each owner the
// planned items of its servers; only owners send orders to engines. If two nodes
// plan at the same time, this causes unnecessary moves but never affects safety.
//
// The cost is bounded: the report interval grows with the number of nodes; a plan
// is sent only if it changed, if the server does not follow it yet, or if it was
// last sent long ago; and planning uses at most one hundredth of a processor.
//
// # Usage
//
//	p := &planner.Planner{Self: name, Policy: policy, Demand: planner.NewDemand(), ...}
//	go p.Run(ctx)
//	p.Receive(from, frame)
package planner

// Package experiment runs a seeded load against whole nodes and stand-ins in
// one process, over real sockets, and reports what became of the requests.
//
// # Method
//
// Package lab starts the platform, the engines and the nodes. The engines hold
// a first placement from the start, so that a run doesn't begin with a hundred
// loads. A balancer that takes a node at random stands before the nodes: it
// sends a request whose connection was refused to another node, and a caller
// whose stream broke comes back with Last-Event-ID through another node.
//
// Times count from the intended send time. Each answer is held against the
// tokens that the stand-in must give. Loads are seen in the engines' own
// inventories. Delays between data centres and to clients are not part of a
// run; they add at most twice Deployment.Delay a hop.
//
// # Usage
//
//	s := experiment.Settings{Deployment: workload.Corella(), Policy: "home", Seed: 1}
//	summary, err := s.Run(ctx)
package experiment

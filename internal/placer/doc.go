// Package placer implements the duties of the leader: it acquires and renews the lease,
// collects the demand from all nodes, and orders the model engines to load and unload.
//
// Every order names the incarnation of the engine, the epoch of the leader, and the number
// of orders that the engine must have accepted before. This sequence number makes an order
// whose reply was lost harmless: until the engine's state is known, the next order carries
// the same number, so that the engine executes at most one of them. Memory that an
// unanswered order may have taken stays accounted for until a report of the engine shows
// otherwise.
//
// # Usage
//
//	p := &placer.Placer{Store: store, Engines: engines, Hub: &hub.Hub{}, Elector: elector, Clock: bootClock}
//	go p.Run(ctx)
//	p.SetServers(list)
//	p.SetConfig(config)
//	reply := p.RequestLoad(ctx, hub.LoadRequest{Service: "drafter", Model: "m1", Adapter: "a3"})
package placer

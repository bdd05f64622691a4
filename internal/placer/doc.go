// Package placer is the work of the node that holds the lease: it takes the
// lease, learns from all nodes what is asked for, and orders the model engines
// to load and unload.
//
// Every order names the incarnation of the engine, the holder's epoch, and the
// number of orders that the engine must have accepted before. The last one
// makes an order whose answer was lost harmless: until the engine has said
// what it did, the next order carries the same number, so that at most one of
// them is ever carried out. What an unanswered order may have loaded keeps its
// memory in the ledger until a report says more.
//
// # Usage
//
//	p := &placer.Placer{Store: store, Engines: engines, Hub: &hub.Hub{}, Keeper: keeper, Clock: bootClock}
//	go p.Run(ctx)
//	p.Servers(list)
//	p.Config(config)
//	offer := p.Want(ctx, hub.Want{Service: "drafter", Model: "m1", Adapter: "a3"})
package placer

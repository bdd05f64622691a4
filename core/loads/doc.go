// Package loads limits the rate at which models are loaded from the weight store, whichever
// node orders the loads.
//
// # Method
//
// A load counts from the moment it is planned. Once an engine has started it, it counts for
// one window more. An order without an answer may start seconds later, at any time while the
// engine has accepted exactly as many orders as the order states: it counts until that is
// ruled out, and for one window beyond. An engine starts at most one of several orders with
// the same number, so these count once.
//
// A node that takes over the ordering inherits the counts that its predecessor handed over.
// A predecessor that stopped without a handover may have started as many loads as a window
// allows.
//
// The weight store can serve slightly more than its rate. Definite loads stay within the
// rate, and definite and possible loads together stay within the capacity, so that a few
// unacknowledged orders do not delay others.
//
// # Usage
//
//	b := &loads.Budget{Window: 5 * time.Second, OrderLifetime: 13 * time.Second}
//	if b.Remaining(now, rate) > 0 {
//		b.Plan(now, "engine-1")
//	}
//	b.Send(now, "engine-1", 7)           // valid while the engine has accepted seven orders
//	b.Accept(now, "engine-1", 7, true)   // the engine has started the load
//
// A Budget is not safe for concurrent use.
package loads

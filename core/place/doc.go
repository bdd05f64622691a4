// Package place decides which backend server holds which models and adapters.
//
// A Planner turns the declared items, the servers with what they hold, and the
// demand that nodes told of into a plan: the items each server should hold.
// Only the owner of a server gives orders; a plan is a proposal. The same input
// gives the same plan at every node.
//
// # Method
//
// Gain starts from what the servers hold now, so that nothing moves without a
// cause. First every declared item without a copy gets one, then every item its
// least number of copies, in two data centres where memory allows. Then copies
// are added one after the other, the highest net gain per byte first.
//
// The gain of a copy, in requests a second met in time and weighted by urgency,
// is the share of the item's requests that its present servers have no capacity
// for and the new server has, plus a part that halves with each copy for bursts
// and the loss of a server. A copy is added only if its gain over Horizon, less
// the loss of the copies that make room for it, exceeds the price of a move.
// Copies are not dropped to have room, only to use it.
//
// The memory of a plan is the bytes of all its items on a server plus the
// largest load peak among them, and never exceeds the server's memory less its
// KV reserve and what else is held there.
//
// Anchors makes dropping safe although owners act on different, old views: the
// holders of an item are ranked by rendezvous hash, and the first of them never
// drop it. The first of all holders sees no better one in any view, new or old,
// so it stays whatever the others believe.
//
// # Usage
//
//	var p place.Planner = &place.Gain{}
//	out := p.Plan(now, in)
//	load(out.Plan["e1"])
//
// Before an owner drops an item it must check MayDrop with its own view, unless
// the output says MayDropLast.
package place

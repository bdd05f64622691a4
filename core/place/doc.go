// Package place computes which backend server should hold which models and adapters.
//
// A Planner maps the declared items, the servers with their current contents, and the demand
// reported by the nodes to a plan: the set of items that each server should hold. A plan is
// a proposal; only the owner of a server orders changes on it. Planners are deterministic:
// equal inputs give equal plans on every node.
//
// # Method
//
// Gain starts from the current contents of the servers, so that it proposes no move without
// a reason. It first gives every declared item without a copy one, then brings every item to
// its minimum number of copies, in two data centres where memory allows. It then adds copies
// greedily, in descending order of net gain per byte.
//
// The gain of a copy is measured in requests a second that are served in time, weighted by
// urgency. It is the rate of the item's requests that exceed the capacity of its present
// servers and that the new server can take, plus a redundancy term for bursts and the loss
// of a server; the part for losses halves with each copy. A copy is added only if its gain over Horizon, minus the loss from the copies evicted for it, exceeds the
// price of a move. Copies are evicted only to make room for another copy, never to keep
// memory free.
//
// The memory that a plan uses on a server is the sum of the sizes of its items plus the
// largest load peak among them. It never exceeds the server's memory minus its KV reserve
// and the memory of items that are unloading or in an unknown state.
//
// Owners may act on different and outdated views, so the last copy of an item needs
// protection against concurrent drops. Anchors ranks the holders of an item by rendezvous
// hash, and the first minCopies of them must not drop it. The holder that ranks first among
// all holders ranks first in every view, old or new, so it keeps its copy whatever the other
// owners believe.
//
// # Usage
//
//	var p place.Planner = &place.Gain{}
//	out := p.Plan(now, in)
//	load(out.Plan["e1"])
//
// Before an owner drops an item it must check MayUnload against its own view, unless
// Output.MayUnloadLast is set.
package place

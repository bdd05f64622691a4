// Package leader decides which node gives orders to the model engines of the
// whole deployment, by one lease with an epoch in the platform's store.
//
// # Method
//
// The lease is one row that its holder rewrites each third of its time to
// live. Another node may take it only after it has seen the row unchanged for
// the time to live and a margin, by its own clock that also counts the time
// for which the VM was suspended; it writes the next epoch under the condition
// that the row is still the one it saw. The epoch fences orders: engines
// refuse one that is lower than any they have seen.
//
// The row may be learned from the holder itself: it tells a version only after
// it has written it, so a rival that counts from then waits no less than one
// that reads the store. Without that, rivals that hear the holder and don't read
// would begin to wait only once it has fallen silent.
//
// A process takes the lease of an earlier process of its own node at once, since
// that one must have ended. When all nodes lose power together this saves the
// time to live, in which no adapter or model would be loaded.
//
// The holder counts its lease from the moment before it sent the renewal. When
// a renewal has no answer its fate is open: the next one learns of it from the
// row that the store returns.
//
// Weighed against one lease for each backend server (core/lease): here one
// node reads the state of at most a few hundred engines and meters loads from
// the weight store as one budget, which single owners can't, and the request
// path needs no owner since it sends to engines directly.
//
// # Usage
//
//	k := &leader.Keeper{Self: leader.Lease{Node: "n1", Incarnation: "x"}, TTL: 3 * time.Second}
//	k.Observe(now, lease, version)
//	if l, version, ok := k.Propose(now); ok {
//		// write l under the condition that the row has that version
//		k.Won(sent, l, newVersion)
//	}
//	if epoch, ok := k.Epoch(now); ok { order(epoch) }
//
// Times are durations on a clock that never stands still. A Keeper is not safe
// for concurrent use.
package leader

// Package leader elects the node that sends orders to the model engines of the
// whole deployment, by a single lease with an epoch in the platform's store.
//
// # Method
//
// The lease is one row that the leader rewrites three times within its time to
// live. Another node may take it only after it has seen the row unchanged for the
// time to live plus a margin, measured by a local clock that also counts the time
// for which the VM was suspended. It writes the next epoch on the condition that
// the row is still the one that it saw. The epoch fences orders: engines refuse an
// order with an epoch lower than any that they have seen.
//
// Nodes may learn the row from the leader itself. The leader sends a version only
// after it has written it, so a node that counts from then waits no less than one
// that reads the store. Otherwise nodes that are connected to the leader and don't
// read the store would start to wait only after it has stopped sending.
//
// A process takes over the lease of an earlier process of its own node at once,
// because that process must have ended. When all nodes lose power together this
// saves the time to live, during which no adapter or model would be loaded.
//
// The leader counts its lease from the moment before it sent the renewal. A
// renewal without an answer has an unknown outcome, which is learned from the row
// that the store returns next.
//
// The store may be restored from a copy that lacks the last acquisitions. Its
// revisions are ordered by era, so the restored row replaces the one known before,
// and epochs are assigned from a range that depends on the era, so none is assigned
// twice. A row that was last written in an earlier era doesn't show who held the
// lease when the store was restored. Only the node whose own lease can't have been
// taken by another one acquires it again at once; all others wait for the time to
// live plus the margin, even if the row names no node, or their own.
//
// The alternative is one lease for each backend server (core/lease). With a single
// lease, one node reads the state of at most a few hundred engines and can meter
// loads from the weight store as one budget, which owners of single servers can't.
// The request path needs no owner since requests are sent to engines directly.
//
// # Usage
//
//	e := &leader.Elector{Self: leader.Lease{Node: "n1", Incarnation: "x"}, TTL: 3 * time.Second}
//	e.Observe(now, lease, revision)
//	if l, expected, ok := e.Propose(now); ok {
//		// write l on the condition that the row has that revision
//		e.Acquired(sent, l, newRevision)
//	}
//	if epoch, ok := e.Epoch(now); ok { order(epoch) }
//
// Times are durations on a monotonic clock that also runs while the VM is
// suspended. An Elector is not safe for concurrent use.
package leader

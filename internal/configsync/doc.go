// Package configsync applies configuration documents to the platform and keeps
// a node at the newest one.
//
// The body of a document is stored in the object store under its hash, then
// the head row of the table is advanced by compare-and-set. What that means
// when operators race or answers are lost is decided by core/config/head.
//
// # Usage
//
// An operator's command applies:
//
//	a := &configsync.Applier{Table: t, Store: s, Operator: "kim"}
//	applied, err := a.Apply(ctx, doc)
//
// Every failure is a *ConflictError (another operator won), *UnknownError (the
// write may still take effect) or *UnavailableError (nothing was changed).
//
// A node follows:
//
//	f := &configsync.Follower{Table: t, Store: s, Peers: peers, OnChange: use}
//	go f.Run(ctx)
//	f.Hint(version, hash) // from each digest of a peer
//	admit := f.Fresh()
//
// The head is polled slowly, as peers tell of new versions within a gossip
// round; the period grows with the number of nodes so that all nodes together
// stay below Follower.MaxReads reads a second.
//
// After its start and after a pause of its process a node is not fresh until
// the head was read or a fresh peer answered, in reply to a question asked
// since. If the table is down and all peers answer without being fresh, or
// nobody answers for Follower.TrustAfter, it takes the newest version that it
// knows: nodes that were all paused in an outage would else wait for each
// other.
package configsync

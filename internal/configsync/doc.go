// Package configsync applies configuration documents to the platform and keeps
// a node at the newest one.
//
// The body of a document is stored in the object store under its hash, then
// the head row of the table is advanced by compare-and-set. Package
// core/config/head evaluates the result when operators race or replies are lost.
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
//	f.AddHint(version, hash) // from each gossip digest of a peer
//	admit := f.Fresh()
//
// The head is polled at a low rate, as new versions are gossiped by peers within
// one round. The period grows with the number of nodes so that all nodes together
// stay below Follower.MaxReads reads per second.
//
// After its start and after a pause of its process a node is stale until it has
// read the head or received a fresh peer's reply to a query sent since then. If
// the table is down and all peers reply without being fresh, or no fresh peer
// replies for Follower.AssumeAfter, the node assumes that the newest version it
// knows is current: otherwise nodes that were all paused during an outage would
// wait for each other.
package configsync

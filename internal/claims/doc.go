// Package claims keeps the claims of core/claim in the platform's table.
//
// Many claims and stored answers go in one transaction: the first goes at once,
// the next transaction no sooner than Spacing later, with all that came in
// between. So a node makes at most 1/Spacing transactions a second whatever the
// load, and waits for none when it is idle. A conflict of one claim does not
// fail the others, which go again without it. When the answer of a transaction
// is lost all its rows are read back.
//
// When the table is down, a claim is refused as not run at once: after a failure
// without even trying, until the table answers a read. An insert that was given up with its fate
// unknown is settled in the background: its row is released, or written as
// released if it is absent, so that neither the insert nor a late copy of it
// keeps the call from being claimed by a repeat. Answers and releases are kept
// in memory and written until they take effect.
//
// # Usage
//
//	s := &claims.Store{Table: table, Objects: objects, Node: "n1", Incarnation: 4}
//	go s.Run(ctx)
//	g, err := s.Claim(ctx, claims.Call{Team: "corella", Key: key, ...})
//	switch {
//	case err != nil:        // tell the caller
//	case g.Stored != nil:   // give the stored answer
//	default:                // send, then Finish, MarkUnknown or Release g.Held
//	}
//	s.Flush(ctx) // before the node stops
package claims

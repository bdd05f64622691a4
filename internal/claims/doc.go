// Package claims keeps the claims of core/claim in the platform's table.
//
// Claims and stored answers are written in batches: the first change is written
// at once, and the next transaction starts no sooner than Spacing later, with all
// changes submitted in between. So a node makes at most 1/Spacing transactions per
// second under any load, and an idle node writes without delay. A conflict of one
// claim does not fail the others: they are written again without it. If the reply
// to a transaction is lost, all its rows are read back.
//
// When the table is down, claims are refused as not run: the first ones after
// their transaction failed, later ones without a transaction until the table
// answers a read. An
// abandoned insert with an unknown outcome is settled in the background: its row is
// released, or written as released if it is absent, so that neither the insert nor
// a late copy of it prevents a retry from claiming the call. Answers and releases
// are kept in memory and written until they take effect.
//
// # Usage
//
//	s := &claims.Store{Table: table, Objects: objects, Node: "n1", Incarnation: 4}
//	go s.Run(ctx)
//	g, err := s.Claim(ctx, claims.Call{Team: "corella", Key: key, ...})
//	switch {
//	case err != nil:        // return err to the caller
//	case g.Stored != nil:   // return the stored answer
//	default:                // send the call, then Finish, MarkUnknown or Release g.Held
//	}
//	s.Flush(ctx) // before the node stops
package claims

// Package head decides which version of the configuration is in force.
//
// The head row of the table service holds the version, hash and apply id of the
// newest accepted document. One transaction advances it by compare-and-set from
// the revision that the operator read and writes a history row of the new
// version. If two operators race, exactly one wins, and both can determine the
// winner, even if the response to their write was lost and others have advanced
// the head since. A document's body is written to the object store under its
// hash before the head refers to it.
//
// # Usage
//
// An operator sends a proposal and, if the response is lost, determines the
// outcome:
//
//	p, err := head.Propose(headRow, hash, applyID, operator, nowUnixMS)
//	result, err := table.Transact(ctx, p.Tx)
//	verdict := head.Judge(p.Head, headRow, historyRow)
//
// A proposal whose verdict is Pending may be resent unchanged, as it takes effect
// at most once.
//
// A node tracks the head with a Follower, an immutable value whose versions
// never decrease:
//
//	t := f.QueryStamp()
//	read the head row
//	f, err = f.WithRead(t, ref)
//	if ref, ok := f.Missing(); ok { fetch the body of ref.Hash }
//	f = f.WithAdopted(ref)
package head

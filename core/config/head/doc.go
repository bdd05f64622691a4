// Package head decides which version of the configuration is in force.
//
// The head row of the table service holds the version, hash and apply id of
// the newest accepted document. It is advanced by compare-and-set from the
// revision that the operator read, together with a history row of the new
// version, so that of two racing operators one wins and both can find out who
// did, also when the answer to their write was lost and others have advanced
// the head since. The body is in the object store under its hash before the
// head names it.
//
// # Usage
//
// An operator proposes and, if the answer is lost, judges:
//
//	p, err := head.Propose(headRow, hash, applyID, operator, nowUnixMS)
//	result, err := table.Transact(ctx, p.Tx)
//	verdict := head.Judge(p.Head, headRow, historyRow)
//
// A proposal whose verdict is Pending may be sent again as it is: it takes
// effect at most once.
//
// A node keeps a Follower, an immutable value that only moves forward:
//
//	t := f.Ticket()
//	read the head row
//	f, err = f.WithRead(t, ref)
//	if ref, ok := f.Want(); ok { fetch the body of ref.Hash }
//	f = f.WithAdopted(ref)
package head

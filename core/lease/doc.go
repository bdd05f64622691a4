// Package lease decides which node owns a backend server, by leases with
// epochs in the table service.
//
// # Method
//
// A node has one session, a row that it renews each third of its time to live.
// The row of a backend server names the session that owns it and the epoch, and
// is written only when the owner changes or when the owner records orders.
// The lease of a server is as good as the session of its owner. To take a
// server from another session, a rival must have seen that session's row
// unchanged for its time to live and a margin, by the rival's own monotonic
// clock; it then deletes the session's row and writes the server's row with
// the next epoch in one transaction that demands both revisions. A session
// that was deleted can never be renewed again, so its node learns at the next
// renewal that it has lost everything.
//
// The owner counts its session from the moment before it sent the renewal and
// may send an order only if now + margin < start + time to live. After a gap in
// its own ticks nothing may be sent until a renewal that began after the gap
// was committed. The wall clock serves only to notice that the monotonic clock
// stood still, as it does while a VM is suspended.
//
// Weighed against one lease row a server, renewed together in one transaction
// a node: at 350 nodes, 600 servers and 6 s that is 300 rows written a second
// with conflicts to drop and retry; sessions need 175 rows in as many
// transactions, a conflict has one meaning, and hand-over of one server does
// not disturb the renewal of the others. The price is that a session ends as
// a whole.
//
// # Usage
//
// A Book holds what one node knows. It asks for transactions and is told rows:
//
//	tx := book.Renew(now)
//	result, err := table.Transact(ctx, tx)
//	switch {
//	case err == nil && result.Committed:
//		book.Committed(now, tx, result.Revision)
//	case err == nil:
//		book.Observe(now, result.Conflicts...)
//	default: // the fate is unknown: read back
//		book.Observe(now, read(book.Keys(tx)...)...)
//	}
//	if epoch, ok := book.MaySend(now, server); ok { ... }
//
// All times are monotonic and counted from any fixed moment of the process.
// A Book is not safe for concurrent use.
package lease

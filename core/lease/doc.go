// Package lease decides which node owns a backend server. It implements leases
// with epochs on rows of the table service.
//
// # Method
//
// Each node has one session, a row that it renews every third of its time to
// live. The row of a backend server contains the id of the session that owns the
// server and the epoch. It is written only when the owner changes or records
// orders. The lease of a server is valid as long as the session of its owner.
//
// To acquire a server from another session, a node must have observed that
// session's row unchanged for its time to live plus a margin, measured with its
// own monotonic clock. It then deletes the session's row and writes the server's
// row with the next epoch, in one transaction that requires the observed
// revisions of both. A deleted session can't be renewed, so its node learns at
// the next renewal that it has lost all its servers.
//
// The owner counts the session's time to live from just before it sent the
// renewal, and may send an order only if now + margin < start + time to live.
// After a gap in its own ticks it sends nothing until a renewal that started
// after the gap was committed. The wall clock is used only to detect that the
// monotonic clock stopped, as it does while a VM is suspended.
//
// The alternative is one lease row per server, with all renewals of a node in
// one transaction. With 350 nodes, 600 servers and a time to live of 6 s it
// writes 300 rows per second, and each conflict requires removing that row from
// the transaction and retrying. Sessions write 175 rows per second in as many
// transactions, a conflict always means that the session has ended, and handing
// over one server does not affect the renewal of the others. The drawback is
// that a session ends for all its servers at once.
//
// # Usage
//
// A Registry holds what one node knows. It returns transactions to commit and is
// updated with the resulting rows:
//
//	tx := registry.Renew(now)
//	result, err := table.Transact(ctx, tx)
//	switch {
//	case err == nil && result.Committed:
//		registry.Committed(now, tx, result.Revision)
//	case err == nil:
//		registry.Observe(now, result.Conflicts...)
//	default: // the outcome is unknown: read back
//		registry.Observe(now, read(registry.WriteKeys(tx)...)...)
//	}
//	if epoch, ok := registry.MaySend(now, server); ok { ... }
//
// All times are monotonic and relative to an arbitrary fixed moment in the
// process. A Registry is not safe for concurrent use.
package lease

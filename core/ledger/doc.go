// Package ledger accounts for the accelerator memory of one backend server, from
// the knowledge of the node that owns it, and decides every order to load or
// unload an item.
//
// # Method
//
// Each item is absent, reserved, loading, resident, unloading or uncertain. In
// every state except absent the ledger reserves the item's bytes, and until the
// item is observed resident also the additional memory that loading needs at its
// peak. Only Reserve permits an order, and it reserves the bytes before the
// order is sent. Bytes are freed only when it is certain that they are not
// needed: the engine's inventory no longer contains an item that it contained
// before, or an order that was sent can no longer take effect.
//
// An order can no longer take effect after
//   - the engine definitely refused it, if it was sent only once;
//   - the fence was raised to a higher epoch, on a server that checks fencing
//     numbers: Adopt then starts from the inventory alone;
//   - its lifetime has passed, on a server that doesn't check. The lifetime
//     counts from the end of the last call that carried the order. For an order
//     recorded by an earlier owner it counts from the acquisition of the server,
//     after which the earlier owner's lease no longer permits sending;
//   - the engine reported a new boot id, if the old boot was still observed after
//     the last call ended. If the call ended later, the order may have reached
//     the new boot.
//
// The expiry of a lease alone is not sufficient. An order that is sent again
// keeps its id, so that the engine executes it at most once per boot. Each item
// has at most one unsettled order.
//
// # Assumptions
//
// An engine that has completed a load ignores the same order id until it
// restarts; nothing is assumed after a load that failed. A server that checks
// fencing numbers does so when the order takes effect. On a server that doesn't,
// an order takes effect within its lifetime after its sender checked the lease,
// or never. A connection does not outlive the engine's process.
//
// # Usage
//
//	l.Adopt(now, epoch, inventory, inherited)
//	order, err := l.Reserve(now, backend.Load, item, cost, nil)
//	// on a server that doesn't check, first store l.Records() in the table
//	l.RecordSend(now, order.OrderID)
//	l.RecordResult(now, order.OrderID, ledger.Accepted)
//	l.Observe(requestedAt, now, inventory)
//
// Times are monotonic and relative to an arbitrary fixed moment in the process.
package ledger

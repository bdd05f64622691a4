// Package ledger keeps the accelerator memory of one backend server, as its
// owner knows it, and decides every order to load or unload.
//
// # Method
//
// Each item is absent, reserved, loading, resident, unloading or uncertain. All
// states but absent hold the item's bytes; until the item is seen resident they
// also hold the extra that loading needs at its peak. Reserve is the one
// function that allows an order, and it takes the bytes before the order is
// sent. Bytes are given back only on proof: the engine's inventory no longer
// has an item that it had, or an order that was sent can no longer take effect.
//
// That an order can no longer take effect is proved by
//   - the engine's definite refusal, if the order was sent only once;
//   - a higher epoch, on a server that checks fencing numbers, once the fence is
//     raised: Adopt then starts from the inventory alone;
//   - the order's lifetime, on a server that doesn't check, counted from the end
//     of the last call that carried it or, for an order that an earlier owner
//     recorded, from the moment the server was taken, after which the earlier
//     owner's lease no longer lets it send;
//   - a new boot id, if the old boot was still seen after the last call ended:
//     an order whose call ended later may have reached the new boot.
//
// A lapsed lease proves nothing. An order that is sent again keeps its id, so
// that the engine does it once in a boot, and there is at most one unsettled
// order an item.
//
// # Assumptions
//
// An engine that has done a load does the same order id no more in that boot;
// of a load that failed nothing is assumed. A server that checks compares
// the fencing number when the order takes effect. On a server that doesn't,
// an order takes effect within its lifetime after its sender checked the lease,
// or never. A connection does not outlive the engine's process.
//
// # Usage
//
//	l.Adopt(now, epoch, inventory, inherited)
//	order, err := l.Reserve(now, backend.Load, item, cost, nil)
//	// a server that doesn't check: keep l.Records() in the table first
//	l.Sending(order.OrderID)
//	l.Answered(now, order.OrderID, ledger.Accepted)
//	l.Observe(began, now, inventory)
//
// Times are monotonic and counted from any fixed moment of the process.
package ledger

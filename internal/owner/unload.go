package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/backend"
	"guavapaddle/core/ledger"
)

// unload orders an item to be unloaded, or tells why not.
//
// Two owners that each see the other's copy could unload both. So whoever
// unloads something that is declared first claims its name in the table, and
// then asks the engine that has another copy, not the views. The claim stays
// until the order is settled.
func (w *worker) unload(ctx context.Context, item backend.Item) Reason {
	if _, declared := w.catalog.declared[nameOf(item)]; !declared {
		return w.reserveUnload(ctx, item, nil)
	}
	if w.o.LastCopy != nil && w.o.LastCopy(item, w.name) && !w.servedHere(item) {
		return w.refuse(item, backend.Unload, Reason(ledger.LastCopy))
	}
	got, ok, err := w.o.claims.acquire(ctx, w.name, item, w.claimTTL(), unloadPrefix+nameOf(item))
	if err != nil || !ok {
		return w.refuse(item, backend.Unload, Claimed)
	}
	last := func(i backend.Item) bool { return !w.servedHere(i) && !w.servedElsewhere(ctx, i) }
	w.unloads[item] = got
	reason := w.reserveUnload(ctx, item, last)
	if reason != allowed {
		w.endClaim(ctx, w.unloads, item)
	}
	return reason
}

// inherit takes over the claims of unloads that earlier owners of the server
// left: only its owner can know that such an order can't take effect any more,
// and until then nobody else may unload the name.
func (w *worker) inherit(ctx context.Context) {
	names := slices.Sorted(maps.Keys(w.catalog.declared))
	left, err := w.o.claims.left(ctx, w.name, names)
	if err != nil {
		return // tried again in the next round
	}
	w.inherited, w.heir = left, true
}

// endInherited ends the claims that were taken over and whose order is settled
// by the ledger: the item is absent or resident and no order is open.
func (w *worker) endInherited(ctx context.Context) {
	for item := range w.inherited {
		e := w.ledger.Entry(item)
		if e.Order.OrderID == "" && (e.State == ledger.Absent || e.State == ledger.Resident) {
			w.log.Info("claim of an earlier owner ended", zap.Stringer("item", item))
			w.endClaim(ctx, w.inherited, item)
		}
	}
}

// reserveUnload lets the ledger decide and sends the order.
func (w *worker) reserveUnload(ctx context.Context, item backend.Item, last func(backend.Item) bool) Reason {
	order, err := w.ledger.Reserve(w.o.now(), backend.Unload, item, ledger.Cost{}, last)
	if err != nil {
		return w.refuse(item, backend.Unload, reasonOf(err))
	}
	return w.send(ctx, order)
}

// claimTTL returns how long the claim of an unload counts if its owner doesn't
// end it.
func (w *worker) claimTTL() time.Duration {
	switch {
	case w.server.ChecksOrders:
		return unloadTTL
	case w.server.OrderLifetimeMS == 0:
		return foreverTTL
	}
	return unloadTTL + time.Duration(w.server.OrderLifetimeMS)*time.Millisecond
}

// servedHere tells whether this server has the version that replaces an item.
func (w *worker) servedHere(item backend.Item) bool {
	for _, i := range w.ledger.Serving() {
		if i != item && w.catalog.replaces(i, item) {
			return true
		}
	}
	return false
}

// servedElsewhere tells whether another engine affirms now that it serves the
// item or what replaces it. Without Known, LastCopy has decided.
func (w *worker) servedElsewhere(ctx context.Context, item backend.Item) bool {
	if w.o.Known == nil {
		return w.o.LastCopy != nil
	}
	for _, v := range w.o.Known() {
		if v.Server == w.name || v.Leaving || !v.Reachable {
			continue
		}
		for _, i := range v.Resident {
			if w.catalog.replaces(i, item) && w.affirmed(ctx, v.Server, i) {
				return true
			}
		}
	}
	return false
}

// affirmed asks another engine whether it serves an item.
func (w *worker) affirmed(ctx context.Context, server string, item backend.Item) bool {
	s, ok := w.catalog.servers[server]
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	state, err := w.o.engine(s.Address).State(ctx)
	if err != nil || state.Leaving {
		return false
	}
	for _, st := range state.Inventory.Items {
		if st.Item == item && st.State == backend.Resident {
			return true
		}
	}
	return false
}

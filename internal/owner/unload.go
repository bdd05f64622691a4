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

// unload sends an order to unload an item. It returns the reason if it sends none.
//
// Two owners that each see the other's copy could unload both. To prevent this,
// the owner first claims the name of a declared item in the table, and then
// queries the engine that has another copy instead of relying on views. The claim
// is held until the order is settled.
func (w *worker) unload(ctx context.Context, item backend.Item) Reason {
	if _, declared := w.catalog.declared[nameOf(item)]; !declared {
		return w.reserveUnload(ctx, item, nil)
	}
	if w.o.LastCopy != nil && w.o.LastCopy(item, w.name) && !w.servedHere(item) {
		return w.recordUnsent(item, backend.Unload, Reason(ledger.LastCopy))
	}
	got, ok, err := w.o.claims.acquire(ctx, w.name, item, w.claimTTL(), unloadPrefix+nameOf(item))
	if err != nil || !ok {
		return w.recordUnsent(item, backend.Unload, Claimed)
	}
	isLastCopy := func(i backend.Item) bool { return !w.servedHere(i) && !w.servedElsewhere(ctx, i) }
	w.unloads[item] = got
	reason := w.reserveUnload(ctx, item, isLastCopy)
	if reason != allowed {
		w.releaseClaim(ctx, w.unloads, item)
	}
	return reason
}

// readInheritedClaims takes over the unload claims that earlier owners of the
// server left. Only the current owner can determine that such an order can no
// longer take effect, and until then no other node may unload the name.
func (w *worker) readInheritedClaims(ctx context.Context) {
	names := slices.Sorted(maps.Keys(w.catalog.declared))
	found, err := w.o.claims.inheritedUnloads(ctx, w.name, names)
	if err != nil {
		return // retried in the next round
	}
	w.inherited, w.inheritedRead = found, true
}

// releaseInheritedClaims releases the inherited claims whose order is settled: the
// ledger shows the item as absent or resident, with no open order.
func (w *worker) releaseInheritedClaims(ctx context.Context) {
	for item := range w.inherited {
		e := w.ledger.Entry(item)
		if e.Order.OrderID == "" && (e.State == ledger.Absent || e.State == ledger.Resident) {
			w.log.Info("claim of an earlier owner released", zap.Stringer("item", item))
			w.releaseClaim(ctx, w.inherited, item)
		}
	}
}

// reserveUnload reserves an unload in the ledger and sends the order.
func (w *worker) reserveUnload(ctx context.Context, item backend.Item, isLastCopy func(backend.Item) bool) Reason {
	order, err := w.ledger.Reserve(w.o.now(), backend.Unload, item, ledger.Cost{}, isLastCopy)
	if err != nil {
		return w.recordUnsent(item, backend.Unload, reasonOf(err))
	}
	return w.send(ctx, order)
}

// claimTTL returns the time to live of an unload claim.
func (w *worker) claimTTL() time.Duration {
	switch {
	case w.server.ChecksOrders:
		return unloadTTL
	case w.server.OrderLifetimeMS == 0:
		return unlimitedTTL
	}
	return unloadTTL + time.Duration(w.server.OrderLifetimeMS)*time.Millisecond
}

// servedHere reports whether this server holds another version that replaces the
// item.
func (w *worker) servedHere(item backend.Item) bool {
	for _, i := range w.ledger.Serving() {
		if i != item && w.catalog.replaces(i, item) {
			return true
		}
	}
	return false
}

// servedElsewhere reports whether another engine confirms that it currently serves
// the item or a replacement. If Known is nil, the decision of LastCopy stands.
func (w *worker) servedElsewhere(ctx context.Context, item backend.Item) bool {
	if w.o.Known == nil {
		return w.o.LastCopy != nil
	}
	for _, v := range w.o.Known() {
		if v.Server == w.name || v.Leaving || !v.Reachable {
			continue
		}
		for _, i := range v.Resident {
			if w.catalog.replaces(i, item) && w.confirmResident(ctx, v.Server, i) {
				return true
			}
		}
	}
	return false
}

// confirmResident queries another engine whether it serves an item.
func (w *worker) confirmResident(ctx context.Context, server string, item backend.Item) bool {
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

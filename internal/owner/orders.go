package owner

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/backend"
	"guavapaddle/core/ledger"
	"guavapaddle/io/engine"
)

const (
	// sendsBeforeBump is the number of sends without effect after which a server
	// that checks fencing numbers gets a new epoch, which voids the order.
	sendsBeforeBump = 3
	// minBumpInterval is the minimum time between two such epochs.
	minBumpInterval = 5 * time.Second
)

// sendOrders sends the orders that bring the server closer to its plan.
func (w *worker) sendOrders(ctx context.Context) {
	if !w.fenced && !w.raiseFence(ctx) {
		return
	}
	want := w.o.plan(w.name)
	if w.resendOverdue(ctx, want) {
		return // the epoch changed, so the inventory must be read first
	}
	for _, item := range want {
		if w.ledger.Entry(item).State != ledger.Absent || w.inCooldown(item) {
			continue
		}
		if reason := w.load(ctx, item); reason == Reason(ledger.NoMemory) && w.makeRoom(ctx, item, want) {
			break // less important items must not take the freed memory
		}
	}
	w.unloadStale(ctx, want)
	w.clearRecords(ctx)
}

// raiseFence raises the fence on a restarted engine. It needs a valid lease.
func (w *worker) raiseFence(ctx context.Context) bool {
	valid, _ := w.o.mayOrder(w.name)
	if !valid {
		w.o.Metrics.countUnsent(Restarted)
		return false
	}
	began, epoch := w.o.now(), w.ledger.Epoch()
	inv, err := w.inventory(ctx, epoch)
	if err != nil {
		w.handleStaleFence(ctx, err, epoch)
		return false
	}
	if w.ledger.Observe(began, w.o.now(), inv) {
		w.reportRestart()
		return false
	}
	w.fenced = true
	return true
}

// load sends an order to load an item. It returns the reason if it sends none.
func (w *worker) load(ctx context.Context, item backend.Item) Reason {
	cost, ok := w.catalog.costs[item]
	if !ok {
		return w.recordUnsent(item, backend.Load, Undeclared)
	}
	order, err := w.ledger.Reserve(w.o.now(), backend.Load, item, cost, nil)
	if reasonOf(err) == Reason(ledger.NoMemory) {
		w.o.Metrics.countUnsent(Reason(ledger.NoMemory))
		return Reason(ledger.NoMemory) // makeRoom logs the details
	}
	if err != nil {
		return w.recordUnsent(item, backend.Load, reasonOf(err))
	}
	slotClaim, ok := w.slotClaim(ctx, item)
	if !ok {
		w.ledger.Cancel(w.o.now(), order.OrderID)
		return w.recordUnsent(item, backend.Load, StoreBusy)
	}
	w.slots[item] = slotClaim
	return w.send(ctx, order)
}

// slotClaim claims one of the weight store's slots. While the table is
// unavailable, it uses the node's static share instead.
func (w *worker) slotClaim(ctx context.Context, item backend.Item) (claim, bool) {
	if w.catalog.maxLoads <= 0 {
		return claim{}, true
	}
	got, ok, err := w.o.claims.acquire(ctx, w.name, item, slotTTL, slotKeys(w.catalog.maxLoads)...)
	if err != nil {
		return claim{}, w.o.loadingCount() < w.o.slotShare(w.catalog.maxLoads)
	}
	return got, ok
}

// send sends an order that the ledger has reserved, if the lease permits it.
func (w *worker) send(ctx context.Context, order backend.Order) Reason {
	reason := w.recordIfUnchecked(ctx)
	if reason == allowed {
		reason = w.checkLease(ctx) // checked immediately before the send
	}
	if reason != allowed {
		w.ledger.Cancel(w.o.now(), order.OrderID)
		w.releaseUnsent(ctx, order)
		return w.recordUnsent(order.Item, order.Op, reason)
	}
	w.orders[order.Item] = order
	w.ledger.RecordSend(w.o.now(), order.OrderID)
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.o.CallTimeout)
	defer cancel()
	done, err := w.engine.Order(callCtx, order)
	w.ledger.RecordResult(w.o.now(), order.OrderID, callResult(err))
	w.logResult(order, done, err)
	if err != nil {
		w.cooldownEnd[order.Item] = w.o.now() + retryDelay
		w.handleOrderError(ctx, err)
	}
	delete(w.unsentReason, order.Item)
	return allowed
}

// logResult logs and counts the result of an order.
func (w *worker) logResult(order backend.Order, done bool, err error) {
	result := "accepted"
	if done {
		result = "done"
	}
	if err != nil {
		result = string(engine.KindOf(err))
	}
	w.o.Metrics.SentOrders.WithLabelValues(string(order.Op), result).Inc()
	w.log.Info("order sent", zap.Uint64("epoch", order.Fence), zap.Stringer("item", order.Item),
		zap.String("op", string(order.Op)), zap.String("order-id", order.OrderID),
		zap.Int64("bytes", order.Bytes), zap.String("result", result),
		zap.Int64("free-bytes", w.ledger.Free()), zap.Error(err))
}

// handleOrderError updates the worker's state after an order was refused.
func (w *worker) handleOrderError(ctx context.Context, err error) {
	switch engine.KindOf(err) {
	case engine.StaleFence:
		w.handleStaleFence(ctx, err, w.ledger.Epoch())
	case engine.Leaving:
		if !w.leaving {
			w.markLeaving()
		}
	}
}

// recordIfUnchecked records the order in the row of a server that doesn't check fencing
// numbers.
func (w *worker) recordIfUnchecked(ctx context.Context) Reason {
	if w.server.ChecksOrders {
		return allowed
	}
	if valid, _ := w.o.mayOrder(w.name); !valid {
		return NoLease
	}
	if !w.writeRecords(ctx) {
		return NotRecorded
	}
	return allowed
}

// checkLease decides whether an order may be sent now. While the table is
// unavailable, the owner of a server that checks fencing numbers continues under
// its last epoch, provided that the engine confirms that the fence was not raised
// above that epoch and that it has not restarted.
func (w *worker) checkLease(ctx context.Context) Reason {
	valid, outage := w.o.mayOrder(w.name)
	if valid {
		return allowed
	}
	epoch, held := w.o.epochOf(w.name)
	if !held || epoch != w.ledger.Epoch() || !outage || !w.server.ChecksOrders {
		return NoLease
	}
	began := w.o.now()
	inv, err := w.inventory(ctx, epoch)
	switch {
	case engine.KindOf(err) == engine.StaleFence:
		w.o.markLost(w.name)
		return Fenced
	case err != nil:
		return Unreachable
	case inv.BootID != w.ledger.BootID():
		return Restarted
	}
	w.ledger.Observe(began, w.o.now(), inv)
	return allowed
}

// writeRecords writes all unsettled orders to the server's row.
func (w *worker) writeRecords(ctx context.Context) bool {
	orders, err := encodeRecords(w.ledger.Records())
	return err == nil && w.o.recordOrders(ctx, w.name, orders)
}

// clearRecords removes settled orders from the row of a server that doesn't check
// fencing numbers.
func (w *worker) clearRecords(ctx context.Context) {
	if !w.server.ChecksOrders && len(w.ledger.Records()) == 0 && len(w.o.leaseRow(w.name).Orders) > 0 {
		w.writeRecords(ctx)
	}
}

// encodeRecords encodes records as JSON. It returns nil if there are none.
func encodeRecords(records []ledger.Record) (json.RawMessage, error) {
	if len(records) == 0 {
		return nil, nil
	}
	return json.Marshal(records)
}

// resendOverdue resends orders that have shown no effect. On a server that checks
// fencing numbers, an order that several sends have not settled, or that is no
// longer wanted but may still arrive, is voided by acquiring a new epoch. It
// returns true if the epoch changed.
func (w *worker) resendOverdue(ctx context.Context, want []backend.Item) bool {
	for _, e := range w.ledger.Overdue(w.o.now(), w.o.ResendAfter) {
		wanted := e.Order.Op == backend.Unload || slices.Contains(want, e.Item)
		if w.server.ChecksOrders && (e.Sends >= sendsBeforeBump || !wanted) && w.bump(ctx) {
			return true
		}
		if !wanted && !w.server.ChecksOrders {
			continue // the order expires after its lifetime
		}
		if order, ok := w.ledger.Resend(e.Item); ok {
			w.send(ctx, order)
		}
	}
	return false
}

// bump acquires the server again with a higher epoch. It reports whether the
// epoch changed.
func (w *worker) bump(ctx context.Context) bool {
	now := w.o.now()
	valid, _ := w.o.mayOrder(w.name)
	if !valid || (w.lastBump != 0 && now-w.lastBump < minBumpInterval) {
		return false
	}
	w.lastBump = now
	w.o.acquire(ctx, w.name, 0)
	epoch, held := w.o.epochOf(w.name)
	return held && epoch != w.ledger.Epoch()
}

// makeRoom unloads items outside the plan until the given item fits. It returns
// false if the item can't be made to fit.
func (w *worker) makeRoom(ctx context.Context, item backend.Item, want []backend.Item) bool {
	cost := w.catalog.cost(item)
	missing := cost.Bytes + cost.Peak - w.ledger.Free()
	var candidates []ledger.Entry
	for _, e := range w.ledger.Entries() {
		switch {
		case e.Order.Op == backend.Unload || e.State == ledger.Unloading:
			missing -= e.ReservedBytes() // already being unloaded
		case w.evictable(e, want):
			candidates = append(candidates, e)
		}
	}
	if missing <= 0 {
		return true
	}
	var sum int64
	for _, e := range candidates {
		sum += e.ReservedBytes()
	}
	if sum < missing {
		candidates = nil
	}
	slices.SortStableFunc(candidates, func(a, b ledger.Entry) int { return w.evictOrder(a, b) })
	for _, e := range candidates {
		if missing <= 0 {
			break
		}
		if w.unload(ctx, e.Item) == allowed {
			missing -= e.ReservedBytes()
		}
	}
	if missing > 0 {
		w.recordUnsent(item, backend.Load, Protected)
	}
	return missing <= 0
}

// evictOrder sorts outdated versions first, then adapters, then the items that
// have been resident longest.
func (w *worker) evictOrder(a, b ledger.Entry) int {
	rank := func(e ledger.Entry) int {
		switch {
		case !w.catalog.isCurrent(e.Item):
			return 0
		case e.Item.Base != "":
			return 1
		}
		return 2
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Since, b.Since))
}

// evictable reports whether an item may be unloaded to make room.
func (w *worker) evictable(e ledger.Entry, want []backend.Item) bool {
	if e.State != ledger.Resident || e.Order.OrderID != "" || w.inCooldown(e.Item) {
		return false
	}
	for _, i := range want {
		if i == e.Item || (i.Base != "" && i.Base == e.Item.Name && w.catalog.isCurrent(e.Item)) {
			return false
		}
	}
	isRecent := e.Since > w.adoptedAt && w.o.now()-e.Since < w.catalog.minResidence
	return !w.catalog.isCurrent(e.Item) || !isRecent
}

// unloadStale unloads evictable versions that are no longer declared.
func (w *worker) unloadStale(ctx context.Context, want []backend.Item) {
	for _, e := range w.ledger.Entries() {
		if !w.catalog.isCurrent(e.Item) && w.evictable(e, want) {
			w.unload(ctx, e.Item)
		}
	}
}

// recordUnsent counts an order that was not sent and starts the item's cooldown.
// The reason is logged only when it changes.
func (w *worker) recordUnsent(item backend.Item, op backend.Op, r Reason) Reason {
	w.o.Metrics.countUnsent(r)
	w.cooldownEnd[item] = w.o.now() + retryDelay
	if w.unsentReason[item] != r {
		w.unsentReason[item] = r
		w.log.Info("order not sent", zap.Uint64("epoch", w.ledger.Epoch()), zap.Stringer("item", item),
			zap.String("op", string(op)), zap.String("reason", string(r)), zap.Int64("free-bytes", w.ledger.Free()))
	}
	return r
}

// inCooldown reports whether an item waits for its retry delay to pass.
func (w *worker) inCooldown(item backend.Item) bool { return w.o.now() < w.cooldownEnd[item] }

// releaseUnsent releases the claims of an order that was not sent, unless an
// earlier call sent it.
func (w *worker) releaseUnsent(ctx context.Context, order backend.Order) {
	if w.ledger.Entry(order.Item).Order.OrderID == order.OrderID {
		return
	}
	w.releaseClaim(ctx, w.slots, order.Item)
	w.releaseClaim(ctx, w.unloads, order.Item)
}

// staleFence returns the highest fencing number that the engine has seen, or zero
// if err doesn't carry it.
func staleFence(err error) uint64 {
	if e, ok := errors.AsType[*engine.Error](err); ok {
		return e.Fence
	}
	return 0
}

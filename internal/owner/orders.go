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
	// callsToBump is after how many calls without effect a server that checks
	// gets a new epoch, which makes the order void.
	callsToBump = 3
	// bumpPeriod is the shortest time between two such epochs.
	bumpPeriod = 5 * time.Second
)

// act gives the orders that bring the server closer to its plan.
func (w *worker) act(ctx context.Context) {
	if !w.fenced && !w.refence(ctx) {
		return
	}
	want := w.o.plan(w.name)
	if w.resendOverdue(ctx, want) {
		return // a new epoch: the inventory is read first
	}
	for _, item := range want {
		if w.ledger.Entry(item).State != ledger.Absent || w.resting(item) {
			continue
		}
		if reason := w.load(ctx, item); reason == Reason(ledger.NoMemory) && w.makeRoom(ctx, item, want) {
			break // what follows must not take the bytes
		}
	}
	w.unloadStale(ctx, want)
	w.cleanRow(ctx)
}

// refence raises the fence in a new boot of the engine, under a running lease.
func (w *worker) refence(ctx context.Context) bool {
	running, _ := w.o.mayOrder(w.name)
	if !running {
		w.o.Metrics.refused(Restarted)
		return false
	}
	began, epoch := w.o.now(), w.ledger.Epoch()
	inv, err := w.inventory(ctx, epoch)
	if err != nil {
		w.overtaken(ctx, err, epoch)
		return false
	}
	if w.ledger.Observe(began, w.o.now(), inv) {
		w.restarted()
		return false
	}
	w.fenced = true
	return true
}

// load orders an item to be loaded, or tells why not.
func (w *worker) load(ctx context.Context, item backend.Item) Reason {
	cost, ok := w.catalog.costs[item]
	if !ok {
		return w.refuse(item, backend.Load, Undeclared)
	}
	order, err := w.ledger.Reserve(w.o.now(), backend.Load, item, cost, nil)
	if reasonOf(err) == Reason(ledger.NoMemory) {
		w.o.Metrics.refused(Reason(ledger.NoMemory))
		return Reason(ledger.NoMemory) // makeRoom says more
	}
	if err != nil {
		return w.refuse(item, backend.Load, reasonOf(err))
	}
	slot, ok := w.slot(ctx, item)
	if !ok {
		w.ledger.Cancel(w.o.now(), order.OrderID)
		return w.refuse(item, backend.Load, NoSlot)
	}
	w.slots[item] = slot
	return w.send(ctx, order)
}

// slot claims one of the weight store's slots, or takes one of the node's
// static share while the table is out.
func (w *worker) slot(ctx context.Context, item backend.Item) (claim, bool) {
	if w.catalog.loads <= 0 {
		return claim{}, true
	}
	got, ok, err := w.o.claims.acquire(ctx, w.name, item, slotTTL, slotKeys(w.catalog.loads)...)
	if err != nil {
		return claim{}, w.o.loading() < w.o.share(w.catalog.loads)
	}
	return got, ok
}

// send sends an order that the ledger allowed, if the lease allows it.
func (w *worker) send(ctx context.Context, order backend.Order) Reason {
	reason := w.prepare(ctx)
	if reason == allowed {
		reason = w.permit(ctx) // immediately before the send
	}
	if reason != allowed {
		w.ledger.Cancel(w.o.now(), order.OrderID)
		w.endUnsent(ctx, order)
		return w.refuse(order.Item, order.Op, reason)
	}
	w.orders[order.Item] = order
	w.ledger.Sending(w.o.now(), order.OrderID)
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.o.CallTimeout)
	defer cancel()
	done, err := w.engine.Order(call, order)
	w.ledger.RecordResult(w.o.now(), order.OrderID, answerOf(err))
	w.note(order, done, err)
	if err != nil {
		w.rest[order.Item] = w.o.now() + retryAfter
		w.failed(ctx, err)
	}
	delete(w.said, order.Item)
	return allowed
}

// note logs and counts the answer to an order.
func (w *worker) note(order backend.Order, done bool, err error) {
	result := "accepted"
	if done {
		result = "done"
	}
	if err != nil {
		result = string(engine.KindOf(err))
	}
	w.o.Metrics.Orders.WithLabelValues(string(order.Op), result).Inc()
	w.log.Info("order sent", zap.Uint64("epoch", order.Fence), zap.Stringer("item", order.Item),
		zap.String("op", string(order.Op)), zap.String("order-id", order.OrderID),
		zap.Int64("bytes", order.Bytes), zap.String("result", result),
		zap.Int64("free-bytes", w.ledger.Free()), zap.Error(err))
}

// failed draws conclusions from an order that was refused.
func (w *worker) failed(ctx context.Context, err error) {
	switch engine.KindOf(err) {
	case engine.StaleFence:
		w.overtaken(ctx, err, w.ledger.Epoch())
	case engine.Leaving:
		if !w.leaving {
			w.left()
		}
	}
}

// prepare keeps the order in the row of a server that doesn't check.
func (w *worker) prepare(ctx context.Context) Reason {
	if w.server.ChecksOrders {
		return allowed
	}
	if running, _ := w.o.mayOrder(w.name); !running {
		return NoLease
	}
	if !w.keepRecords(ctx) {
		return NotRecorded
	}
	return allowed
}

// permit tells whether an order may be sent now. While the table is out, the
// owner of a server that checks goes on under its last epoch, if the engine
// confirms that nobody has raised the fence above it and has not restarted.
func (w *worker) permit(ctx context.Context) Reason {
	running, outage := w.o.mayOrder(w.name)
	if running {
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
		w.o.drop(w.name)
		return Rival
	case err != nil:
		return Unreachable
	case inv.BootID != w.ledger.BootID():
		return Restarted
	}
	w.ledger.Observe(began, w.o.now(), inv)
	return allowed
}

// keepRecords keeps all unsettled orders in the server's row.
func (w *worker) keepRecords(ctx context.Context) bool {
	orders, err := encodeRecords(w.ledger.Records())
	return err == nil && w.o.record(ctx, w.name, orders)
}

// cleanRow drops settled orders from the row of a server that doesn't check.
func (w *worker) cleanRow(ctx context.Context) {
	if !w.server.ChecksOrders && len(w.ledger.Records()) == 0 && len(w.o.row(w.name).Orders) > 0 {
		w.keepRecords(ctx)
	}
}

// encodeRecords returns nil for none.
func encodeRecords(records []ledger.Record) (json.RawMessage, error) {
	if len(records) == 0 {
		return nil, nil
	}
	return json.Marshal(records)
}

// resendOverdue sends orders without effect again. On a server that checks, an
// order that several calls could not settle, or that is no longer wanted and
// may yet arrive, is made void by a new epoch; then it returns true.
func (w *worker) resendOverdue(ctx context.Context, want []backend.Item) bool {
	for _, e := range w.ledger.Overdue(w.o.now(), w.o.Patience) {
		wanted := e.Order.Op == backend.Unload || slices.Contains(want, e.Item)
		if w.server.ChecksOrders && (e.Sends >= callsToBump || !wanted) && w.bump(ctx) {
			return true
		}
		if !wanted && !w.server.ChecksOrders {
			continue // its lifetime settles it
		}
		if order, ok := w.ledger.Resend(e.Item); ok {
			w.send(ctx, order)
		}
	}
	return false
}

// bump takes the server again with the next epoch.
func (w *worker) bump(ctx context.Context) bool {
	now := w.o.now()
	running, _ := w.o.mayOrder(w.name)
	if !running || (w.bumped != 0 && now-w.bumped < bumpPeriod) {
		return false
	}
	w.bumped = now
	w.o.take(ctx, w.name, 0)
	epoch, held := w.o.epochOf(w.name)
	return held && epoch != w.ledger.Epoch()
}

// makeRoom unloads what is not wanted until an item fits. It returns false if
// that can't succeed.
func (w *worker) makeRoom(ctx context.Context, item backend.Item, want []backend.Item) bool {
	cost := w.catalog.cost(item)
	missing := cost.Bytes + cost.Peak - w.ledger.Free()
	var candidates []ledger.Entry
	for _, e := range w.ledger.Entries() {
		switch {
		case e.Order.Op == backend.Unload || e.State == ledger.Unloading:
			missing -= e.ReservedBytes() // on its way out
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
		w.refuse(item, backend.Load, Protected)
	}
	return missing <= 0
}

// evictOrder puts old versions first, then adapters, then what is there for
// longest.
func (w *worker) evictOrder(a, b ledger.Entry) int {
	rank := func(e ledger.Entry) int {
		switch {
		case !w.catalog.current(e.Item):
			return 0
		case e.Item.Base != "":
			return 1
		}
		return 2
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Since, b.Since))
}

// evictable tells whether an item may be unloaded to make room.
func (w *worker) evictable(e ledger.Entry, want []backend.Item) bool {
	if e.State != ledger.Resident || e.Order.OrderID != "" || w.resting(e.Item) {
		return false
	}
	for _, i := range want {
		if i == e.Item || (i.Base != "" && i.Base == e.Item.Name && w.catalog.current(e.Item)) {
			return false
		}
	}
	young := e.Since > w.adopted && w.o.now()-e.Since < w.catalog.minStay
	return !w.catalog.current(e.Item) || !young
}

// unloadStale unloads versions that are no longer declared.
func (w *worker) unloadStale(ctx context.Context, want []backend.Item) {
	for _, e := range w.ledger.Entries() {
		if !w.catalog.current(e.Item) && w.evictable(e, want) {
			w.unload(ctx, e.Item)
		}
	}
}

// refuse notes why an order was not given. A reason is logged once until it
// changes.
func (w *worker) refuse(item backend.Item, op backend.Op, r Reason) Reason {
	w.o.Metrics.refused(r)
	w.rest[item] = w.o.now() + retryAfter
	if w.said[item] != r {
		w.said[item] = r
		w.log.Info("order not given", zap.Uint64("epoch", w.ledger.Epoch()), zap.Stringer("item", item),
			zap.String("op", string(op)), zap.String("reason", string(r)), zap.Int64("free-bytes", w.ledger.Free()))
	}
	return r
}

// resting tells whether an item was refused lately.
func (w *worker) resting(item backend.Item) bool { return w.o.now() < w.rest[item] }

// endUnsent ends the claims of an order that was not sent, unless an earlier
// call carried it.
func (w *worker) endUnsent(ctx context.Context, order backend.Order) {
	if w.ledger.Entry(order.Item).Order.OrderID == order.OrderID {
		return
	}
	w.endClaim(ctx, w.slots, order.Item)
	w.endClaim(ctx, w.unloads, order.Item)
}

// staleFence returns the highest fencing number that the engine has seen.
func staleFence(err error) uint64 {
	if e, ok := errors.AsType[*engine.Error](err); ok {
		return e.Fence
	}
	return 0
}

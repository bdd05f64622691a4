package owner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/ledger"
	"guavapaddle/core/view"
	"guavapaddle/io/engine"
)

const (
	pollTimeout     = time.Second
	firstRoundDelay = time.Millisecond // delay of a worker's first round
	// unreachableAfter is the number of consecutive failed polls after which a
	// server counts as unreachable.
	unreachableAfter = 2
	// retryDelay is the cooldown of an item after an order for it was not sent or
	// failed.
	retryDelay = time.Second
)

// worker manages one server while its lease is held. It makes one call at a time.
type worker struct {
	o      *Owner
	name   string
	log    *zap.Logger
	ledger *ledger.Ledger

	server      config.BackendServer // current declaration
	catalog     *catalog
	engine      Engine
	fenced      bool // the fence was raised since the engine started, or need not be
	missedPolls int  // consecutive failed polls
	leaving     bool
	sequence    uint64 // of the view
	lastBump    time.Duration
	adoptedAt   time.Duration // time of the first inventory; the age of its items is unknown

	wakeUp       chan struct{}
	cooldownEnd  map[backend.Item]time.Duration // no order is sent before this time
	unsentReason map[backend.Item]Reason        // last logged reason for an unsent order
	orders       map[backend.Item]backend.Order // sent and not yet settled
	slots        map[backend.Item]claim         // slot claims of loads
	unloads      map[backend.Item]claim         // name claims of unloads

	inherited     map[backend.Item]claim // unload claims left by earlier owners
	inheritedRead bool                   // inherited has been read in this epoch
}

func newWorker(o *Owner, name string) *worker {
	return &worker{
		o: o, name: name, log: o.Log.With(zap.String("server", name)),
		ledger:       ledger.New(ledger.Settings{Server: name}),
		wakeUp:       make(chan struct{}, 1),
		cooldownEnd:  map[backend.Item]time.Duration{},
		unsentReason: map[backend.Item]Reason{},
		orders:       map[backend.Item]backend.Order{},
		slots:        map[backend.Item]claim{},
		unloads:      map[backend.Item]claim{},
	}
}

// run polls the engine and sends orders until ctx ends or the server is lost.
func (w *worker) run(ctx context.Context) {
	fired := make(chan struct{}, 1)
	timer := newSignalTimer(firstRoundDelay, fired)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-fired:
		case <-w.wakeUp:
		}
		if !w.step(ctx) && w.o.removeWorker(w.name) {
			w.releaseSlots(ctx)
			return
		}
		timer.Reset(jitter(w.period()))
	}
}

// wake starts the next round immediately.
func (w *worker) wake() {
	select {
	case w.wakeUp <- struct{}{}:
	default:
	}
}

// period returns the time until the next round. A reachable server that matches
// its plan and has no order in progress is polled less often.
func (w *worker) period() time.Duration {
	if w.missedPolls > 0 || len(w.orders) > 0 || !w.fenced || !w.matchesPlan() {
		return w.o.Poll
	}
	return w.o.QuietPoll
}

// matchesPlan reports whether the server serves all items of its plan, serves only
// declared versions, and has nothing loading or unloading.
func (w *worker) matchesPlan() bool {
	serving := w.ledger.Serving()
	if len(serving) != len(w.ledger.Entries()) {
		return false
	}
	for _, i := range w.o.plan(w.name) {
		if !slices.Contains(serving, i) {
			return false
		}
	}
	for _, i := range serving {
		if !w.catalog.isCurrent(i) {
			return false
		}
	}
	return true
}

// step runs one round. It returns false if this node does not own the server or
// released it.
func (w *worker) step(ctx context.Context) bool {
	epoch, held := w.o.epochOf(w.name)
	if !held {
		return false
	}
	w.catalog = w.o.currentCatalog()
	server, declared := w.catalog.servers[w.name]
	if !declared || w.o.handoverDue(w.name) {
		w.handOver(ctx, declared)
		return false
	}
	w.configure(server)
	if w.ledger.Epoch() != epoch {
		w.adopt(ctx, epoch)
	} else {
		w.poll(ctx, epoch)
	}
	w.settle(ctx)
	if w.ledger.Epoch() == epoch {
		if !w.inheritedRead {
			w.readInheritedClaims(ctx)
		}
		w.releaseInheritedClaims(ctx)
	}
	w.publish(epoch)
	if w.ledger.Epoch() == epoch && w.missedPolls == 0 && !w.leaving {
		w.sendOrders(ctx)
		w.publish(epoch) // exclude items now being unloaded
	}
	return true
}

// configure applies the server's current declaration.
func (w *worker) configure(s config.BackendServer) {
	if w.engine == nil || s.Address != w.server.Address {
		w.engine = w.o.engine(s.Address)
	}
	w.server = s
	w.ledger.SetSettings(w.catalog.settings(s))
}

// handOver releases the server and logs the reason.
func (w *worker) handOver(ctx context.Context, declared bool) {
	reason := "another node should own it"
	if !declared {
		reason = "no longer declared"
	}
	w.o.release(ctx, w.name, reason)
}

// adopt starts the ledger in a new epoch. It needs a valid lease, because an
// engine that restarted may have forgotten that another node raised the fence.
func (w *worker) adopt(ctx context.Context, epoch uint64) {
	if valid, _ := w.o.mayOrder(w.name); !valid {
		return
	}
	r := w.o.leaseRow(w.name)
	acquiredAt := w.o.now()
	var records []ledger.Record
	if len(r.Orders) > 0 {
		if err := json.Unmarshal(r.Orders, &records); err != nil {
			w.log.Error("orders in the server's row can't be read; no orders are sent", zap.Error(err))
			return
		}
	}
	inv, err := w.inventory(ctx, epoch)
	if !w.countPoll(err) {
		w.handleStaleFence(ctx, err, epoch)
		return
	}
	if w.ledger.Epoch() != 0 && w.ledger.BootID() != inv.BootID {
		w.reportRestart()
	}
	w.ledger.Adopt(acquiredAt, epoch, inv, records)
	w.inheritedRead = false
	w.fenced = true
	if w.adoptedAt == 0 {
		w.adoptedAt = w.o.now()
	}
	w.log.Info("inventory adopted", zap.Uint64("epoch", epoch), zap.String("boot-id", inv.BootID),
		zap.Int("items", len(inv.Items)), zap.Int("inherited", len(records)), zap.Int64("free-bytes", w.ledger.Free()))
}

// inventory reads the engine's inventory. On a server that checks fencing numbers,
// it also raises the fence.
func (w *worker) inventory(ctx context.Context, epoch uint64) (backend.Inventory, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if w.server.ChecksOrders {
		return w.engine.Fence(ctx, epoch)
	}
	s, err := w.engine.State(ctx)
	return s.Inventory, err
}

// poll reads the engine's state and updates the ledger.
func (w *worker) poll(ctx context.Context, epoch uint64) {
	startedAt := w.o.now()
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	s, err := w.engine.State(callCtx)
	if !w.countPoll(err) {
		return
	}
	if s.Leaving && !w.leaving {
		w.markLeaving()
	}
	w.leaving = s.Leaving
	if w.ledger.Observe(startedAt, w.o.now(), s.Inventory) {
		w.reportRestart()
		// An engine that forgot the fence may accept another node's order. No
		// orders are sent until the fence is raised again under a valid lease.
		w.fenced = !w.server.ChecksOrders || s.Inventory.Fence == epoch
	}
	if w.server.ChecksOrders && s.Inventory.Fence > epoch {
		w.handleStaleFence(ctx, &engine.Error{Kind: engine.StaleFence, Fence: s.Inventory.Fence}, epoch)
	}
}

// countPoll counts consecutive failed polls. It reports whether the poll succeeded.
func (w *worker) countPoll(err error) bool {
	if err != nil {
		w.missedPolls++
		return false
	}
	w.missedPolls = 0
	return true
}

// handleStaleFence reads the lease rows after the engine reported a higher fencing
// number. If this node still owns the server, it acquires a higher epoch.
func (w *worker) handleStaleFence(ctx context.Context, err error, epoch uint64) {
	if engine.KindOf(err) != engine.StaleFence {
		return
	}
	highest := staleFence(err)
	keys := w.o.keysToWatch(w.name)
	w.log.Warn("engine has seen a higher fencing number", zap.Uint64("epoch", epoch), zap.Uint64("fence", highest))
	if !w.o.readBack(ctx, keys) {
		w.o.markLost(w.name)
		return
	}
	if current, held := w.o.epochOf(w.name); held && current == epoch {
		if valid, _ := w.o.mayOrder(w.name); valid {
			w.o.acquire(ctx, w.name, highest)
		}
	}
}

// reportRestart logs, counts and reports a new boot ID of the engine.
func (w *worker) reportRestart() {
	w.log.Warn("engine restarted", zap.Uint64("epoch", w.ledger.Epoch()), zap.String("boot-id", w.ledger.BootID()))
	w.o.Metrics.Restarts.Inc()
	clear(w.cooldownEnd)
	if w.o.OnRestart != nil {
		w.o.OnRestart(w.name)
	}
}

// markLeaving records and reports that the engine is leaving.
func (w *worker) markLeaving() {
	w.log.Info("engine is leaving", zap.Uint64("epoch", w.ledger.Epoch()))
	w.leaving = true
	if w.o.OnLeaving != nil {
		w.o.OnLeaving(w.name)
	}
}

// settle counts and logs settled orders and releases their claims.
func (w *worker) settle(ctx context.Context) {
	for item, o := range w.orders {
		e := w.ledger.Entry(item)
		if e.Order.OrderID == o.OrderID && e.State != ledger.Resident {
			continue
		}
		if o.Op == backend.Unload && e.State == ledger.Resident && e.Order.OrderID == o.OrderID {
			continue
		}
		done := (o.Op == backend.Load) == (e.State == ledger.Resident)
		w.log.Info("order settled", zap.Stringer("item", item), zap.String("order-id", o.OrderID),
			zap.String("op", string(o.Op)), zap.Bool("done", done), zap.String("state", string(e.State)))
		if done {
			w.o.Metrics.CompletedOrders.WithLabelValues(string(o.Op)).Inc()
		}
		delete(w.orders, item)
		w.releaseClaim(ctx, w.slots, item)
		w.releaseClaim(ctx, w.unloads, item)
	}
}

func (w *worker) releaseClaim(ctx context.Context, from map[backend.Item]claim, item backend.Item) {
	if c, ok := from[item]; ok {
		delete(from, item)
		w.o.claims.release(ctx, c)
	}
}

// releaseSlots releases the claims of loads when the server is given up. Unload
// claims are left to expire, since such an order may still take effect.
func (w *worker) releaseSlots(ctx context.Context) {
	for item := range w.slots {
		w.releaseClaim(ctx, w.slots, item)
	}
}

// publish stores the server's view and updates its memory gauges.
func (w *worker) publish(epoch uint64) {
	w.sequence++
	v := view.Server{
		Server: w.name, Owner: w.o.Node, Epoch: epoch, Sequence: w.sequence,
		BootID: w.ledger.BootID(), Resident: w.ledger.Serving(), Loading: w.ledger.Loading(),
		Slots: w.server.Slots, FreeBytes: w.ledger.Free(),
		Reachable: w.missedPolls < unreachableAfter && w.ledger.Epoch() == epoch, Leaving: w.leaving,
	}
	w.o.Metrics.Memory.WithLabelValues(w.name, "held").Set(float64(w.ledger.Used()))
	w.o.Metrics.Memory.WithLabelValues(w.name, "free").Set(float64(v.FreeBytes))
	w.o.mu.Lock()
	w.o.views[w.name] = v
	w.o.mu.Unlock()
}

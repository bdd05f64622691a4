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
	pollTimeout = time.Second
	firstRound  = time.Millisecond // from the start of a worker
	// missesToUnreachable is after how many polls without an answer a server
	// counts as unreachable.
	missesToUnreachable = 2
	// retryAfter is how long an item rests after an order for it was not given
	// or was refused.
	retryAfter = time.Second
)

// worker runs one server while it is held. It makes one call at a time.
type worker struct {
	o      *Owner
	name   string
	log    *zap.Logger
	ledger *ledger.Ledger

	server   config.BackendServer // as declared now
	catalog  *catalog
	engine   Engine
	fenced   bool // the fence was raised in this boot, or needn't be
	misses   int  // polls without an answer in a row
	leaving  bool
	sequence uint64 // of the view
	bumped   time.Duration
	adopted  time.Duration // first inventory; what was there then may be old

	woken   chan struct{}
	rest    map[backend.Item]time.Duration // no order before
	said    map[backend.Item]Reason        // last refusal logged
	orders  map[backend.Item]backend.Order // sent, not yet seen done
	slots   map[backend.Item]claim         // of loads
	unloads map[backend.Item]claim         // of unloads

	inherited map[backend.Item]claim // of unloads that earlier owners left
	heir      bool                   // inherited has been read under this epoch
}

func newWorker(o *Owner, name string) *worker {
	return &worker{
		o: o, name: name, log: o.Log.With(zap.String("server", name)),
		ledger:  ledger.New(ledger.Settings{Server: name}),
		woken:   make(chan struct{}, 1),
		rest:    map[backend.Item]time.Duration{},
		said:    map[backend.Item]Reason{},
		orders:  map[backend.Item]backend.Order{},
		slots:   map[backend.Item]claim{},
		unloads: map[backend.Item]claim{},
	}
}

// run polls and orders until ctx ends or the server is lost.
func (w *worker) run(ctx context.Context) {
	ring := make(chan struct{}, 1)
	timer := alarm(firstRound, ring)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ring:
		case <-w.woken:
		}
		if !w.step(ctx) && w.o.retire(w.name) {
			w.endSlots(ctx)
			return
		}
		timer.Reset(jitter(w.period()))
	}
}

// wake makes the next round begin at once.
func (w *worker) wake() {
	select {
	case w.woken <- struct{}{}:
	default:
	}
}

// period returns the time to the next round. A server that answers, with no
// order on its way and nothing left to do of its plan, is polled less often.
func (w *worker) period() time.Duration {
	if w.misses > 0 || len(w.orders) > 0 || !w.fenced || !w.settled() {
		return w.o.Poll
	}
	return w.o.QuietPoll
}

// settled tells whether the server holds just what it should, with nothing on
// its way.
func (w *worker) settled() bool {
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
		if !w.catalog.current(i) {
			return false
		}
	}
	return true
}

// step makes one round; false means that the server is not this node's.
func (w *worker) step(ctx context.Context) bool {
	epoch, held := w.o.epochOf(w.name)
	if !held {
		return false
	}
	w.catalog = w.o.known()
	server, declared := w.catalog.servers[w.name]
	if !declared || w.o.handOver(w.name) {
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
		if !w.heir {
			w.inherit(ctx)
		}
		w.endInherited(ctx)
	}
	w.publish(epoch)
	if w.ledger.Epoch() == epoch && w.misses == 0 && !w.leaving {
		w.act(ctx)
		w.publish(epoch) // without what was ordered to unload
	}
	return true
}

// configure takes the server's declaration in force.
func (w *worker) configure(s config.BackendServer) {
	if w.engine == nil || s.Address != w.server.Address {
		w.engine = w.o.engine(s.Address)
	}
	w.server = s
	w.ledger.SetSettings(w.catalog.settings(s))
}

// handOver releases the server.
func (w *worker) handOver(ctx context.Context, declared bool) {
	reason := "another node is to own it"
	if !declared {
		reason = "no longer declared"
	}
	w.o.release(ctx, w.name, reason)
}

// adopt starts the ledger under a new epoch. It needs a running lease: an engine
// that restarted may have forgotten that a rival raised the fence.
func (w *worker) adopt(ctx context.Context, epoch uint64) {
	if running, _ := w.o.mayOrder(w.name); !running {
		return
	}
	r := w.o.row(w.name)
	taken := w.o.now()
	var records []ledger.Record
	if len(r.Orders) > 0 {
		if err := json.Unmarshal(r.Orders, &records); err != nil {
			w.log.Error("orders in the server's row can't be read, nothing is ordered", zap.Error(err))
			return
		}
	}
	inv, err := w.inventory(ctx, epoch)
	if !w.heard(err) {
		w.overtaken(ctx, err, epoch)
		return
	}
	if w.ledger.Epoch() != 0 && w.ledger.BootID() != inv.BootID {
		w.restarted()
	}
	w.ledger.Adopt(taken, epoch, inv, records)
	w.heir = false
	w.fenced = true
	if w.adopted == 0 {
		w.adopted = w.o.now()
	}
	w.log.Info("inventory adopted", zap.Uint64("epoch", epoch), zap.String("boot-id", inv.BootID),
		zap.Int("items", len(inv.Items)), zap.Int("inherited", len(records)), zap.Int64("free-bytes", w.ledger.Free()))
}

// inventory raises the fence, if the server checks it, and reads the inventory.
func (w *worker) inventory(ctx context.Context, epoch uint64) (backend.Inventory, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if w.server.ChecksOrders {
		return w.engine.Fence(ctx, epoch)
	}
	s, err := w.engine.State(ctx)
	return s.Inventory, err
}

// poll reads the engine's state.
func (w *worker) poll(ctx context.Context, epoch uint64) {
	began := w.o.now()
	call, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	s, err := w.engine.State(call)
	if !w.heard(err) {
		return
	}
	if s.Leaving && !w.leaving {
		w.left()
	}
	w.leaving = s.Leaving
	if w.ledger.Observe(began, w.o.now(), s.Inventory) {
		w.restarted()
		// An engine that forgot the fence may take a rival's order: nothing is
		// ordered until the fence is raised again under a running lease.
		w.fenced = !w.server.ChecksOrders || s.Inventory.Fence == epoch
	}
	if w.server.ChecksOrders && s.Inventory.Fence > epoch {
		w.overtaken(ctx, &engine.Error{Kind: engine.StaleFence, Fence: s.Inventory.Fence}, epoch)
	}
}

// heard counts misses and returns true if there was an answer.
func (w *worker) heard(err error) bool {
	if err != nil {
		w.misses++
		return false
	}
	w.misses = 0
	return true
}

// overtaken looks into the table after the engine has shown a higher fencing
// number. If the server is this node's nevertheless, it gets a higher epoch.
func (w *worker) overtaken(ctx context.Context, err error, epoch uint64) {
	if engine.KindOf(err) != engine.StaleFence {
		return
	}
	highest := staleFence(err)
	keys := w.o.watch(w.name)
	w.log.Warn("engine has seen a higher fencing number", zap.Uint64("epoch", epoch), zap.Uint64("fence", highest))
	if !w.o.readBack(ctx, keys) {
		w.o.drop(w.name)
		return
	}
	if now, held := w.o.epochOf(w.name); held && now == epoch {
		if running, _ := w.o.mayOrder(w.name); running {
			w.o.take(ctx, w.name, highest)
		}
	}
}

// restarted tells about a new boot id.
func (w *worker) restarted() {
	w.log.Warn("engine restarted", zap.Uint64("epoch", w.ledger.Epoch()), zap.String("boot-id", w.ledger.BootID()))
	w.o.Metrics.Restarts.Inc()
	clear(w.rest)
	if w.o.OnRestart != nil {
		w.o.OnRestart(w.name)
	}
}

// left tells that the engine is leaving.
func (w *worker) left() {
	w.log.Info("engine is leaving", zap.Uint64("epoch", w.ledger.Epoch()))
	w.leaving = true
	if w.o.OnLeaving != nil {
		w.o.OnLeaving(w.name)
	}
}

// settle counts orders that are done and ends their claims.
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
			w.o.Metrics.Moves.WithLabelValues(string(o.Op)).Inc()
		}
		delete(w.orders, item)
		w.endClaim(ctx, w.slots, item)
		w.endClaim(ctx, w.unloads, item)
	}
}

func (w *worker) endClaim(ctx context.Context, in map[backend.Item]claim, item backend.Item) {
	if c, ok := in[item]; ok {
		delete(in, item)
		w.o.claims.release(ctx, c)
	}
}

// endSlots ends the claims of loads when the server is given up. Claims of
// unloads stay until they expire, since such an order may still take effect.
func (w *worker) endSlots(ctx context.Context) {
	for item := range w.slots {
		w.endClaim(ctx, w.slots, item)
	}
}

// publish sets the server's view.
func (w *worker) publish(epoch uint64) {
	w.sequence++
	v := view.Server{
		Server: w.name, Owner: w.o.Node, Epoch: epoch, Sequence: w.sequence,
		BootID: w.ledger.BootID(), Resident: w.ledger.Serving(), Loading: w.ledger.Loading(),
		Slots: w.server.Slots, FreeBytes: w.ledger.Free(),
		Reachable: w.misses < missesToUnreachable && w.ledger.Epoch() == epoch, Leaving: w.leaving,
	}
	w.o.Metrics.Memory.WithLabelValues(w.name, "held").Set(float64(w.ledger.Used()))
	w.o.Metrics.Memory.WithLabelValues(w.name, "free").Set(float64(v.FreeBytes))
	w.o.mu.Lock()
	w.o.views[w.name] = v
	w.o.mu.Unlock()
}

package owner

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/lease"
	"guavapaddle/core/row"
	"guavapaddle/core/view"
)

const (
	// DefaultPoll is the time between two polls of an engine.
	DefaultPoll = 250 * time.Millisecond
	// DefaultQuietPoll is the time between two polls of an engine that answers
	// and has nothing to do for its owner.
	DefaultQuietPoll = time.Second
	// DefaultTick is the time between two ticks of the keeper.
	DefaultTick = 200 * time.Millisecond
	// DefaultHandOver is how long another node must be the wanted owner
	// before a server is handed over.
	DefaultHandOver = time.Second
	// DefaultPatience is the time after which an order without effect is
	// sent again.
	DefaultPatience = 2 * time.Second
	// DefaultCallTimeout bounds each call to an engine or to the table.
	DefaultCallTimeout = 2 * time.Second
)

type (
	// Table is the table service. Its errors are sorted by table.KindOf.
	Table interface {
		Transact(ctx context.Context, tx row.Tx) (row.Result, error)
		Read(ctx context.Context, keys ...string) ([]row.Row, error)
	}

	// Engine is one model engine. Its errors are sorted by engine.KindOf.
	Engine interface {
		State(ctx context.Context) (backend.State, error)
		Fence(ctx context.Context, fence uint64) (backend.Inventory, error)
		Order(ctx context.Context, o backend.Order) (done bool, err error)
	}

	// Owner owns backend servers. Its exported fields are set before Run;
	// callbacks must not block and are made without locks held.
	Owner struct {
		Node        string
		Incarnation string // unique to this start of the node
		Table       Table
		Engine      func(address string) Engine // called once for each address in use
		// Live returns the names of the live nodes. A node that is not among
		// them, as one that is stopping, hands its servers over.
		Live func() []string

		// Known returns what is known of all servers, to find other copies of
		// an item; LastCopy may veto an unload. Without both nothing that is
		// declared is unloaded.
		Known    func() []view.Server
		LastCopy func(item backend.Item, server string) bool

		// Occupancy tells what the dispatcher has on a server; may be nil.
		Occupancy func(server string) (running, queued, slots int, waitMS int64)
		OnRestart func(server string) // the engine has a new boot id; may be nil
		OnLeaving func(server string) // the engine said that it is leaving; may be nil

		Log     *zap.Logger // nil: no log
		Metrics *Metrics    // nil: not counted

		Lease       lease.Settings // TTL, Margin and MaxPause; names are filled in
		Poll        time.Duration  // DefaultPoll if zero, each jittered by a fifth
		QuietPoll   time.Duration  // DefaultQuietPoll if zero, but never below Poll
		Tick        time.Duration  // DefaultTick if zero
		HandOver    time.Duration  // DefaultHandOver if zero
		Patience    time.Duration  // DefaultPatience if zero
		CallTimeout time.Duration  // DefaultCallTimeout if zero

		epoch    time.Time // monotonic times count from here
		once     sync.Once
		claims   *claims
		division division   // of the loop that takes servers
		mu       sync.Mutex // guards all below
		book     *lease.Registry
		catalog  *catalog
		version  uint64
		workers  map[string]*worker
		plans    map[string][]backend.Item
		views    map[string]view.Server
		engines  map[string]Engine
		unowned  map[string]time.Duration // since when another node is the wanted owner
		down     bool                     // the last call to the table failed
		looked   time.Duration            // when free servers were last looked for
		held     map[string]uint64        // epochs already logged as acquired
	}

	// division is which servers the node should own, and from what this follows.
	division struct {
		live   []string
		known  *catalog
		wanted map[string]bool
	}
)

// init fills in defaults.
func (o *Owner) init() {
	o.once.Do(func() {
		setDefault(&o.Poll, DefaultPoll)
		setDefault(&o.QuietPoll, DefaultQuietPoll)
		o.QuietPoll = max(o.QuietPoll, o.Poll)
		setDefault(&o.Tick, DefaultTick)
		setDefault(&o.HandOver, DefaultHandOver)
		setDefault(&o.Patience, DefaultPatience)
		setDefault(&o.CallTimeout, DefaultCallTimeout)
		if o.Log == nil {
			o.Log = zap.NewNop()
		}
		if o.Metrics == nil {
			o.Metrics = NewMetrics()
		}
		o.epoch = time.Now()
		o.Lease.Node, o.Lease.Incarnation = o.Node, o.Incarnation
		o.book = lease.NewRegistry(o.Lease)
		o.catalog = newCatalog(config.Document{})
		o.claims = newClaims(o)
		o.workers = map[string]*worker{}
		o.plans = map[string][]backend.Item{}
		o.views = map[string]view.Server{}
		o.engines = map[string]Engine{}
		o.unowned = map[string]time.Duration{}
		o.held = map[string]uint64{}
	})
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// now returns the monotonic time since the owner was made.
func (o *Owner) now() time.Duration { return time.Since(o.epoch) }

// SetDocument sets the configuration in force. Lower versions than the one
// in force are passed over.
func (o *Owner) SetDocument(doc config.Document, version uint64) {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	if version < o.version {
		return
	}
	o.catalog, o.version = newCatalog(doc), version
	for _, w := range o.workers {
		w.wake()
	}
}

// SetPlan sets the items that a server should hold, most important first. A
// model goes before its adapters. Items that are not wanted are unloaded only
// when their bytes are needed or when they are no longer declared.
func (o *Owner) SetPlan(server string, want []backend.Item) {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.workers[server]; w != nil && !slices.Equal(o.plans[server], want) {
		w.wake()
	}
	o.plans[server] = slices.Clone(want)
}

// Views returns what the owner sees of each server that it owns, ordered by
// name.
func (o *Owner) Views() []view.Server {
	o.init()
	o.mu.Lock()
	out := make([]view.Server, 0, len(o.views))
	for _, v := range o.views {
		out = append(out, v)
	}
	o.mu.Unlock()
	slices.SortFunc(out, func(a, b view.Server) int { return strings.Compare(a.Server, b.Server) })
	for i := range out {
		if o.Occupancy != nil {
			out[i].Running, out[i].Queued, out[i].Slots, out[i].WaitMS = o.Occupancy(out[i].Server)
		}
	}
	return out
}

// Run owns servers until ctx ends; then it finishes calls under way, releases
// all servers and returns.
func (o *Owner) Run(ctx context.Context) {
	o.init()
	var loops sync.WaitGroup
	loops.Go(func() { every(ctx, o.Tick, o.tick) })
	loops.Go(func() { every(ctx, o.Tick, func() { o.renewDue(ctx) }) })
	loops.Go(func() {
		every(ctx, o.Tick, func() {
			o.keep(ctx)
			for _, w := range o.newWorkers() {
				loops.Go(func() { w.run(ctx) })
			}
		})
	})
	loops.Wait()
	o.releaseAll(context.WithoutCancel(ctx))
}

// alarm returns a timer that fills ring after d, which is not zero, and after
// each Reset. A timer that is due when it is set, or whose own channel is in a
// select, runs on the setter's stack; with the race detector in fake time that
// crashes the runtime of Go 1.26 now and then.
func alarm(d time.Duration, ring chan struct{}) *time.Timer {
	return time.AfterFunc(d, func() {
		select {
		case ring <- struct{}{}:
		default:
		}
	})
}

// every calls f at once and then each period after it returned, until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	f()
	ring := make(chan struct{}, 1)
	timer := alarm(period, ring)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ring:
		}
		f()
		timer.Reset(period)
	}
}

// newWorkers returns workers for servers that are held and have none yet.
func (o *Owner) newWorkers() []*worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*worker
	for name := range o.catalog.servers {
		if _, held := o.book.Held(name); held && o.workers[name] == nil {
			w := newWorker(o, name)
			o.workers[name] = w
			out = append(out, w)
		}
	}
	return out
}

// retire removes the worker of a server unless the server is held again.
func (o *Owner) retire(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, held := o.book.Held(server); held {
		return false
	}
	delete(o.workers, server)
	delete(o.views, server)
	o.Metrics.forget(server)
	return true
}

// known returns what the configuration in force declares.
func (o *Owner) known() *catalog {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.catalog
}

// plan returns the items that a server should hold.
func (o *Owner) plan(server string) []backend.Item {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.plans[server]
}

// engine returns the client for an address.
func (o *Owner) engine(address string) Engine {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.engines[address]
	if !ok {
		e = o.Engine(address)
		o.engines[address] = e
	}
	return e
}

// jitter returns d changed by up to a fifth either way.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

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
	// DefaultQuietPoll is the time between two polls of a reachable engine that
	// matches its plan and has no order in progress.
	DefaultQuietPoll = time.Second
	// DefaultTickPeriod is the period of the loops that renew the session and acquire
	// servers.
	DefaultTickPeriod = 200 * time.Millisecond
	// DefaultHandoverDelay is how long another node must be the assigned owner
	// before a server is handed over.
	DefaultHandoverDelay = time.Second
	// DefaultResendAfter is the time after which an order that has shown no effect
	// is sent again.
	DefaultResendAfter = 2 * time.Second
	// DefaultCallTimeout bounds each call to an engine or to the table.
	DefaultCallTimeout = 2 * time.Second
)

type (
	// Table is the table service. Its errors are classified by table.KindOf.
	Table interface {
		Transact(ctx context.Context, tx row.Tx) (row.Result, error)
		Read(ctx context.Context, keys ...string) ([]row.Row, error)
	}

	// Engine is one model engine. Its errors are classified by engine.KindOf.
	Engine interface {
		State(ctx context.Context) (backend.State, error)
		Fence(ctx context.Context, fence uint64) (backend.Inventory, error)
		Order(ctx context.Context, o backend.Order) (done bool, err error)
	}

	// Owner manages backend servers. Exported fields are set before Run.
	// Callbacks must not block; they are called without locks held.
	Owner struct {
		Node        string
		Incarnation string // unique to this start of the node
		Table       Table
		Engine      func(address string) Engine // called once per address
		// Live returns the names of the live nodes. A node that is not listed,
		// for example because it is stopping, hands over its servers.
		Live func() []string

		// Known returns the views of all servers and is used to find other
		// copies of an item. LastCopy may veto an unload. If both are nil,
		// declared items are never unloaded.
		Known    func() []view.Server
		LastCopy func(item backend.Item, server string) bool

		// Load returns the dispatcher's load on a server; may be nil.
		Load      func(server string) (running, queued, slots int, waitMS int64)
		OnRestart func(server string) // called when the engine has a new boot ID; may be nil
		OnLeaving func(server string) // called when the engine announces that it is leaving; may be nil

		Log     *zap.Logger // nil disables logging
		Metrics *Metrics    // nil disables metrics

		Lease         lease.Settings // TTL, Margin and MaxPause; Node and Incarnation are filled in
		Poll          time.Duration  // DefaultPoll if zero; each interval is jittered by 20%
		QuietPoll     time.Duration  // DefaultQuietPoll if zero; at least Poll
		TickPeriod    time.Duration  // DefaultTickPeriod if zero
		HandoverDelay time.Duration  // DefaultHandoverDelay if zero
		ResendAfter   time.Duration  // DefaultResendAfter if zero
		CallTimeout   time.Duration  // DefaultCallTimeout if zero

		epoch           time.Time // origin of monotonic times
		once            sync.Once
		claims          *claims
		assignment      assignment // used only by the loop that acquires servers
		mu              sync.Mutex // guards the fields below
		registry        *lease.Registry
		catalog         *catalog
		version         uint64
		workers         map[string]*worker
		plans           map[string][]backend.Item
		views           map[string]view.Server
		engines         map[string]Engine
		reassignedSince map[string]time.Duration // when another node became the assigned owner
		tableDown       bool                     // the last call to the table failed
		searchedAt      time.Duration            // last search for free servers
		held            map[string]uint64        // epochs already logged as acquired
	}

	// assignment is the set of servers that the node should own, and the inputs
	// from which it was computed.
	assignment struct {
		live    []string
		catalog *catalog
		servers map[string]bool // names
	}
)

// init sets defaults and allocates state on first use.
func (o *Owner) init() {
	o.once.Do(func() {
		setDefault(&o.Poll, DefaultPoll)
		setDefault(&o.QuietPoll, DefaultQuietPoll)
		o.QuietPoll = max(o.QuietPoll, o.Poll)
		setDefault(&o.TickPeriod, DefaultTickPeriod)
		setDefault(&o.HandoverDelay, DefaultHandoverDelay)
		setDefault(&o.ResendAfter, DefaultResendAfter)
		setDefault(&o.CallTimeout, DefaultCallTimeout)
		if o.Log == nil {
			o.Log = zap.NewNop()
		}
		if o.Metrics == nil {
			o.Metrics = NewMetrics()
		}
		o.epoch = time.Now()
		o.Lease.Node, o.Lease.Incarnation = o.Node, o.Incarnation
		o.registry = lease.NewRegistry(o.Lease)
		o.catalog = newCatalog(config.Document{})
		o.claims = newClaims(o)
		o.workers = map[string]*worker{}
		o.plans = map[string][]backend.Item{}
		o.views = map[string]view.Server{}
		o.engines = map[string]Engine{}
		o.reassignedSince = map[string]time.Duration{}
		o.held = map[string]uint64{}
	})
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// now returns the monotonic time since the owner was initialized.
func (o *Owner) now() time.Duration { return time.Since(o.epoch) }

// SetDocument sets the configuration in force. Versions lower than the current
// one are ignored.
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
// model precedes its adapters. Items outside the plan are unloaded only when
// their memory is needed or when they are no longer declared.
func (o *Owner) SetPlan(server string, want []backend.Item) {
	o.init()
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.workers[server]; w != nil && !slices.Equal(o.plans[server], want) {
		w.wake()
	}
	o.plans[server] = slices.Clone(want)
}

// Views returns the current view of each owned server, ordered by name.
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
		if o.Load != nil {
			out[i].Running, out[i].Queued, out[i].Slots, out[i].WaitMS = o.Load(out[i].Server)
		}
	}
	return out
}

// Run manages servers until ctx ends. It then waits for calls in progress,
// releases all servers and returns.
func (o *Owner) Run(ctx context.Context) {
	o.init()
	var loops sync.WaitGroup
	loops.Go(func() { every(ctx, o.TickPeriod, o.tick) })
	loops.Go(func() { every(ctx, o.TickPeriod, func() { o.renewIfDue(ctx) }) })
	loops.Go(func() {
		every(ctx, o.TickPeriod, func() {
			o.reconcile(ctx)
			for _, w := range o.newWorkers() {
				loops.Go(func() { w.run(ctx) })
			}
		})
	})
	loops.Wait()
	o.releaseAll(context.WithoutCancel(ctx))
}

// newSignalTimer returns a timer that sends to fired after d and after each Reset.
// The duration d must not be zero. A timer that is already due when set, or whose
// own channel is used in a select, runs on the setter's stack; with the race
// detector in fake time, this occasionally crashes the Go 1.26 runtime.
func newSignalTimer(d time.Duration, fired chan struct{}) *time.Timer {
	return time.AfterFunc(d, func() {
		select {
		case fired <- struct{}{}:
		default:
		}
	})
}

// every calls f immediately and then again one period after each return, until
// ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	f()
	fired := make(chan struct{}, 1)
	timer := newSignalTimer(period, fired)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-fired:
		}
		f()
		timer.Reset(period)
	}
}

// newWorkers creates workers for held servers that have none.
func (o *Owner) newWorkers() []*worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*worker
	for name := range o.catalog.servers {
		if _, held := o.registry.Held(name); held && o.workers[name] == nil {
			w := newWorker(o, name)
			o.workers[name] = w
			out = append(out, w)
		}
	}
	return out
}

// removeWorker removes the worker of a server. It returns false, changing nothing,
// if the server is held again.
func (o *Owner) removeWorker(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, held := o.registry.Held(server); held {
		return false
	}
	delete(o.workers, server)
	delete(o.views, server)
	o.Metrics.deleteServer(server)
	return true
}

// currentCatalog returns the catalog of the configuration in force.
func (o *Owner) currentCatalog() *catalog {
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

// engine returns the client for an address, creating it on first use.
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

// jitter returns d varied randomly by up to 20% in either direction.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

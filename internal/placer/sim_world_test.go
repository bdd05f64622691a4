package placer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/core/leader"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/placer"
	"guavapaddle/platform"
)

const (
	simService   = "llm"
	simEngineN   = 18
	simModelN    = 29
	simSmall     = 16 // models of 65.1 GB; the others have 72.7 GB
	simLoadsPerS = 2.1
	simWindow    = 5 * time.Second
	simTTL       = 3 * time.Second
	simNodes     = 3
	simGrace     = 6 * time.Second // a node that stops goes on so long at most
	simHot       = 5               // models that are asked for
)

type (
	// world is a small deployment in simulated time: engines, the row of the lease,
	// and nodes that come and go. All that is drawn comes from one seed.
	world struct {
		mu      sync.Mutex
		rng     *rand.Rand
		origin  time.Time // when the play began
		version int64
		engines map[string]*simEngine
		lapsed  map[string]time.Time // entries that are missing until then
		row     platform.Row
		nodes   []*simNode
		started int
		loads   []time.Time // that began from the weight store
		faults  []string
		events  []string
		hot     []string
		config  *fleet.Config
		ctx     context.Context
		wg      sync.WaitGroup
	}

	// simNode is a node that may hold the lease.
	simNode struct {
		*placer.Placer

		world  *world
		name   string
		cancel context.CancelFunc
		cut    time.Time // away from the store until then
		ending bool
	}
)

// newWorld returns a world with so many engines of the deployment and no node.
func newWorld(ctx context.Context, seed uint64, engines int) *world {
	w := &world{ctx: ctx, rng: rand.New(rand.NewPCG(seed, 1)), origin: time.Now(), engines: map[string]*simEngine{}, lapsed: map[string]time.Time{}}
	e := &fleet.Engine{WeightsMB: simWeightsMB, AdapterSlots: simPlaces, LoadsPerS: simLoadsPerS, Models: map[string]fleet.Model{}}
	for i := range simModelN {
		name := fmt.Sprint("m", i)
		e.Models[name] = fleet.Model{Name: name, MB: w.megabytes(name), Adapters: 20, AdapterMB: simAdapterMB}
	}
	w.config = fleet.NewConfig(1, nil, []fleet.Service{{Name: simService, Engine: e}}, fleet.Limits{})
	for i := range engines {
		id := fmt.Sprintf("i-%02d", i)
		w.engines[id] = newSimEngine(w, id, fmt.Sprint("m", i%4), fmt.Sprint("m", 4+i), fmt.Sprint("m", 4+(i+1)%25))
	}
	w.shift()
	return w
}

// megabytes returns a model's size, zero for none.
func (w *world) megabytes(model string) float64 {
	var n int
	if _, err := fmt.Sscanf(model, "m%d", &n); err != nil {
		return 0
	}
	if n < simModelN-simSmall {
		return 72700
	}
	return 65100
}

// fork returns a source of its own for a part of the world.
func (w *world) fork() *rand.Rand { return rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64())) }

func (w *world) engine(id string) *simEngine { return w.engines[id] }

func (w *world) nextVersion() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	return w.version
}

// began notes that a load from the weight store begins.
func (w *world) began(engine, model string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loads = append(w.loads, time.Now())
	w.note("load", engine, model)
}

// overcommitted notes a load for which an engine has no room.
func (w *world) overcommitted(engine string, models []string, loading string, adapters int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf("%v: %s holds %v, loads %q, %d adapters", time.Since(w.origin), engine, models, loading, adapters))
}

// note notes what was done, for the report of a failure; w.mu is held.
func (w *world) note(what ...string) {
	w.events = append(w.events, fmt.Sprint(time.Since(w.origin).Round(time.Millisecond), " ", strings.Join(what, " ")))
}

// event is note for callers that don't hold w.mu.
func (w *world) event(what ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(what...)
}

// worstWindow returns the most loads that began within one window, and when.
func (w *world) worstWindow() (int, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	most, at := 0, time.Duration(0)
	for i, first := range w.loads {
		n := 0
		for _, t := range w.loads[i:] {
			if t.Sub(first) < simWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.Sub(w.origin)
		}
	}
	return most, at
}

// start starts a node that reaches the engines in its own way, as all do if that is
// nil.
func (w *world) start(engines placer.Engines) *simNode {
	w.mu.Lock()
	w.started++
	n := &simNode{world: w, name: fmt.Sprint("n", w.started)}
	rng := w.fork()
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(w.ctx)
	n.cancel = cancel
	if engines == nil {
		engines = &simEngines{w}
	}
	n.Placer = &placer.Placer{
		Store: n, Engines: engines, Hub: &hub.Hub{Self: n.name}, Log: zap.NewNop(), Fencing: true, Window: simWindow,
		Reachable: n.reachable,
		Keeper:    &leader.Elector{Self: leader.Lease{Node: n.name, Incarnation: n.name, Key: n.name, Cores: 1}, TTL: simTTL},
		Clock:     func() time.Duration { return time.Since(w.origin) + time.Hour },
		Ordered:   func(string) {}, Began: func() { w.event("lease", n.name) }, Lacking: n.lacking, Noted: func(hub.Note) {},
	}
	n.Config(w.config)
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	w.wg.Go(func() { n.Run(ctx) })
	w.wg.Go(func() { n.feed(ctx, rng) })
	return n
}

// reachable tells whether another node says that it holds the lease.
func (n *simNode) reachable() bool {
	n.world.mu.Lock()
	nodes := slices.Clone(n.world.nodes)
	n.world.mu.Unlock()
	for _, o := range nodes {
		if o != n && o.Holding() {
			return true
		}
	}
	return false
}

// lacking has requests wait for the hot models that no engine holds.
func (n *simNode) lacking() map[string]int {
	held := map[string]bool{}
	for _, s := range n.world.list() {
		for _, h := range s.Resident {
			held[h.Model] = true
		}
	}
	out := map[string]int{}
	for _, m := range n.world.asked() {
		if !held[m] {
			out[m] = 3
		}
	}
	return out
}

// feed passes the entries on, some hundred milliseconds late and sometimes seconds,
// and tells the holder what is asked for.
func (n *simNode) feed(ctx context.Context, rng *rand.Rand) {
	n.Servers(n.world.list())
	for {
		list := n.world.list()
		wait := time.Duration(20+rng.IntN(400)) * time.Millisecond
		if rng.IntN(20) == 0 {
			wait += time.Duration(rng.IntN(2000)) * time.Millisecond
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
		n.Servers(list)
		if !n.Holding() {
			continue
		}
		r := hub.Report{Node: "entry"}
		for _, m := range n.world.asked() {
			r.Demand = append(r.Demand, hub.Demand{Item: hub.Item{Service: simService, Model: m}, Tokens: 4000 + rng.IntN(8000)})
		}
		n.Report(r)
	}
}

// list returns all entries that the store has.
func (w *world) list() []fleet.Server {
	w.mu.Lock()
	lapsed := maps.Clone(w.lapsed)
	w.mu.Unlock()
	var out []fleet.Server
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		if time.Now().After(lapsed[id]) {
			out = append(out, w.engines[id].listed())
		}
	}
	return out
}

// asked returns the models that are asked for.
func (w *world) asked() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hot
}

// shift moves the demand to other models.
func (w *world) shift() {
	w.mu.Lock()
	defer w.mu.Unlock()
	hot := make([]string, 0, simHot)
	for range simHot {
		hot = append(hot, fmt.Sprint("m", w.rng.IntN(simModelN)))
	}
	w.hot = hot
}

// ReadOne implements placer.Store.
func (n *simNode) ReadOne(ctx context.Context, table, key string) (platform.Row, error) {
	if err := n.call(ctx); err != nil {
		return platform.Row{}, err
	}
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.world.row.Version == 0 {
		return platform.Row{Table: table, Key: key}, nil
	}
	return n.world.row, nil
}

// Change implements placer.Store for one row.
func (n *simNode) Change(ctx context.Context, c platform.Change) ([]platform.Row, int64, bool, error) {
	if err := n.call(ctx); err != nil {
		return nil, 0, false, err
	}
	w := n.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Expect[0].Version != w.row.Version {
		return []platform.Row{w.row}, 0, false, nil
	}
	w.version++
	w.row = c.Set[0]
	w.row.Version = w.version
	if w.rng.IntN(20) == 0 {
		return nil, 0, false, errNoAnswer
	}
	return nil, w.version, true, nil
}

// call takes the time of a call to the store, and fails while the node is cut off.
func (n *simNode) call(ctx context.Context) error {
	n.world.mu.Lock()
	cut := time.Now().Before(n.cut)
	wait := time.Duration(2+n.world.rng.IntN(8)) * time.Millisecond
	n.world.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	if !clock.Sleep(ctx, wait) {
		return ctx.Err()
	}
	return nil
}

// holder returns the node that last took the lease, by the row.
func (w *world) holder() *simNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l leader.Lease
	if w.row.Version == 0 || json.Unmarshal(w.row.Value, &l) != nil {
		return nil
	}
	for _, n := range w.nodes {
		if n.name == l.Node {
			return n
		}
	}
	return nil
}

// stop has a node give the lease up and end after a while, as a planned stop does.
func (w *world) stop(n *simNode, after time.Duration) {
	if n.ending {
		return
	}
	n.ending = true
	w.event("stop", n.name)
	w.start(nil)
	w.wg.Go(func() {
		n.Release(w.ctx)
		clock.Sleep(w.ctx, after)
		w.remove(n)
	})
}

// kill ends a node at once.
func (w *world) kill(n *simNode) {
	if n.ending {
		return
	}
	n.ending = true
	w.event("kill", n.name)
	w.remove(n)
	w.start(nil)
}

func (w *world) remove(n *simNode) {
	n.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = slices.DeleteFunc(w.nodes, func(o *simNode) bool { return o == n })
}

// split splits model/adapter.
func split(key string) (model, adapter string) {
	model, adapter, _ = strings.Cut(key, "/")
	return model, adapter
}

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
	"guavapaddle/core/revision"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/placer"
	"guavapaddle/platform"
)

const (
	simService     = "llm"
	simEngineN     = 18
	simModelN      = 29
	simSmallModelN = 16 // number of models of 65.1 GB; the others have 72.7 GB
	simLoadsPerS   = 2.1
	simWindow      = 5 * time.Second
	simTTL         = 3 * time.Second
	simNodes       = 3
	simMaxGrace    = 6 * time.Second // maximum time that a stopping node keeps running
	simRequestedN  = 5               // number of models with demand
)

type (
	// simWorld is a small deployment in simulated time: engines, the lease row, and nodes
	// that start and stop. All random choices derive from one seed.
	simWorld struct {
		mu           sync.Mutex
		rng          *rand.Rand
		origin       time.Time // start of the run
		version      int64
		era          int64
		copies       []simCopy        // of the store, taken every simCopyInterval
		holders      map[int64]string // by epoch, the node that sent orders under it
		engines      map[string]*simEngine
		missingUntil map[string]time.Time    // until when an engine's entry is missing
		rows         map[string]platform.Row // of the lease's table, by key
		nodes        []*simNode
		started      int
		loads        []time.Time // start times of loads from the weight store
		faults       []string
		events       []string
		requested    []string
		config       *fleet.Config
		ctx          context.Context
		wg           sync.WaitGroup
	}

	// simNode is a node that may become leader.
	simNode struct {
		*placer.Placer

		world          *simWorld
		name           string
		cancel         context.CancelFunc
		storeLostUntil time.Time // until when the node can't reach the store
		stopping       bool
	}
)

// newSimWorld returns a deployment with the given number of engines and no nodes.
func newSimWorld(ctx context.Context, seed uint64, engines int) *simWorld {
	w := &simWorld{ctx: ctx, rng: rand.New(rand.NewPCG(seed, 1)), origin: time.Now(), engines: map[string]*simEngine{}, missingUntil: map[string]time.Time{},
		rows: map[string]platform.Row{}, holders: map[int64]string{}}
	e := &fleet.Engine{WeightsMB: simWeightsMB, AdapterSlots: simAdapterSlots, LoadsPerS: simLoadsPerS, Models: map[string]fleet.Model{}}
	for i := range simModelN {
		name := fmt.Sprint("m", i)
		e.Models[name] = fleet.Model{Name: name, MB: w.megabytes(name), Adapters: 20, AdapterMB: simAdapterMB}
	}
	w.config = fleet.NewConfig(1, nil, []fleet.Service{{Name: simService, Engine: e}}, fleet.Limits{})
	for i := range engines {
		id := fmt.Sprintf("i-%02d", i)
		w.engines[id] = newSimEngine(w, id, fmt.Sprint("m", i%4), fmt.Sprint("m", 4+i), fmt.Sprint("m", 4+(i+1)%25))
	}
	w.shiftDemand()
	return w
}

// megabytes returns the size of a model, zero if the name is invalid.
func (w *simWorld) megabytes(model string) float64 {
	var n int
	if _, err := fmt.Sscanf(model, "m%d", &n); err != nil {
		return 0
	}
	if n < simModelN-simSmallModelN {
		return 72700
	}
	return 65100
}

// newRand returns an independent random source derived from the seed.
func (w *simWorld) newRand() *rand.Rand { return rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64())) }

func (w *simWorld) engine(id string) *simEngine { return w.engines[id] }

func (w *simWorld) nextVersion() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	return w.version
}

// loadStarted records the start of a load from the weight store.
func (w *simWorld) loadStarted(engine, model string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loads = append(w.loads, time.Now())
	w.recordEvent("load", engine, model)
}

// recordOvercommit records a load for which an engine has no room.
func (w *simWorld) recordOvercommit(engine string, models []string, loading string, adapters int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf("%v: %s holds %v, loads %q, %d adapters", time.Since(w.origin), engine, models, loading, adapters))
}

// recordEvent records an event for the message of a failed test; w.mu is held.
func (w *simWorld) recordEvent(what ...string) {
	w.events = append(w.events, fmt.Sprint(time.Since(w.origin).Round(time.Millisecond), " ", strings.Join(what, " ")))
}

// logEvent acquires w.mu and calls recordEvent.
func (w *simWorld) logEvent(what ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordEvent(what...)
}

// worstWindow returns the largest number of loads started within one window, and the start
// of that window.
func (w *simWorld) worstWindow() (int, time.Duration) {
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

// start starts a node that calls the engines through the given implementation, or through
// simEngines if it is nil.
func (w *simWorld) start(engines placer.Engines) *simNode {
	w.mu.Lock()
	w.started++
	n := &simNode{world: w, name: fmt.Sprint("n", w.started)}
	rng := w.newRand()
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(w.ctx)
	n.cancel = cancel
	if engines == nil {
		engines = &simEngines{w}
	}
	n.Placer = &placer.Placer{
		Store: n, Engines: engines, Hub: &hub.Hub{Self: n.name}, Log: zap.NewNop(), Fencing: true, Window: simWindow,
		LeaderReachable: n.reachable,
		Elector:         &leader.Elector{Self: leader.Lease{Node: n.name, Incarnation: n.name, Key: n.name, Cores: 1}, TTL: simTTL},
		Clock:           func() time.Duration { return time.Since(w.origin) + time.Hour },
		OnVerdict:       func(string) {}, OnElected: func() { w.logEvent("lease", n.name) }, WaitingWithoutCopy: func() map[hub.Item]int { return byItem(n.waiting()) }, OnResidency: func(hub.ResidencyUpdate) {},
	}
	n.SetConfig(w.config)
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	w.wg.Go(func() { n.Run(ctx) })
	w.wg.Go(func() { n.feed(ctx, rng) })
	return n
}

// reachable reports whether another node is the leader.
func (n *simNode) reachable() bool {
	n.world.mu.Lock()
	nodes := slices.Clone(n.world.nodes)
	n.world.mu.Unlock()
	for _, o := range nodes {
		if o != n && o.IsLeading() {
			return true
		}
	}
	return false
}

// waiting returns waiting requests for the requested models that no engine holds.
func (n *simNode) waiting() map[string]int {
	held := map[string]bool{}
	for _, s := range n.world.entries() {
		for _, h := range s.Resident {
			held[h.Model] = true
		}
	}
	out := map[string]int{}
	for _, m := range n.world.requestedModels() {
		if !held[m] {
			out[m] = 3
		}
	}
	return out
}

// feed passes on the entries some hundred milliseconds late, sometimes seconds, and reports
// the demand to the leader.
func (n *simNode) feed(ctx context.Context, rng *rand.Rand) {
	n.SetServers(n.world.entries())
	for {
		list := n.world.entries()
		wait := time.Duration(20+rng.IntN(400)) * time.Millisecond
		if rng.IntN(20) == 0 {
			wait += time.Duration(rng.IntN(2000)) * time.Millisecond
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
		n.SetServers(list)
		if !n.IsLeading() {
			continue
		}
		r := hub.Report{Node: "entry"}
		for _, m := range n.world.requestedModels() {
			r.Demand = append(r.Demand, hub.Demand{Item: hub.Item{Service: simService, Model: m}, Tokens: 4000 + rng.IntN(8000)})
		}
		n.Report(r)
	}
}

// entries returns all entries in the store.
func (w *simWorld) entries() []fleet.Server {
	w.mu.Lock()
	lapsed := maps.Clone(w.missingUntil)
	w.mu.Unlock()
	var out []fleet.Server
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		if time.Now().After(lapsed[id]) {
			out = append(out, w.engines[id].currentEntry())
		}
	}
	return out
}

// requestedModels returns the models with demand.
func (w *simWorld) requestedModels() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requested
}

// shiftDemand moves the demand to other models.
func (w *simWorld) shiftDemand() {
	w.mu.Lock()
	defer w.mu.Unlock()
	models := make([]string, 0, simRequestedN)
	for range simRequestedN {
		models = append(models, fmt.Sprint("m", w.rng.IntN(simModelN)))
	}
	w.requested = models
}

// ReadOne implements placer.Store.
func (n *simNode) ReadOne(ctx context.Context, table, key string) (platform.Row, error) {
	if err := n.storeCall(ctx); err != nil {
		return platform.Row{}, err
	}
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	r := n.world.rows[key]
	r.Table, r.Key, r.Era = table, key, n.world.era
	return r, nil
}

// Change implements placer.Store.
func (n *simNode) Change(ctx context.Context, c platform.Change) ([]platform.Row, revision.Revision, bool, error) {
	if err := n.storeCall(ctx); err != nil {
		return nil, revision.Revision{}, false, err
	}
	w := n.world
	w.mu.Lock()
	defer w.mu.Unlock()
	at := revision.Revision{Era: w.era}
	var current []platform.Row
	holds := true
	for _, e := range c.Expect {
		r := w.rows[e.Key]
		r.Era = w.era
		holds = holds && r.Version == e.Version
		if r.Version != 0 {
			current = append(current, r)
		}
	}
	if !holds {
		return current, at, false, nil
	}
	w.version++
	for _, r := range c.Remove {
		delete(w.rows, r.Key)
	}
	for _, r := range c.Set {
		r.Version = w.version
		w.rows[r.Key] = r
	}
	if w.rng.IntN(20) == 0 {
		return nil, revision.Revision{}, false, errNoReply
	}
	at.Number = w.version
	return nil, at, true, nil
}

// storeCall takes the time of a call to the store, and fails while the node can't reach it.
func (n *simNode) storeCall(ctx context.Context) error {
	n.world.mu.Lock()
	storeLost := time.Now().Before(n.storeLostUntil)
	wait := time.Duration(2+n.world.rng.IntN(8)) * time.Millisecond
	n.world.mu.Unlock()
	if storeLost {
		<-ctx.Done()
		return ctx.Err()
	}
	if !clock.Sleep(ctx, wait) {
		return ctx.Err()
	}
	return nil
}

// leader returns the node that last acquired the lease according to the row.
func (w *simWorld) leader() *simNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l leader.Lease
	if r := w.rows["orders"]; r.Version == 0 || json.Unmarshal(r.Value, &l) != nil {
		return nil
	}
	for _, n := range w.nodes {
		if n.name == l.Node {
			return n
		}
	}
	return nil
}

// stop has a node release the lease and end after a delay, as in a planned stop.
func (w *simWorld) stop(n *simNode, after time.Duration) {
	if n.stopping {
		return
	}
	n.stopping = true
	w.logEvent("stop", n.name)
	w.start(nil)
	w.wg.Go(func() {
		n.Release(w.ctx)
		clock.Sleep(w.ctx, after)
		w.remove(n)
	})
}

// kill ends a node without a release.
func (w *simWorld) kill(n *simNode) {
	if n.stopping {
		return
	}
	n.stopping = true
	w.logEvent("kill", n.name)
	w.remove(n)
	w.start(nil)
}

func (w *simWorld) remove(n *simNode) {
	n.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = slices.DeleteFunc(w.nodes, func(o *simNode) bool { return o == n })
}

// splitKey splits "model/adapter".
func splitKey(key string) (model, adapter string) {
	model, adapter, _ = strings.Cut(key, "/")
	return model, adapter
}

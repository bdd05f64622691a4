package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const (
	models   = 4
	adapters = 6
	places   = 4 // for adapters
	engines  = 3
	plains   = 3
	clients  = 6
	modelMB  = 72000
	engineMB = 230000 // room for three models
	// recovery is how long after the last fault every node must serve again: a
	// lease that lapses, a start, and the store's feeds.
	recovery = 10 * time.Second
	settle   = 1500 * time.Millisecond
	// revocation is how long after its removal a key may be used.
	revocation = 2 * time.Second
)

// The team that is bound: its quota, and how far it may go over in a window.
const (
	boundRate   = 4000 // tokens a second
	boundBurst  = 4000
	boundWindow = 4 * time.Second
	boundOver   = 0.1
	boundSlack  = 4000
)

type (
	// Run is one soak. Its exported fields are set before Do.
	Run struct {
		Binary   string // the program guavapaddle
		Seed     uint64
		Duration time.Duration
		Nodes    int
		Dir      string // for settings and logs of the processes
		Log      io.Writer

		check   *Checker
		store   *standin.Store
		nodes   []*node
		workers []*worker
		version atomic.Int64
		faults  sync.WaitGroup
		clean   []func()
		mu      sync.Mutex // guards Log and workers
	}

	// worker is a stand-in server behind a proxy.
	worker struct {
		*standin.Worker
		service string
		proxy   *Proxy
		left    atomic.Bool
	}
)

// leave claims the server's leaving; it leaves once.
func (w *worker) leave() bool { return w.left.CompareAndSwap(false, true) }

// Cleanup and Helper make a Run what the stand-ins need of a test.
func (r *Run) Cleanup(f func()) { r.clean = append(r.clean, f) }

// Helper does nothing.
func (r *Run) Helper() {}

// Do runs the soak and returns the promises that were broken. An error means
// that it could not be run.
func (r *Run) Do(ctx context.Context) ([]Violation, error) {
	r.check = NewChecker()
	defer r.end()
	if err := r.begin(); err != nil {
		return nil, err
	}
	if !r.recovered(ctx, "begin") {
		return nil, fmt.Errorf("soak: nodes did not start within %v", recovery)
	}
	work, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { r.load(work, i) })
	}
	wg.Go(func() { r.probe(work) })
	wg.Go(func() { r.need(work) })
	r.strike(work)
	r.faults.Wait()
	r.heal()
	if !r.recovered(ctx, "end") && ctx.Err() == nil {
		r.check.Break("recover", "not all nodes serve %v after the last fault", recovery)
	}
	stop()
	wg.Wait()
	clock.Sleep(ctx, settle) // what was sent before may still run
	if ctx.Err() != nil {
		return nil, ctx.Err() // cut short: nothing can be said
	}
	r.judge()
	r.say("answers %v", r.check.Counts())
	return r.check.Violations(), nil
}

// begin starts the store, the servers and the nodes.
func (r *Run) begin() error {
	r.store = standin.NewStore(r)
	r.configure(1)
	for i := range engines + plains {
		service := "plain"
		if i < engines {
			service = "llm"
		}
		if err := r.addWorker(service, fmt.Sprint("i-", i)); err != nil {
			return err
		}
	}
	for i := range r.Nodes {
		n, err := newNode(fmt.Sprint("n", i), r.Binary, r.Dir, r.store.Address())
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	for i, n := range r.nodes {
		n.settings.Seeds = []string{r.nodes[(i+1)%len(r.nodes)].settings.Control}
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// addWorker starts a server and writes its entry. Engines hold three of the
// models, so that one has to be loaded on demand.
func (r *Run) addWorker(service, id string) error {
	s := &standin.Worker{ID: id}
	if service == "llm" {
		s.Stream, s.Pause = streamEvents, 10*time.Millisecond
		for m := range 2 {
			s.Hold(fmt.Sprint("m", m))
		}
	}
	s.Start(r)
	p, err := NewProxy(s.Address())
	if err != nil {
		return err
	}
	w := &worker{Worker: s, service: service, proxy: p}
	r.mu.Lock()
	r.workers = append(r.workers, w)
	r.mu.Unlock()
	r.enter(w, false)
	return nil
}

// enter writes a server's entry, with the proxy's address.
func (r *Run) enter(w *worker, leaving bool) {
	r.store.Put(platform.TableServers, w.ID, w.EntryAt(w.proxy.Address(), w.service, "z", leaving))
}

// configure writes a configuration with a route that only it has.
func (r *Run) configure(version int) {
	d := standin.Deployment{Host: host, Models: models, Adapters: adapters, Places: places, ModelMB: modelMB, EngineMB: engineMB,
		Teams: []standin.Team{{Name: freeTeam, Keys: []string{key(freeTeam, version), key(freeTeam, version-1)}},
			{Name: boundTeam, Keys: []string{key(boundTeam, version), key(boundTeam, version-1)}, Rate: boundRate, Burst: boundBurst}}}
	r.store.Put(platform.TableOperator, platform.KeyConfig, d.Configuration(version))
	r.version.Store(int64(version))
	r.check.Revoked(version-2, time.Now().Add(revocation))
}

// refresh writes the entries of engines as they are, as their heartbeats do.
func (r *Run) refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		if w.service == "llm" && !w.left.Load() && r.store.Row(platform.TableServers, w.ID).Version != 0 {
			r.enter(w, false)
		}
	}
}

// recovered waits until every node is ready and serves.
func (r *Run) recovered(ctx context.Context, phase string) bool {
	rng := rand.New(rand.NewPCG(r.Seed, 1))
	for end := time.Now().Add(recovery); time.Now().Before(end) && ctx.Err() == nil; clock.Sleep(ctx, 50*time.Millisecond) {
		r.refresh()
		all := true
		for _, n := range r.nodes {
			all = all && n.ready()
		}
		if all {
			return r.serves(phase, rng)
		}
	}
	return false
}

// serves tells whether each node answers. Engines go on writing their entries
// meanwhile: a node may draw only models that are loaded on demand.
func (r *Run) serves(phase string, rng *rand.Rand) bool {
	for _, n := range r.nodes {
		before := r.check.Counts()["200"]
		for i := range 6 {
			r.refresh()
			r.request(r.oneClient(), n, fmt.Sprintf("%s-%s-%d", phase, n.settings.Node, i), rng)
		}
		if r.check.Counts()["200"] == before {
			return false
		}
	}
	return true
}

// heal ends all faults.
func (r *Run) heal() {
	r.store.Outage(false)
	for _, n := range r.nodes {
		n.proxy.Set(Pass)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		w.proxy.Set(Pass)
		w.Do(standin.OK)
		w.NameRate(0)
		w.AskRest(0)
	}
}

// judge checks what the servers saw.
func (r *Run) judge() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, w := range r.workers {
		ids = append(ids, w.Runs()...)
		r.check.Orders(w.ID, w.Given())
		if most := w.MostAdapters(); most > places {
			r.check.Break("memory", "engine %s was to hold %d adapters in %d places", w.ID, most, places)
		}
		if most := w.MostModels(); most*modelMB > engineMB {
			r.check.Break("memory", "engine %s was to hold %d models of %d MB", w.ID, most, modelMB)
		}
	}
	r.check.Runs(ids)
	for _, w := range r.workers {
		r.check.Keys(w.Ran())
		r.check.Needs(w.ID, w.Visits())
	}
	r.check.Quota(boundTeam, boundWindow, (boundRate*boundWindow.Seconds()+boundBurst)*(1+boundOver)+boundSlack)
}

// end ends the processes that the soak started.
func (r *Run) end() {
	for _, n := range r.nodes {
		if n.cmd != nil {
			_ = n.signal(syscall.SIGCONT)
			_ = n.signal(syscall.SIGKILL)
			n.wait()
		}
		n.proxy.Close()
		_ = n.log.Close()
	}
	for _, w := range r.workers {
		w.proxy.Close()
	}
	for _, f := range r.clean {
		f()
	}
}

// say writes a line about the run.
func (r *Run) say(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.Log, format+"\n", a...)
}

// TempDir makes a directory for a run's files.
func TempDir() (string, error) { return os.MkdirTemp("", "guavapaddle-soak-") }

package soak

import (
	"cmp"
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
	models       = 4 // unless Run.Models is set
	adapters     = 6
	adapterSlots = 4 // adapters that fit on an engine
	engines      = 3 // unless Run.Engines is set
	plainServers = 3
	clients      = 6
	modelMB      = 72000
	engineMB     = 230000 // fits three models
	// recoveryTime is how long after the last fault every node must serve again. It covers
	// the expiry of a lease, a start, and the catch-up of the store's feeds.
	recoveryTime = 10 * time.Second
	settleTime   = 1500 * time.Millisecond
	// revocationDelay is how long a key may be used after its removal.
	revocationDelay = 2 * time.Second
)

// The quota of the limited team, and by how much it may be exceeded in a window.
const (
	quotaRate      = 4000 // tokens per second
	quotaBurst     = 4000
	quotaWindow    = 4 * time.Second
	quotaOverRatio = 0.1
	quotaSlack     = 4000
)

type (
	// Run is one soak run. Its exported fields are set before Do.
	Run struct {
		Binary   string // path of the guavapaddle program
		Seed     uint64
		Duration time.Duration
		Nodes    int
		Models   int  // 0 means the usual number, with which each engine starts with the same two; else engines start with different ones
		Engines  int  // 0 means the usual number
		Restores bool // the store comes back from older copies, besides the other faults
		Versions bool // engines have several software versions and are replaced, and clients take streams up, besides the other faults
		Broken   bool // servers break off responses and send them without a length, besides the other faults
		// Crashes adds requests with a part of their prompts that crashes servers, copies of one request that does, and nodes that get
		// most requests, to the other faults.
		Crashes bool
		// Departures adds clients that leave before they have a response, to the other faults.
		Departures bool
		// Outages adds times in which each server of a service that starts crashes under its first requests, to the other faults.
		Outages bool
		// Contended adds bursts of deferrable requests and of one team's, from clients that return at once when they are refused, to
		// the other faults.
		Contended bool
		// Shares gives the node that gets most requests a share of a processor meanwhile, if Crashes is set.
		Shares bool
		// Soak is the path of the soak's own program. If it is set, it runs the nodes, which then lose their path to
		// the servers at times, and servers are silent or brittle, besides the other faults.
		Soak string
		Dir  string // for the settings and logs of the processes
		Log  io.Writer

		check                        *Checker
		store                        *standin.Store
		nodes                        []*node
		workers                      []*worker
		version                      atomic.Int64
		software                     atomic.Int64         // version of the next engine
		hot                          atomic.Pointer[node] // gets most requests, nil for none
		deferrable, deferrableServed atomic.Int64         // requests on the deferrable route
		started                      atomic.Int64         // engines

		fragile  atomic.Value // service whose servers crash under their first requests, empty for none
		faults   sync.WaitGroup
		cleanups []func()
		mu       sync.Mutex // guards Log, workers and cleanups
		rowsMu   sync.Mutex
		rows     map[rowKey][]byte // as last written by the operator and the servers, nil once removed
	}

	// worker is a stand-in server behind a proxy.
	worker struct {
		*standin.Worker
		service string
		proxy   *Proxy
		leaving atomic.Bool
	}
)

// startLeaving reports whether the caller may make the server leave; it returns true once.
func (w *worker) startLeaving() bool { return w.leaving.CompareAndSwap(false, true) }

// Cleanup registers a function that runs at the end. Cleanup and Helper give Run the methods
// of testing.TB that the stand-ins need.
func (r *Run) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

// Helper does nothing.
func (r *Run) Helper() {}

// Do runs the soak and returns the violations of invariants. It returns an error if the soak
// could not run to its end.
func (r *Run) Do(ctx context.Context) ([]Violation, error) {
	r.check = NewChecker()
	defer r.tearDown()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	if !r.awaitRecovery(ctx, "begin") {
		return nil, fmt.Errorf("soak: nodes did not start within %v", recoveryTime)
	}
	work, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { r.sendRequests(work, i) })
	}
	wg.Go(func() { r.probeConfigs(work) })
	wg.Go(func() { r.requestLimits(work) })
	if r.Soak != "" {
		cutting, end := context.WithCancel(work)
		r.faults.Go(func() { r.cutPaths(cutting) })
		defer end()
		time.AfterFunc(r.Duration, end)
	}
	if r.Versions {
		rolling, end := context.WithCancel(work)
		r.faults.Go(func() { r.rollVersions(rolling) })
		defer end()
		time.AfterFunc(r.Duration, end)
		for i := range takeUpClients {
			wg.Go(func() { r.takeUpStreams(rolling, i) })
		}
	}
	if r.Crashes {
		crashing, end := context.WithCancel(work)
		r.faults.Go(func() { r.crashServers(crashing) })
		r.faults.Go(func() { r.repeatCrashing(crashing) })
		r.faults.Go(func() { r.heatNodes(crashing) })
		defer end()
		time.AfterFunc(r.Duration, end)
	}
	if r.Departures {
		for i := range departingClients {
			wg.Go(func() { r.leaveEarly(work, i) })
		}
		for i := range waitingClients {
			wg.Go(func() { r.waitForTimeouts(work, i) })
		}
	}
	if r.Contended {
		contending, end := context.WithCancel(work)
		r.faults.Go(func() { r.contend(contending) })
		defer end()
		time.AfterFunc(r.Duration, end)
	}
	if r.Outages {
		ending, end := context.WithCancel(work)
		r.faults.Go(func() { r.endServers(ending) })
		defer end()
		time.AfterFunc(r.Duration, end)
	}
	if r.Broken {
		breaking, end := context.WithCancel(work)
		r.faults.Go(func() { r.breakResponses(breaking) })
		defer end()
		time.AfterFunc(r.Duration, end)
	}
	if r.Restores {
		restoring, end := context.WithCancel(work)
		r.faults.Go(func() { r.restoreStore(restoring) })
		r.injectFaults(work)
		end()
	} else {
		r.injectFaults(work)
	}
	r.faults.Wait()
	r.rewriteRows()
	r.clearFaults()
	if !r.awaitRecovery(ctx, "end") && ctx.Err() == nil {
		r.check.RecordViolation("recover", "some nodes do not serve requests %v after the last fault", recoveryTime)
	}
	if r.Outages {
		r.checkOutages(ctx)
	}
	stop()
	wg.Wait()
	clock.Sleep(ctx, settleTime) // requests in flight may still run
	if ctx.Err() != nil {
		return nil, ctx.Err() // incomplete, so the checks would not be conclusive
	}
	r.checkServers()
	r.checkDepartures()
	r.check.CheckTimeouts()
	r.checkDeferrable()
	r.logf("responses by status: %v", r.check.Counts())
	tried, wentOn := r.check.TakeUps()
	r.logf("streams taken up: %d, went on: %d", tried, wentOn)
	return r.check.Violations(), nil
}

// setUp starts the store, the servers and the nodes.
func (r *Run) setUp() error {
	r.store = standin.NewStore(r)
	r.software.Store(1)
	r.writeConfig(1)
	n := cmp.Or(r.Engines, engines)
	for i := range n + plainServers {
		service := "plain"
		if i < n {
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
		n.soak = r.Soak
		if r.Contended {
			n.settings.DeferMS = deferrableTargetMS
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

// addWorker starts a server and writes its table entry. Engines start with two of the four
// models, so that the others have to be loaded on demand.
func (r *Run) addWorker(service, id string) error {
	s := &standin.Worker{ID: id, SlowPaths: slowTimes(), Fragile: r.fragile.Load() == service}
	if r.Soak != "" {
		s.Capacity = brittleCapacity
	}
	if service == "llm" {
		s.Stream, s.Pause = streamEvents, 10*time.Millisecond
		if r.Versions {
			s.Pause, s.Software = versionPause, fmt.Sprint("v", r.software.Load())
		}
		first := 0
		if r.Models > 0 {
			first = 2 * int(r.started.Add(1)-1)
		}
		for m := range 2 {
			s.Hold(fmt.Sprint("m", (first+m)%r.modelCount()))
		}
	}
	for phase := 1; r.Crashes && phase <= int(r.Duration.Milliseconds())/minCrashPhaseMS+1; phase++ {
		s.CrashParts = append(s.CrashParts, crashPart(phase))
		s.CrashPaths = append(s.CrashPaths, crashPath(phase))
	}
	s.CrashDelay = copyCrashDelay
	w := &worker{Worker: s, service: service}
	s.OnCrash = func() { r.replaceCrashed(w) }
	s.Start(r)
	p, err := NewProxy(s.Address())
	if err != nil {
		return err
	}
	w.proxy = p
	r.mu.Lock()
	r.workers = append(r.workers, w)
	r.mu.Unlock()
	r.writeEntry(w, false)
	return nil
}

// modelCount returns the number of declared models.
func (r *Run) modelCount() int { return cmp.Or(r.Models, models) }

// writeEntry writes a server's table entry, with the proxy's address.
func (r *Run) writeEntry(w *worker, leaving bool) {
	r.put(platform.TableServers, w.ID, w.EntryAt(w.proxy.Address(), w.service, "z", leaving))
}

// writeConfig writes a configuration with a route that only this version has.
func (r *Run) writeConfig(version int) {
	d := standin.Deployment{Host: host, Models: r.modelCount(), Adapters: adapters, AdapterSlots: adapterSlots, ModelMB: modelMB, EngineMB: engineMB,
		Teams: []standin.Team{{Name: unlimitedTeam, Keys: []string{key(unlimitedTeam, version), key(unlimitedTeam, version-1)}},
			{Name: limitedTeam, Keys: []string{key(limitedTeam, version), key(limitedTeam, version-1)}, Rate: quotaRate, Burst: quotaBurst}}}
	if r.Contended {
		d.DeferrableMS = deferrableTargetMS
	}
	r.put(platform.TableOperator, platform.KeyConfig, d.Configuration(version))
	r.version.Store(int64(version))
	r.check.RecordRevocation(version-2, time.Now().Add(revocationDelay))
}

// refreshEntries rewrites the entries of the engines with their current state, as their
// heartbeats do.
func (r *Run) refreshEntries() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		if w.service == "llm" && !w.leaving.Load() && r.store.Row(platform.TableServers, w.ID).Version != 0 {
			r.writeEntry(w, false)
		}
	}
}

// awaitRecovery waits until every node is ready and serves requests.
func (r *Run) awaitRecovery(ctx context.Context, name string) bool {
	phase, attempts := name, 0
	rng := rand.New(rand.NewPCG(r.Seed, 1))
	for end := time.Now().Add(recoveryTime); time.Now().Before(end) && ctx.Err() == nil; clock.Sleep(ctx, 50*time.Millisecond) {
		r.refreshEntries()
		all := true
		for _, n := range r.nodes {
			all = all && n.ready()
		}
		if all && r.allServe(phase, rng) {
			return true
		}
		attempts++
		phase = fmt.Sprint(name, attempts) // request IDs are used once
	}
	return false
}

// allServe reports whether each node serves at least one of several requests. It keeps the
// engines' entries up to date, because a node may get only requests for models that are
// loaded on demand.
func (r *Run) allServe(phase string, rng *rand.Rand) bool {
	for _, n := range r.nodes {
		before := r.check.Counts()["200"]
		for i := range 6 {
			r.refreshEntries()
			r.request(r.newClient(), n, fmt.Sprintf("%s-%s-%d", phase, n.settings.Node, i), rng)
		}
		if r.check.Counts()["200"] == before {
			return false
		}
	}
	return true
}

// clearFaults ends all faults.
func (r *Run) clearFaults() {
	r.store.Outage(false)
	for _, n := range r.nodes {
		n.proxy.SetMode(Pass)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		w.proxy.SetMode(Pass)
		w.SetScript(standin.OK)
		w.SetRateLimit(0)
		w.SetBackoff(0)
		w.proxy.Hold(false)
	}
}

// checkServers checks what the servers observed.
func (r *Run) checkServers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for _, w := range r.workers {
		ids = append(ids, w.Runs()...)
		r.check.CheckOrders(w.ID, w.OrderSenders())
		if most := w.MaxAdapters(); most > adapterSlots {
			r.check.RecordViolation("memory", "engine %s was ordered to hold %d adapters, %d fit", w.ID, most, adapterSlots)
		}
		if most := w.MaxModels(); most*modelMB > engineMB {
			r.check.RecordViolation("memory", "engine %s was ordered to hold %d models of %d MB, beyond its memory", w.ID, most, modelMB)
		}
	}
	r.check.CheckRuns(ids)
	r.check.CheckCuts()
	r.check.CheckTakeUps()
	r.check.CheckHot()
	r.checkCrashes()
	for _, w := range r.workers {
		r.check.CheckKeys(w.RunRecords())
		r.check.CheckLimits(w.ID, w.Visits())
	}
	r.check.CheckQuota(limitedTeam, quotaWindow, (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverRatio)+quotaSlack)
}

// tearDown ends the processes that the soak started and releases its resources.
func (r *Run) tearDown() {
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
	for _, f := range r.cleanups {
		f()
	}
}

// logf writes a line to the run's log.
func (r *Run) logf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.Log, format+"\n", a...)
}

// TempDir creates a temporary directory for the files of a run.
func TempDir() (string, error) { return os.MkdirTemp("", "guavapaddle-soak-") }

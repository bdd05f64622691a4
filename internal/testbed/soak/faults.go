package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// fault is a kind of fault. inject starts it and returns when it has ended.
type fault struct {
	name   string
	inject func(r *Run, rng *rand.Rand)
}

var faults = []fault{
	{"kill", func(r *Run, rng *rand.Rand) { r.restart(r.randomNode(rng), syscall.SIGKILL, rng) }},
	{"stop", func(r *Run, rng *rand.Rand) { r.restart(r.randomNode(rng), syscall.SIGTERM, rng) }},
	{"pause", func(r *Run, rng *rand.Rand) {
		n := r.randomNode(rng)
		began := time.Now()
		_ = n.signal(syscall.SIGSTOP) // fails only if the process has exited
		time.Sleep(randomDuration(rng, 200, 3000))
		_ = n.signal(syscall.SIGCONT)
		r.check.RecordDisturbance(n.settings.Node, began, time.Now(), false)
	}},
	{"reload", func(r *Run, rng *rand.Rand) { _ = r.randomNode(rng).signal(syscall.SIGHUP) }},
	{"store-down", func(r *Run, rng *rand.Rand) {
		began := time.Now()
		r.store.Outage(true)
		time.Sleep(randomDuration(rng, 300, 4000))
		r.store.Outage(false)
		r.check.RecordDisturbance(storeName, began, time.Now(), true)
	}},
	{"store-loses-answers", func(r *Run, rng *rand.Rand) { r.store.DropReplies(1 + rng.IntN(4)) }},
	{"store-forgets", func(r *Run, _ *rand.Rand) { r.store.Compact() }},
	{"node-cut-from-store", func(r *Run, rng *rand.Rand) {
		n := r.randomNode(rng)
		r.degradeProxy(n.settings.Node, n.proxy, rng, 4000)
	}},
	{"server-cut", func(r *Run, rng *rand.Rand) {
		w := r.randomWorker(rng)
		r.degradeProxy(w.ID, w.proxy, rng, 2000)
	}},
	{"server-misbehaves", func(r *Run, rng *rand.Rand) {
		w := r.randomWorker(rng)
		bad := []standin.Behaviour{standin.Shed, standin.Fail, standin.Truncate, standin.Extra, standin.WrongID,
			standin.Unsigned, standin.Silent, standin.Crash, standin.Garbage, standin.Cut}
		for end := time.Now().Add(randomDuration(rng, 300, 2000)); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			w.SetScript(bad[rng.IntN(len(bad))], standin.OK)
		}
		w.SetScript(standin.OK)
	}},
	{"server-replaced", (*Run).replaceServer},
	{"orders-late", func(r *Run, rng *rand.Rand) {
		w := r.randomWorker(rng)
		w.LoseOrders(1 + rng.IntN(2))
		time.Sleep(randomDuration(rng, 500, 3000))
		w.RunUnanswered()
	}},
	{"configure", func(r *Run, _ *rand.Rand) { r.writeConfig(int(r.version.Load()) + 1) }},
}

// injectFaults starts faults at random intervals until the run's duration has passed. Faults
// overlap.
func (r *Run) injectFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 0))
	began := time.Now()
	for time.Since(began) < r.Duration && ctx.Err() == nil {
		f := faults[rng.IntN(len(faults))]
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
		r.logf("%6.2f %s", time.Since(began).Seconds(), f.name)
		if f.name == "configure" { // runs alone: there is one operator, whose versions must be in order
			f.inject(r, faultRNG)
		} else {
			r.faults.Go(func() { f.inject(r, faultRNG) })
		}
		r.refreshEntries()
		clock.Sleep(ctx, randomDuration(rng, 100, 900))
	}
}

func randomDuration(rng *rand.Rand, minMS, maxMS int) time.Duration {
	return time.Duration(minMS+rng.IntN(maxMS-minMS)) * time.Millisecond
}

func (r *Run) randomNode(rng *rand.Rand) *node { return r.nodes[rng.IntN(len(r.nodes))] }

func (r *Run) randomWorker(rng *rand.Rand) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[rng.IntN(len(r.workers))]
}

// degradeProxy sets the proxy of a node or server to a random fault mode for a while.
func (r *Run) degradeProxy(name string, p *Proxy, rng *rand.Rand, maxMS int) {
	began := time.Now()
	defer func() { r.check.RecordDisturbance(name, began, time.Now(), true) }()
	p.SetMode(Mode(1 + rng.IntN(int(modes)-1)))
	time.Sleep(randomDuration(rng, 200, maxMS))
	p.SetMode(Pass)
}

// restart ends a node with a signal and starts it again. Restarts of one node don't overlap.
// A node that is still running after its grace period is killed.
func (r *Run) restart(n *node, s syscall.Signal, rng *rand.Rand) {
	n.restartMu.Lock()
	defer n.restartMu.Unlock()
	began := time.Now()
	defer func() { r.check.RecordDisturbance(n.settings.Node, began, time.Now(), false) }()
	_ = n.signal(s)
	kill := time.AfterFunc(time.Duration(graceS*float64(time.Second)), func() {
		_ = n.signal(syscall.SIGCONT)
		_ = n.signal(syscall.SIGKILL)
	})
	n.wait()
	kill.Stop()
	time.Sleep(randomDuration(rng, 10, 800))
	if err := n.start(); err != nil {
		r.check.RecordViolation("recover", "cannot start %s: %v", n.settings.Node, err)
	}
}

// replaceServer adds a server of the same service and makes the old one leave through its
// table entry.
func (r *Run) replaceServer(rng *rand.Rand) {
	old := r.randomWorker(rng)
	if r.store.Row(platform.TableServers, old.ID).Version == 0 || !old.startLeaving() {
		return
	}
	if err := r.addWorker(old.service, fmt.Sprintf("i-%x", rng.Uint32())); err != nil {
		r.check.RecordViolation("recover", "cannot start a new server: %v", err)
		return
	}
	time.Sleep(randomDuration(rng, 100, 500))
	r.writeEntry(old, true)
	time.Sleep(2500 * time.Millisecond)
	r.drop(platform.TableServers, old.ID)
	time.Sleep(time.Second)
	old.Stop()
}

func (r *Run) newClient() *http.Client {
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

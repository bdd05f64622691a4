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

// fault is one kind of trouble. It returns when it has ended.
type fault struct {
	name string
	do   func(r *Run, rng *rand.Rand)
}

var faults = []fault{
	{"kill", func(r *Run, rng *rand.Rand) { r.restart(r.anyNode(rng), syscall.SIGKILL, rng) }},
	{"stop", func(r *Run, rng *rand.Rand) { r.restart(r.anyNode(rng), syscall.SIGTERM, rng) }},
	{"pause", func(r *Run, rng *rand.Rand) {
		n := r.anyNode(rng)
		began := time.Now()
		_ = n.signal(syscall.SIGSTOP) // one that has ended needs no pause
		time.Sleep(between(rng, 200, 3000))
		_ = n.signal(syscall.SIGCONT)
		r.check.Disturbed(n.settings.Node, began, time.Now(), false)
	}},
	{"reload", func(r *Run, rng *rand.Rand) { _ = r.anyNode(rng).signal(syscall.SIGHUP) }},
	{"store-down", func(r *Run, rng *rand.Rand) {
		r.store.Outage(true)
		time.Sleep(between(rng, 300, 4000))
		r.store.Outage(false)
	}},
	{"store-loses-answers", func(r *Run, rng *rand.Rand) { r.store.LoseAnswers(1 + rng.IntN(4)) }},
	{"store-forgets", func(r *Run, _ *rand.Rand) { r.store.Compact() }},
	{"node-cut-from-store", func(r *Run, rng *rand.Rand) {
		n := r.anyNode(rng)
		r.through(n.settings.Node, n.proxy, rng, 4000)
	}},
	{"server-cut", func(r *Run, rng *rand.Rand) {
		w := r.anyWorker(rng)
		r.through(w.ID, w.proxy, rng, 2000)
	}},
	{"server-misbehaves", func(r *Run, rng *rand.Rand) {
		w := r.anyWorker(rng)
		bad := []standin.Behaviour{standin.Shed, standin.Fail, standin.Truncate, standin.Extra, standin.WrongID,
			standin.Unsigned, standin.Silent, standin.Crash, standin.Garbage, standin.Cut}
		for end := time.Now().Add(between(rng, 300, 2000)); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			w.Do(bad[rng.IntN(len(bad))], standin.OK)
		}
		w.Do(standin.OK)
	}},
	{"server-replaced", (*Run).replace},
	{"orders-late", func(r *Run, rng *rand.Rand) {
		w := r.anyWorker(rng)
		w.LoseOrders(1 + rng.IntN(2))
		time.Sleep(between(rng, 500, 3000))
		w.RunLate()
	}},
	{"configure", func(r *Run, _ *rand.Rand) { r.configure(int(r.version.Load()) + 1) }},
}

// strike lets faults come until the run's time is over. They overlap.
func (r *Run) strike(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 0))
	began := time.Now()
	for time.Since(began) < r.Duration && ctx.Err() == nil {
		f := faults[rng.IntN(len(faults))]
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		r.say("%6.2f %s", time.Since(began).Seconds(), f.name)
		if f.name == "configure" { // one operator: versions come in order
			f.do(r, own)
		} else {
			r.faults.Go(func() { f.do(r, own) })
		}
		r.refresh()
		clock.Sleep(ctx, between(rng, 100, 900))
	}
}

func between(rng *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+rng.IntN(most-least)) * time.Millisecond
}

func (r *Run) anyNode(rng *rand.Rand) *node { return r.nodes[rng.IntN(len(r.nodes))] }

func (r *Run) anyWorker(rng *rand.Rand) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[rng.IntN(len(r.workers))]
}

// through changes the mode of the proxy of a node or server for a while.
func (r *Run) through(name string, p *Proxy, rng *rand.Rand, most int) {
	began := time.Now()
	defer func() { r.check.Disturbed(name, began, time.Now(), true) }()
	p.Set(Mode(1 + rng.IntN(int(modes)-1)))
	time.Sleep(between(rng, 200, most))
	p.Set(Pass)
}

// restart ends a node by a signal, once at a time, and starts it again.
func (r *Run) restart(n *node, s syscall.Signal, rng *rand.Rand) {
	n.turn.Lock()
	defer n.turn.Unlock()
	began := time.Now()
	defer func() { r.check.Disturbed(n.settings.Node, began, time.Now(), false) }()
	_ = n.signal(s)
	kill := time.AfterFunc(time.Duration(graceS*float64(time.Second)), func() {
		_ = n.signal(syscall.SIGCONT)
		_ = n.signal(syscall.SIGKILL)
	})
	n.wait()
	kill.Stop()
	time.Sleep(between(rng, 10, 800))
	if err := n.start(); err != nil {
		r.check.Break("recover", "%s can't be started: %v", n.settings.Node, err)
	}
}

// replace adds a server of the same service and lets one leave.
func (r *Run) replace(rng *rand.Rand) {
	old := r.anyWorker(rng)
	if r.store.Row(platform.TableServers, old.ID).Version == 0 || !old.leave() {
		return
	}
	if err := r.addWorker(old.service, fmt.Sprintf("i-%x", rng.Uint32())); err != nil {
		r.check.Break("recover", "no new server: %v", err)
		return
	}
	time.Sleep(between(rng, 100, 500))
	r.enter(old, true)
	time.Sleep(2500 * time.Millisecond)
	r.store.Drop(platform.TableServers, old.ID)
	time.Sleep(time.Second)
	old.Stop()
}

func (r *Run) oneClient() *http.Client {
	return &http.Client{Timeout: clientTime, Transport: &http.Transport{DisableKeepAlives: true}}
}

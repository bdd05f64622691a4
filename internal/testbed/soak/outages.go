package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"guavapaddle/internal/clock"
)

const (
	minOutageMS, maxOutageMS = 2000, 5000
	// outageRequests is the number of requests of a kind that are sent after all faults, of which outageRatio must be served within
	// recoveryTime.
	outageRequests = 12
	outageRatio    = 0.25
)

// endServers ends all servers of a service again and again, and has those that start crash under their first requests, for some
// seconds at a time, until ctx ends. All nodes are killed at the end of some of these times. It has its own random generator.
func (r *Run) endServers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 12000))
	for ctx.Err() == nil {
		clock.Sleep(ctx, randomDuration(rng, 1000, 4000))
		service := []string{"plain", "llm"}[rng.IntN(2)]
		r.logf("servers of %s end again and again", service)
		r.fragile.Store(service)
		r.crashAll(service)
		clock.Sleep(ctx, randomDuration(rng, minOutageMS, maxOutageMS))
		r.fragile.Store("")
		r.crashAll(service)
		r.logf("servers of %s don't end any more", service)
		if rng.IntN(3) == 0 {
			r.killAll(rng)
		}
	}
}

// crashAll crashes all servers of a service that aren't leaving.
func (r *Run) crashAll(service string) {
	r.mu.Lock()
	workers := slices.Clone(r.workers)
	r.mu.Unlock()
	for _, w := range workers {
		if w.service == service && !w.leaving.Load() {
			w.Crash()
		}
	}
}

// killAll kills all nodes at once and starts them again.
func (r *Run) killAll(rng *rand.Rand) {
	r.logf("all nodes are killed")
	var all sync.WaitGroup
	for _, n := range r.nodes {
		nodeRNG := rand.New(rand.NewPCG(rng.Uint64(), 0))
		all.Go(func() { r.restart(n, syscall.SIGKILL, nodeRNG) })
	}
	all.Wait()
}

// checkOutages checks that requests of each kind are served again: that none is refused for what was in flight in an outage.
func (r *Run) checkOutages(ctx context.Context) {
	for _, kind := range []struct{ path, model string }{{safePath + "x", ""}, {"/stream/x", "m0"}} {
		served := 0
		for round, end := 0, time.Now().Add(recoveryTime); time.Now().Before(end) && ctx.Err() == nil; round++ {
			served = 0
			r.refreshEntries()
			for i := range outageRequests {
				id := fmt.Sprintf("o%d%s-%d", round, kind.path[1:3], i)
				q := singleRequest{id: id, path: kind.path, model: kind.model}
				if q.model != "" {
					q.prompt = fmt.Sprintf("%s:50,b%d:20,%s:30", sharedPart, i%3, id)
				}
				if r.sendSingle(r.nodes[i%len(r.nodes)], q) {
					served++
				}
			}
			if float64(served) >= outageRatio*outageRequests {
				break
			}
			clock.Sleep(ctx, 100*time.Millisecond)
		}
		if float64(served) < outageRatio*outageRequests && ctx.Err() == nil {
			r.check.RecordViolation("outage", "%d of %d requests to %s are served %v after the last fault", served, outageRequests, kind.path, recoveryTime)
		}
	}
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/internal/testbed/cutpath"
)

// storeName is the name under which disturbances of the store are recorded.
const storeName = "store"

const (
	minCutMS, maxCutMS = 3500, 6000
	// cutSettleTime is how long nodes that have lost their path to the servers may take to serve as well as others.
	cutSettleTime = 2 * time.Second
	// Nodes that are cut off break the invariant if they serve less than servedRatio of what others serve, and more
	// than failedAllowance, and one in failedShare, of the requests sent there aren't served.
	servedRatio     = 2.0 / 3
	failedAllowance = 10
	failedShare     = 50

	// stableTime is how long a node and the store must have been undisturbed for a request to count.
	stableTime = 3 * time.Second

	minSilenceMS, maxSilenceMS = 800, 1500
	brittleTime                = 6 * time.Second
	brittleNotice              = 3 * time.Second
	maxRejections              = 3 // in a second, that a brittle server bears
	brittleCapacity            = 4 // requests at a time that each server handles in runs with cuts
)

// cut is an interval in which nodes had no path to the servers.
type cut struct {
	nodes    []string
	from, to time.Time
}

// cutPaths cuts random nodes off from all servers, makes servers silent for a second or so, and makes services brittle,
// until ctx ends. It has its own random generator, so that the other faults of a seed don't depend on it.
func (r *Run) cutPaths(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 3000))
	for ctx.Err() == nil {
		switch rng.IntN(4) {
		case 0:
			w := r.randomWorker(rng)
			w.proxy.Hold(true)
			clock.Sleep(ctx, randomDuration(rng, minSilenceMS, maxSilenceMS))
			w.proxy.Hold(false)
		case 1:
			r.makeBrittle(ctx, []string{"plain", "llm"}[rng.IntN(2)])
		default:
			r.cutNodes(ctx, rng)
		}
		clock.Sleep(ctx, randomDuration(rng, 100, 600))
	}
}

// cutNodes cuts some of the nodes, but not all, off from the servers for a while.
func (r *Run) cutNodes(ctx context.Context, rng *rand.Rand) {
	list := slices.Clone(r.nodes)
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:1+rng.IntN(len(list)-1)]
	mode := cutpath.Mode(1 + rng.IntN(int(cutpath.Modes)-1))
	from := time.Now()
	names := r.setPaths(list, mode)
	clock.Sleep(ctx, randomDuration(rng, minCutMS, maxCutMS))
	to := time.Now()
	r.setPaths(list, cutpath.Open)
	r.logf("cut off %v for %v in mode %d", names, to.Sub(from), mode)
	r.check.RecordCut(names, from, to)
}

// setPaths sets the mode of the paths of nodes to the servers, and returns the names of the nodes.
func (r *Run) setPaths(list []*node, m cutpath.Mode) []string {
	var names []string
	for _, n := range list {
		names = append(names, n.settings.Node)
		if err := n.cut(m); err != nil {
			r.check.RecordViolation("recover", "cannot cut %s off: %v", n.settings.Node, err)
		}
	}
	return names
}

// makeBrittle makes the servers of a service brittle for a while, and checks how often they fall over.
func (r *Run) makeBrittle(ctx context.Context, service string) {
	r.mu.Lock()
	list := slices.Clone(r.workers)
	r.mu.Unlock()
	list = slices.DeleteFunc(list, func(w *worker) bool { return w.service != service })
	from := time.Now()
	falls := 0
	for _, w := range list {
		falls -= len(w.Falls())
		w.SetBrittle(maxRejections, brittleNotice)
	}
	clock.Sleep(ctx, brittleTime)
	for _, w := range list {
		falls += len(w.Falls())
		w.SetSound()
	}
	r.check.CheckFalls(service, len(list), falls, from, time.Now())
}

// RecordCut records that nodes had no path to the servers.
func (c *Checker) RecordCut(nodes []string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts = append(c.cuts, cut{nodes, from, to})
}

// CheckFalls checks how often the servers of a service fell over while they were brittle. Nothing is checked if a node was
// disturbed meanwhile, since the requests of such nodes don't count.
func (c *Checker) CheckFalls(service string, servers, falls int, from, to time.Time) {
	c.mu.Lock()
	disturbed := len(c.disturbed) > 0 && slices.ContainsFunc(c.disturbedNames(), func(name string) bool { return !c.undisturbed(name, from, to, true) })
	c.mu.Unlock()
	if allowed := 2 + servers/10; falls > allowed && !disturbed {
		c.RecordViolation("brittle", "%d brittle servers of %s fell over %d times, %d are allowed", servers, service, falls, allowed)
	}
}

// disturbedNames returns the nodes and servers that were ever disturbed.
func (c *Checker) disturbedNames() []string {
	var out []string
	for name := range c.disturbed {
		out = append(out, name)
	}
	return out
}

// inTouch reports whether neither a node nor the store was disturbed for stableTime before a time.
func (c *Checker) inTouch(node string, at time.Time) bool {
	from := at.Add(-stableTime)
	return c.undisturbed(node, from, at, true) && c.undisturbed(storeName, from, at, true)
}

// CheckCuts checks that nodes without a path to the servers served requests about as often as the others.
func (c *Checker) CheckCuts() {
	c.mu.Lock()
	var violations []string
	for _, x := range c.cuts {
		var count [2]struct{ sent, served int } // at the other nodes, at those cut off
		for id, caller := range c.callers {
			if caller.At.Before(x.from.Add(cutSettleTime)) || caller.At.After(x.to) || !c.inTouch(caller.Node, caller.At) {
				continue
			}
			status, ended := c.statuses[id]
			if !ended || status == 401 || status == 429 {
				continue
			}
			side := 0
			if slices.Contains(x.nodes, caller.Node) {
				side = 1
			}
			count[side].sent++
			if status == 200 {
				count[side].served++
			}
		}
		others, cutOff := count[0], count[1]
		failed := cutOff.sent - cutOff.served
		rare := float64(cutOff.served*others.sent) < servedRatio*float64(others.served*cutOff.sent)
		if others.sent > 0 && rare && failed > failedAllowance+cutOff.sent/failedShare {
			violations = append(violations, fmt.Sprintf("nodes %v, cut off from the servers, served %d of %d requests, the others %d of %d",
				x.nodes, cutOff.served, cutOff.sent, others.served, others.sent))
		}
	}
	c.mu.Unlock()
	for _, v := range violations {
		c.RecordViolation("cut", "%s", v)
	}
}

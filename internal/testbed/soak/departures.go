package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/platform/standin"
)

const (
	// departingClients is the number of clients that leave before they have a response, minLeaveMS to maxLeaveMS after the request.
	departingClients       = 4
	minLeaveMS, maxLeaveMS = 200, 1000
	// Later than departedBound after a client has left, no more than maxDeparted requests of all clients may reach servers, and servers may work
	// on no more than departedRatio of those that nodes may repeat, and of streams, which would have lasted so long.
	departedBound = 500 * time.Millisecond
	maxDeparted   = 3
	departedRatio = 0.25
	// minDeparted is the number of such requests from which on the share is checked.
	minDeparted = 8
	slowTime    = 2500 * time.Millisecond
)

// slowPaths are the paths of requests whose clients leave, which servers handle for slowTime.
var slowPaths = []string{safePath + "slow", "/unsafe/slow", "/stream/slow", "/resumable/slow"}

// departure is how a client left before it had a response.
type departure struct {
	node   string
	at     time.Time
	unsafe bool // the work on the request need not end
}

// leaveEarly sends requests whose clients leave before they have a response until ctx ends: by an end or a reset, with and without bytes of
// a next request behind, on new connections and after a first response. It has its own random generator.
func (r *Run) leaveEarly(ctx context.Context, client int) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(11000+client)))
	for n := 0; ctx.Err() == nil; n++ {
		r.sendAndLeave(ctx, rng, r.nodes[rng.IntN(len(r.nodes))], fmt.Sprintf("l%d-%d", client, n))
		clock.Sleep(ctx, randomDuration(rng, 50, 300))
	}
}

// sendAndLeave sends a request to a node and leaves.
func (r *Run) sendAndLeave(ctx context.Context, rng *rand.Rand, target *node, id string) {
	path := slowPaths[rng.IntN(len(slowPaths))]
	model, behind, reset, wait := "", "", rng.IntN(2) == 0, randomDuration(rng, minLeaveMS, maxLeaveMS)
	if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resumable/") {
		model = r.model(rng)
	}
	switch rng.IntN(4) {
	case 0:
		behind = "\r\n"
	case 1:
		behind = "GET /safe/behind HTTP/1.1\r\nHost: " + host + "\r\n"
	}
	nc, err := net.DialTimeout("tcp4", target.settings.Clients, time.Second)
	if err != nil {
		return // the node is down
	}
	defer func() { _ = nc.Close() }()
	caller := Caller{Team: unlimitedTeam, Version: int(r.version.Load()), At: time.Now(), Node: target.settings.Node, Tokens: standin.PlainTokens}
	call := standin.Call{ID: id, Deadline: clientTimeout, Key: key(caller.Team, caller.Version)}
	if model != "" {
		call.Model, call.Tokens, call.Prompt = model, 100, fmt.Sprintf("%s:50,%s:30", sharedPart, id)
		caller.Tokens = call.Tokens + standin.CallOutput
	}
	r.check.RecordRequest(id, strings.HasPrefix(path, safePath) || strings.HasPrefix(path, "/resumable/"), caller)
	if _, err := io.WriteString(nc, call.Text("POST", host, path)+behind); err != nil {
		return
	}
	clock.Sleep(ctx, wait)
	if reset {
		_ = nc.(*net.TCPConn).SetLinger(0) // fails only if the connection has ended
	}
	_ = nc.Close()
	r.check.RecordDeparture(id, target.settings.Node, time.Now(), strings.HasPrefix(path, "/unsafe/"))
}

// RecordDeparture records that the client of a request to a node left at a time; unsafe if the work on it need not end then.
func (c *Checker) RecordDeparture(id, node string, at time.Time, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departures[id] = departure{node, at, unsafe}
}

// ServerRun is a request that a server ran.
type ServerRun struct {
	standin.RunRecord

	Server string
	// Faulty reports whether the path to the server was faulty at some moment between two times. It may be nil.
	Faulty func(from, to time.Time) bool
}

// checkDepartures checks the requests of clients that left.
func (r *Run) checkDepartures() {
	r.mu.Lock()
	workers := slices.Clone(r.workers)
	r.mu.Unlock()
	var list []ServerRun
	for _, w := range workers {
		for _, run := range w.RunRecords() {
			list = append(list, ServerRun{run, w.ID, w.proxy.wasFaulty})
		}
	}
	late, working, lasting := r.check.CheckDepartures(list)
	r.logf("clients that left: %d requests reached servers too late, servers worked on %d of %d", late, working, lasting)
}

// CheckDepartures checks that the requests of clients that left didn't reach servers later, and that these ended their work. It returns how
// many reached servers later, and on how many servers worked of those that would have lasted so long.
func (c *Checker) CheckDepartures(list []ServerRun) (late, working, lasting int) {
	var lateRuns, workingRuns []string
	for _, run := range list {
		d, ok := c.departure(run.ID)
		if !ok {
			continue
		}
		bound, end := d.at.Add(departedBound), latest(run.At, d.at.Add(departedBound))
		if run.Faulty != nil && run.Faulty(run.At.Add(-stableTime), end) || c.wasCut(d.node, run.At.Add(-stableTime), end) {
			continue
		}
		switch {
		case run.At.After(bound):
			lateRuns = append(lateRuns, fmt.Sprintf("%s of %s at %s after %v", run.ID, d.node, run.Server, run.At.Sub(d.at)))
		case !d.unsafe && !run.At.Add(slowTime).Before(bound) && c.nodeUndisturbed(d.node, run.At.Add(-stableTime), bound):
			if lasting++; run.Ended.IsZero() || run.Ended.After(bound) {
				workingRuns = append(workingRuns, fmt.Sprintf("%s of %s at %s until %v after", run.ID, d.node, run.Server, run.Ended.Sub(d.at)))
			}
		}
	}
	late, working = len(lateRuns), len(workingRuns)
	if late > maxDeparted {
		c.RecordViolation("gone", "%d requests reached servers later than %v after their clients had left: %v", late, departedBound, lateRuns)
	}
	if lasting >= minDeparted && float64(working) > departedRatio*float64(lasting) {
		c.RecordViolation("gone", "servers worked on %d of %d requests %v after their clients had left: %v", working, lasting, departedBound, workingRuns)
	}
	return late, working, lasting
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// departure returns how the client of a request left, and whether it did.
func (c *Checker) departure(id string) (departure, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.departures[id]
	return d, ok
}

// wasCut reports whether a node had no path to the servers at some moment between two times.
func (c *Checker) wasCut(node string, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.cuts, func(x cut) bool {
		return slices.Contains(x.nodes, node) && !x.from.After(to) && !x.to.Before(from)
	})
}

// nodeUndisturbed reports whether a node wasn't stopped, paused or cut off between two times.
func (c *Checker) nodeUndisturbed(node string, from, to time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.undisturbed(node, from, to, true)
}

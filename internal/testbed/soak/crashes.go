package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const (
	// crashPhaseMS is how long requests with one part that crashes servers come, before those with the next one, in milliseconds.
	minCrashPhaseMS, maxCrashPhaseMS = 5000, 9000
	minCrashGapMS, maxCrashGapMS     = 100, 500
	minRestartMS, maxRestartMS       = 300, 1500
	// Later than crashNotice after the fifth crash no more than maxCrashRequests with the part may reach servers, sent by
	// nodes in touch. For copies of one request it is the third crash.
	crashNotice      = 3 * time.Second
	crashesToNotice  = 5
	copiesToNotice   = 3
	maxCrashRequests = 3
	// maxTogether is the maximum number of copies that are sent at once, and one client in leavePercent leaves leaveMS after it has sent
	// one, before it has crashed the server.
	maxTogether    = 3
	leavePercent   = 40
	leaveMS        = 40
	copyCrashDelay = 100 * time.Millisecond
	// safePath begins the paths of requests that nodes may repeat.
	safePath = "/safe/"
	// sharedPart is the first part of all prompts.
	sharedPart = "a0"

	minHotMS, maxHotMS = 5000, 8000
	// hotPercent is the percentage of the requests that one node gets while it is hot, and hotNotice how long it may take to serve
	// them as well as before, at least the share hotRatio.
	hotPercent = 85
	hotNotice  = 3 * time.Second
	hotRatio   = 3.0 / 4
	// minHotRequests is the number of requests from which on the share is checked.
	minHotRequests = 20
)

// hotPeriod is an interval in which one node got most requests.
type hotPeriod struct {
	node     string
	from, to time.Time
}

// crashPart returns the part of a phase, counted from one, that crashes servers.
func crashPart(phase int) string { return fmt.Sprint("dead", phase) }

// crashServers sends requests that crash servers until ctx ends: for some seconds with one part in common, then with
// another, at any place but the last in the prompt. It has its own random generator, so that the other faults of a seed
// don't depend on it.
func (r *Run) crashServers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 8000))
	for phase := 1; ctx.Err() == nil; phase++ {
		for n, end := 0, time.Now().Add(randomDuration(rng, minCrashPhaseMS, maxCrashPhaseMS)); time.Now().Before(end) && ctx.Err() == nil; n++ {
			id, target := fmt.Sprintf("x%d-%d", phase, n), r.nodes[rng.IntN(len(r.nodes))]
			prompt := []string{
				fmt.Sprintf("%s:50,b%d:20,%s:30", crashPart(phase), n%3, id),
				fmt.Sprintf("%s:50,%s:20,%s:30", sharedPart, crashPart(phase), id),
				fmt.Sprintf("%s:50,b%d:20,%s:10,%s:30", sharedPart, n%3, crashPart(phase), id),
			}[rng.IntN(3)]
			model := r.model(rng)
			r.faults.Go(func() {
				r.sendSingle(target, singleRequest{id: id, path: "/stream/" + id, model: model, prompt: prompt})
			})
			clock.Sleep(ctx, randomDuration(rng, minCrashGapMS, maxCrashGapMS))
		}
	}
}

// crashPath returns the path of the request of a phase, counted from one, of which copies crash servers.
func crashPath(phase int) string {
	if phase%2 == 0 {
		return fmt.Sprint(safePath, "dead", phase)
	}
	return fmt.Sprint("/stream/dead", phase)
}

// repeatCrashing sends copies of one request that crashes servers, at any node, for some seconds, and then of another one, until ctx ends.
// Some come together, and some clients leave before the crash.
func (r *Run) repeatCrashing(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 10000))
	for phase := 1; ctx.Err() == nil; phase++ {
		for n, end := 0, time.Now().Add(randomDuration(rng, minCrashPhaseMS, maxCrashPhaseMS)); time.Now().Before(end) && ctx.Err() == nil; n++ {
			for k := range 1 + rng.IntN(maxTogether) {
				q := singleRequest{id: fmt.Sprintf("y%d-%d-%d", phase, n, k), path: crashPath(phase), prompt: sharedPart + ":50,copied:30"}
				if phase%2 != 0 {
					q.model = "m0"
				}
				if rng.IntN(100) < leavePercent {
					q.leave = leaveMS * time.Millisecond
				}
				target := r.nodes[rng.IntN(len(r.nodes))]
				r.faults.Go(func() { r.sendSingle(target, q) })
			}
			clock.Sleep(ctx, randomDuration(rng, minCrashGapMS, 2*maxCrashGapMS))
		}
	}
}

// singleRequest is a request on a connection of its own.
type singleRequest struct {
	id, path, model, prompt string
	leave                   time.Duration // after which the client leaves, zero to wait for the response
}

// sendSingle sends a request on a connection of its own and reports whether it got a complete response of a server.
func (r *Run) sendSingle(target *node, q singleRequest) bool {
	id := q.id
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(q.leave, clientTimeout))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.settings.Clients+q.path, nil)
	if err != nil {
		panic(err) // the request is well-formed
	}
	caller := Caller{Team: unlimitedTeam, Version: int(r.version.Load()), At: time.Now(), Node: target.settings.Node, Tokens: 100 + standin.CallOutput}
	req.Host = host
	standin.Call{ID: id, Deadline: clientTimeout, Key: key(caller.Team, caller.Version), Model: q.model, Tokens: 100, Prompt: q.prompt}.SetHeaders(req.Header)
	r.check.RecordRequest(id, strings.HasPrefix(q.path, safePath), caller)
	resp, err := (&http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body) // it is broken off if the server has crashed
	return err == nil && resp.StatusCode == http.StatusOK
}

// replaceCrashed starts a server in place of one that has crashed, whose entry lapses.
func (r *Run) replaceCrashed(w *worker) {
	r.logf("%s crashed", w.ID)
	if !w.startLeaving() {
		return // another one replaces it already
	}
	r.faults.Go(func() {
		rng := rand.New(rand.NewPCG(r.Seed, uint64(time.Now().UnixNano())))
		time.Sleep(randomDuration(rng, minRestartMS, maxRestartMS))
		if err := r.addWorker(w.service, w.ID+"r"); err != nil {
			r.check.RecordViolation("recover", "cannot start a new server: %v", err)
			return
		}
		time.Sleep(randomDuration(rng, minRestartMS, maxRestartMS))
		r.drop(platform.TableServers, w.ID)
	})
}

// checkCrashes checks that requests that crash servers, with a part or as copies of one, are refused soon.
func (r *Run) checkCrashes() {
	parts, copies := map[string][]standin.Visit{}, map[string][]standin.Visit{}
	for _, w := range r.workers {
		for _, v := range w.Visits() {
			switch {
			case v.CrashPart != "":
				parts[v.CrashPart] = append(parts[v.CrashPart], v)
			case v.CrashPath != "":
				copies[v.CrashPath] = append(copies[v.CrashPath], v)
			}
		}
	}
	for part, list := range parts {
		r.check.CheckCrashes("part "+part, list)
	}
	for path, list := range copies {
		r.check.CheckCopies(path, list)
	}
}

// CheckCrashes checks the requests with a part that crashes servers, each of which crashed one.
func (c *Checker) CheckCrashes(part string, list []standin.Visit) {
	c.checkCrashes("crash", part, list, crashesToNotice)
}

// CheckCopies checks the copies of a request that crashes servers. Of those that reached a server together one crashed it.
func (c *Checker) CheckCopies(path string, list []standin.Visit) {
	slices.SortFunc(list, func(a, b standin.Visit) int { return a.At.Compare(b.At) })
	crashed := map[string]bool{}
	for i, v := range list {
		crashed[v.Server] = true
		if len(crashed) == copiesToNotice {
			c.checkCrashes("copies", path, list[i:], 1)
			return
		}
	}
}

// checkCrashes checks requests that crash servers, from the one with a number on, counted from one.
func (c *Checker) checkCrashes(promise, what string, list []standin.Visit, number int) {
	if len(list) < number {
		return
	}
	slices.SortFunc(list, func(a, b standin.Visit) int { return a.At.Compare(b.At) })
	bound := list[number-1].At.Add(crashNotice)
	late := 0
	c.mu.Lock()
	for _, v := range list {
		if caller := c.callers[v.ID]; v.At.After(bound) && c.inTouch(caller.Node, v.At) {
			late++
		}
	}
	c.mu.Unlock()
	if late > maxCrashRequests {
		c.RecordViolation(promise, "%d requests (%s) reached servers later than %v after the crash from which on they are refused, %d are allowed", late, what, crashNotice, maxCrashRequests)
	}
}

// heatNodes makes clients send most requests to one node, and then to another, until ctx ends.
func (r *Run) heatNodes(ctx context.Context) {
	rng, shareRNG := rand.New(rand.NewPCG(r.Seed, 9000)), rand.New(rand.NewPCG(r.Seed, 9001))
	for ctx.Err() == nil {
		clock.Sleep(ctx, randomDuration(rng, 500, 2000))
		n, from := r.randomNode(rng), time.Now()
		r.hot.Store(n)
		lasts := randomDuration(rng, minHotMS, maxHotMS)
		if r.Shares {
			hot, end := context.WithTimeout(ctx, lasts)
			r.limitShare(hot, n, shareRNG)
			end()
		} else {
			clock.Sleep(ctx, lasts)
		}
		r.hot.Store(nil)
		r.logf("%s got most requests for %v", n.settings.Node, time.Since(from))
		r.check.RecordHot(n.settings.Node, from, time.Now())
	}
}

// target returns the node to which a client sends its next request.
func (r *Run) target(rng *rand.Rand) *node {
	n := r.nodes[rng.IntN(len(r.nodes))]
	if hot := r.hot.Load(); hot != nil && rng.IntN(100) < hotPercent {
		return hot
	}
	return n
}

// RecordHot records that a node got most requests.
func (c *Checker) RecordHot(node string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hot = append(c.hot, hotPeriod{node, from, to})
}

// CheckHot checks that a node which got most requests served them about as often as all nodes served theirs before.
func (c *Checker) CheckHot() {
	c.mu.Lock()
	var violations []string
	for _, h := range c.hot {
		var count [2]struct{ sent, served int } // before at all nodes, then at the hot one
		for id, caller := range c.callers {
			status, ended := c.statuses[id]
			side := 1
			switch {
			case !ended || status == 401 || status == 429 || !c.inTouch(caller.Node, caller.At):
				continue
			case caller.At.After(h.from.Add(-hotNotice)) && caller.At.Before(h.from):
				side = 0
			case caller.Node != h.node || caller.At.Before(h.from.Add(hotNotice)) || caller.At.After(h.to):
				continue
			}
			count[side].sent++
			if status == 200 {
				count[side].served++
			}
		}
		before, hot := count[0], count[1]
		if min(before.sent, hot.sent) >= minHotRequests && float64(hot.served*before.sent) < hotRatio*float64(before.served*hot.sent) {
			violations = append(violations, fmt.Sprintf("%s, which got most requests, served %d of %d; %d of %d were served before", h.node, hot.served, hot.sent, before.served, before.sent))
		}
	}
	c.mu.Unlock()
	for _, v := range violations {
		c.RecordViolation("hot", "%s", v)
	}
}

package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"guavapaddle/platform/standin"
)

type (
	// Violation is an observed breach of an invariant.
	Violation struct {
		Promise string // "whole", "twice", "not-run", "order", "config", "fence", "memory", "key", "quota", "leaving", "rest", "rate", "brittle", "cut", "lost", "crash", "copies", "hot", "gone", "timeout", "outage", "recover"
		Detail  string
	}

	// Checker collects what clients and servers observed and checks it.
	Checker struct {
		mu            sync.Mutex
		violations    []Violation
		refusedNotRun map[string]string        // by request ID: node that refused it as not run
		nonRepeatable map[string]bool          // requests that must not run twice
		counts        map[string]int           // number of responses by status
		newestConfig  map[string]int           // newest configuration that each process was seen to serve
		callers       map[string]Caller        // by request ID
		revoked       map[int]time.Time        // by configuration: until when its keys may still be used after their removal
		tokenUsage    map[string][]usage       // by team
		servedAt      map[string]time.Time     // by request: time of its successful response
		disturbed     map[string][]disturbance // by node or server
		statuses      map[string]int           // by request, 0 for no response
		cuts          []cut
		takeUps       []takeUp
		hot           []hotPeriod
		departures    map[string]departure // by request
		waits         []wait
	}

	// Caller describes the sender of a request.
	Caller struct {
		Team    string
		Version int // of the configuration that introduced the key
		At      time.Time
		Tokens  int    // charged for the request
		Node    string // node that the request was sent to
	}

	// usage is the token usage of a request that ran.
	usage struct {
		sent, ran time.Time
		tokens    int
	}
)

// NewChecker returns an empty checker.
func NewChecker() *Checker {
	return &Checker{refusedNotRun: map[string]string{}, nonRepeatable: map[string]bool{}, counts: map[string]int{}, newestConfig: map[string]int{},
		callers: map[string]Caller{}, revoked: map[int]time.Time{}, tokenUsage: map[string][]usage{},
		departures: map[string]departure{}, servedAt: map[string]time.Time{}, disturbed: map[string][]disturbance{}, statuses: map[string]int{}}
}

// RecordViolation records a violation of an invariant.
func (c *Checker) RecordViolation(promise, format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{promise, fmt.Sprintf(format, a...)})
}

// Violations returns all recorded violations.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// RecordRequest records a request. It must be called before the request is sent.
func (c *Checker) RecordRequest(id string, repeatable bool, caller Caller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callers[id] = caller
	if !repeatable {
		c.nonRepeatable[id] = true
	}
}

// RecordResponse records the status of a response, 0 if there was none.
func (c *Checker) RecordResponse(id, node string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprint(status)]++
	c.statuses[id] = status
	switch status {
	case 200:
		c.servedAt[id] = time.Now()
	case 408, 421, 429, 503:
		c.refusedNotRun[id] = node
	}
}

// Counts returns the number of responses by status.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for k, v := range c.counts {
		out[k] = v
	}
	return out
}

// CheckResponse checks that a successful response belongs to the request, carries a server's
// stamp and is complete.
func (c *Checker) CheckResponse(id, gotID, stamp, body string, events int) {
	switch {
	case gotID != id:
		c.RecordViolation("whole", "request %s got the response to %q", id, gotID)
	case stamp == "":
		c.RecordViolation("whole", "request %s got a response without a server's stamp", id)
	case events == 0 && body != "answer":
		c.RecordViolation("whole", "request %s got %q", id, body)
	case events > 0:
		c.CheckEvents(id, body, events, true)
	}
}

// CheckEvents checks the order of a stream's events. If the stream ended as complete, all
// events must be present.
func (c *Checker) CheckEvents(id, body string, events int, complete bool) {
	list := strings.Split(body, "\n\n")
	received := list[:len(list)-1]
	for i, e := range received {
		received[i], _, _ = strings.Cut(e, "\n: ") // without the comment that names the version
	}
	for i, e := range received {
		if want := fmt.Sprintf("id: %d\ndata: event %d", i+1, i+1); e != want {
			c.RecordViolation("order", "event %d of request %s is %q", i+1, id, e)
			return
		}
	}
	if complete && (len(received) != events || list[len(list)-1] != "") {
		c.RecordViolation("order", "request %s ended as complete after %d of %d events", id, len(received), events)
	}
}

// RecordServed records that a process served a route that only one configuration has.
func (c *Checker) RecordServed(process string, version int) {
	c.mu.Lock()
	newestConfig := c.newestConfig[process]
	c.newestConfig[process] = max(newestConfig, version)
	c.mu.Unlock()
	if version < newestConfig {
		c.RecordViolation("config", "%s returned from configuration %d to %d", process, newestConfig, version)
	}
}

// CheckRuns checks the requests that ran at servers against the responses that clients
// received.
func (c *Checker) CheckRuns(ids []string) {
	counts := map[string]int{}
	for _, id := range ids {
		counts[id]++
	}
	c.mu.Lock()
	nonRepeatable, refusedNotRun := c.nonRepeatable, c.refusedNotRun
	c.mu.Unlock()
	for id, n := range counts {
		if nonRepeatable[id] && n > 1 {
			c.RecordViolation("twice", "request %s ran %d times", id, n)
		}
		if node, ok := refusedNotRun[id]; ok && nonRepeatable[id] {
			c.RecordViolation("not-run", "request %s ran although %s refused it as not run", id, node)
		}
	}
}

// RecordRevocation records until when the keys of a configuration may be used.
func (c *Checker) RecordRevocation(version int, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.revoked[version]; !ok {
		c.revoked[version] = until
	}
}

// CheckKeys checks the key and the team of the requests that a server ran, and records their
// token usage.
func (c *Checker) CheckKeys(list []standin.RunRecord) {
	for _, run := range list {
		c.mu.Lock()
		caller, known := c.callers[run.ID]
		until, revoked := c.revoked[caller.Version]
		c.tokenUsage[caller.Team] = append(c.tokenUsage[caller.Team], usage{caller.At, run.At, caller.Tokens})
		c.mu.Unlock()
		switch {
		case !known:
			c.RecordViolation("key", "request %s ran but was never sent", run.ID)
		case run.Key != "":
			c.RecordViolation("key", "request %s reached a server with its API key", run.ID)
		case run.Team != caller.Team:
			c.RecordViolation("key", "request %s of team %s ran for team %q", run.ID, caller.Team, run.Team)
		case revoked && caller.At.After(until):
			c.RecordViolation("key", "request %s ran although it was sent %v after its key was no longer valid", run.ID, caller.At.Sub(until))
		}
	}
}

// CheckQuota checks that no more than the allowed number of a team's tokens were sent and ran
// within any window.
func (c *Checker) CheckQuota(team string, window time.Duration, allowed float64) {
	c.mu.Lock()
	list := slices.Clone(c.tokenUsage[team])
	c.mu.Unlock()
	slices.SortFunc(list, func(a, b usage) int { return a.sent.Compare(b.sent) })
	for i, first := range list {
		sum := 0
		for _, s := range list[i:] {
			if s.ran.Sub(first.sent) <= window {
				sum += s.tokens
			}
		}
		if float64(sum) > allowed {
			c.RecordViolation("quota", "team %s had %d tokens served in %v, %.0f are allowed", team, sum, window, allowed)
			return
		}
	}
}

// CheckOrders checks that no epoch of an engine has orders from two nodes.
func (c *Checker) CheckOrders(engine string, orders []standin.OrderSender) {
	nodes := map[int64]string{}
	for _, o := range orders {
		if h, ok := nodes[o.Fence]; ok && h != o.Holder {
			c.RecordViolation("fence", "engine %s got orders from %s and %s under epoch %d", engine, h, o.Holder, o.Fence)
		}
		nodes[o.Fence] = o.Holder
	}
}

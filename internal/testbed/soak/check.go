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
	// Violation is a promise that was broken.
	Violation struct {
		Promise string // "whole", "twice", "not-run", "order", "config", "fence", "memory", "key", "quota", "leaving", "rest", "rate", "recover"
		What    string
	}

	// Checker collects what clients and servers saw.
	Checker struct {
		mu         sync.Mutex
		violations []Violation
		promised   map[string]string // requests that were refused as not run
		unsafe     map[string]bool   // requests that must not run twice
		counts     map[string]int    // answers, by status
		newest     map[string]int    // by process: newest configuration that it was seen to serve
		callers    map[string]Caller // by request
		revoked    map[int]time.Time // until when keys of a configuration may be used, once they are gone
		spent      map[string][]spending
		served     map[string]time.Time     // when requests had their answer
		disturbed  map[string][]disturbance // of nodes and servers
	}

	// Caller is who sent a request, with what key and when.
	Caller struct {
		Team    string
		Version int // of the configuration that brought the key
		At      time.Time
		Tokens  int    // that the request counts as
		Node    string // to which it was sent
	}

	// spending is a request that ran.
	spending struct {
		sent, ran time.Time
		tokens    int
	}
)

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{promised: map[string]string{}, unsafe: map[string]bool{}, counts: map[string]int{}, newest: map[string]int{},
		callers: map[string]Caller{}, revoked: map[int]time.Time{}, spent: map[string][]spending{},
		served: map[string]time.Time{}, disturbed: map[string][]disturbance{}}
}

// Break notes a broken promise.
func (c *Checker) Break(promise, format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{promise, fmt.Sprintf(format, a...)})
}

// Violations returns all broken promises.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// Sent notes a request before it is sent.
func (c *Checker) Sent(id string, repeatable bool, who Caller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callers[id] = who
	if !repeatable {
		c.unsafe[id] = true
	}
}

// Answered notes an answer's status, zero for none.
func (c *Checker) Answered(id, node string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprint(status)]++
	switch status {
	case 200:
		c.served[id] = time.Now()
	case 408, 421, 429, 503:
		c.promised[id] = node
	}
}

// Counts returns the answers by status.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for k, v := range c.counts {
		out[k] = v
	}
	return out
}

// Whole checks an answer with a success: whose it is, who signed it, and that
// it is all of it.
func (c *Checker) Whole(id, gotID, stamp, body string, events int) {
	switch {
	case gotID != id:
		c.Break("whole", "request %s got the answer of %q", id, gotID)
	case stamp == "":
		c.Break("whole", "request %s got an answer that nobody signed", id)
	case events == 0 && body != "answer":
		c.Break("whole", "request %s got %q", id, body)
	case events > 0:
		c.Order(id, body, events, true)
	}
}

// Order checks the events of a stream, of which all must be there if it ended
// as complete.
func (c *Checker) Order(id, body string, events int, complete bool) {
	list := strings.Split(body, "\n\n")
	whole := list[:len(list)-1]
	for i, e := range whole {
		if want := fmt.Sprintf("id: %d\ndata: event %d", i+1, i+1); e != want {
			c.Break("order", "event %d of request %s is %q", i+1, id, e)
			return
		}
	}
	if complete && (len(whole) != events || list[len(list)-1] != "") {
		c.Break("order", "request %s ended as complete after %d of %d events", id, len(whole), events)
	}
}

// Served notes that a process served a route that only one configuration has.
func (c *Checker) Served(process string, version int) {
	c.mu.Lock()
	newest := c.newest[process]
	c.newest[process] = max(newest, version)
	c.mu.Unlock()
	if version < newest {
		c.Break("config", "%s went back from configuration %d to %d", process, newest, version)
	}
}

// Runs checks what a server ran against what clients were told.
func (c *Checker) Runs(ids []string) {
	counts := map[string]int{}
	for _, id := range ids {
		counts[id]++
	}
	c.mu.Lock()
	unsafe, promised := c.unsafe, c.promised
	c.mu.Unlock()
	for id, n := range counts {
		if unsafe[id] && n > 1 {
			c.Break("twice", "request %s ran %d times", id, n)
		}
		if node, ok := promised[id]; ok && unsafe[id] {
			c.Break("not-run", "request %s ran though %s refused it as not run", id, node)
		}
	}
}

// Revoked notes until when the keys of a configuration may be used.
func (c *Checker) Revoked(version int, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.revoked[version]; !ok {
		c.revoked[version] = until
	}
}

// Keys checks who the requests were of that a server ran, and notes what they spent.
func (c *Checker) Keys(list []standin.Ran) {
	for _, ran := range list {
		c.mu.Lock()
		who, known := c.callers[ran.ID]
		until, revoked := c.revoked[who.Version]
		c.spent[who.Team] = append(c.spent[who.Team], spending{who.At, ran.At, who.Tokens})
		c.mu.Unlock()
		switch {
		case !known:
			c.Break("key", "request %s ran and nobody sent it", ran.ID)
		case ran.Key != "":
			c.Break("key", "request %s reached a server with its key", ran.ID)
		case ran.Team != who.Team:
			c.Break("key", "request %s of team %s ran as one of %q", ran.ID, who.Team, ran.Team)
		case revoked && who.At.After(until):
			c.Break("key", "request %s was sent %v after its key was to be refused, and ran", ran.ID, who.At.Sub(until))
		}
	}
}

// Quota checks that in no window more of a team's tokens were sent and ran than allowed.
func (c *Checker) Quota(team string, window time.Duration, most float64) {
	c.mu.Lock()
	list := slices.Clone(c.spent[team])
	c.mu.Unlock()
	slices.SortFunc(list, func(a, b spending) int { return a.sent.Compare(b.sent) })
	for i, first := range list {
		sum := 0
		for _, s := range list[i:] {
			if s.ran.Sub(first.sent) <= window {
				sum += s.tokens
			}
		}
		if float64(sum) > most {
			c.Break("quota", "team %s had %d tokens served in %v, %.0f are allowed", team, sum, window, most)
			return
		}
	}
}

// Orders checks the orders that an engine got, in order.
func (c *Checker) Orders(engine string, orders []standin.Given) {
	holders := map[int64]string{}
	for _, o := range orders {
		if h, ok := holders[o.Fence]; ok && h != o.Holder {
			c.Break("fence", "engine %s got orders of %s and %s under epoch %d", engine, h, o.Holder, o.Fence)
		}
		holders[o.Fence] = o.Holder
	}
}

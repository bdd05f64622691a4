package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/platform/standin"
)

const (
	// waitingClients is the number of clients that wait for responses longer than the timeout of the route, which is clientTimeout.
	waitingClients = 2
	// endlessTime is how long servers handle their requests, and how long they wait.
	endlessTime = 6 * time.Second
	// answerBound is how long after the timeout of its route a request must have a final answer. More than answerRatio of those that are still
	// unanswered then break the invariant, if there are minWaits of them.
	answerBound = 500 * time.Millisecond
	answerRatio = 0.5
	minWaits    = 8
	// endlessPath is the path of these requests.
	endlessPath = safePath + "endless"
)

// wait is how long a client waited for the final answer of a node.
type wait struct {
	node string
	from time.Time
	took time.Duration
}

// slowTimes returns how long servers handle requests, by path.
func slowTimes() map[string]time.Duration {
	out := map[string]time.Duration{endlessPath: endlessTime}
	for _, p := range slowPaths {
		out[p] = slowTime
	}
	return out
}

// waitForTimeouts sends requests that servers handle for longer than the timeout of their route until ctx ends. It has its own random generator.
func (r *Run) waitForTimeouts(ctx context.Context, client int) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(13000+client)))
	for n := 0; ctx.Err() == nil; n++ {
		r.waitForTimeout(ctx, r.nodes[rng.IntN(len(r.nodes))], fmt.Sprintf("e%d-%d", client, n))
		clock.Sleep(ctx, randomDuration(rng, 50, 300))
	}
}

// waitForTimeout sends a request that servers handle for longer than the timeout of its route.
func (r *Run) waitForTimeout(ctx context.Context, target *node, id string) {
	ctx, cancel := context.WithTimeout(ctx, endlessTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.settings.Clients+endlessPath, nil)
	if err != nil {
		panic(err) // the request is well-formed
	}
	caller := Caller{Team: unlimitedTeam, Version: int(r.version.Load()), At: time.Now(), Node: target.settings.Node, Tokens: standin.PlainTokens}
	req.Host = host
	standin.Call{ID: id, Key: key(caller.Team, caller.Version)}.SetHeaders(req.Header)
	r.check.RecordRequest(id, true, caller)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err == nil {
		_ = resp.Body.Close()
	} else if ctx.Err() == nil {
		return // the connection broke
	}
	r.check.RecordWait(target.settings.Node, caller.At, time.Since(caller.At))
}

// RecordWait records that a client waited for a final answer of a node so long.
func (c *Checker) RecordWait(node string, from time.Time, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits = append(c.waits, wait{node, from, took})
}

// CheckTimeouts checks that requests have a final answer soon after the timeout of their route.
func (c *Checker) CheckTimeouts() {
	c.mu.Lock()
	open, late := 0, 0
	for _, w := range c.waits {
		if w.took < clientTimeout || !c.undisturbed(w.node, w.from.Add(-stableTime), w.from.Add(w.took), true) {
			continue
		}
		if open++; w.took > clientTimeout+answerBound {
			late++
		}
	}
	c.mu.Unlock()
	if open >= minWaits && float64(late) > answerRatio*float64(open) {
		c.RecordViolation("timeout", "%d of %d requests that had no answer at the timeout of their route had none %v later", late, open, answerBound)
	}
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"guavapaddle/internal/clock"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// Tolerances for the limits that servers set for nodes.
const (
	leavingBound       = 2 * time.Second        // after a response with the announcement that its server leaves
	backoffSlack       = 500 * time.Millisecond // after a refusal with a backoff time
	maxBackoffRequests = 2                      // requests of a node from then to the end of the backoff
	rateWindow         = 4 * time.Second        // window over which the requests to a server are counted
	rateFactor         = 1.5                    // factor on the number that the rate allows in the window
	rateAllowance      = 5                      // requests allowed in addition
	rateSettleTime     = 3 * time.Second        // after a server first sent its rate
	rateSlack          = 500 * time.Millisecond // after a node has forwarded a response with the rate
)

// disturbance is an interval in which a node or a server was stopped, paused or
// disconnected.
type disturbance struct {
	from, to time.Time
	cut      bool // disconnected only; the process kept running
}

// requestLimits makes random servers set rates, request backoff or announce that they leave,
// until ctx ends. Only one does so at a time, so that the others can serve. It has its own
// random generator, so that the faults of a seed don't depend on it.
func (r *Run) requestLimits(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 2000))
	for n := 0; ctx.Err() == nil; n++ {
		w := r.randomWorker(rng)
		switch rng.IntN(3) {
		case 0:
			w.SetRateLimit(1 + 3*rng.Float64())
			clock.Sleep(ctx, randomDuration(rng, 4000, 8000))
			w.SetRateLimit(0)
		case 1:
			w.SetBackoff(randomDuration(rng, 1000, 3000))
			for range 1 + rng.IntN(10) {
				w.SetScript(standin.Shed, standin.OK)
				clock.Sleep(ctx, 100*time.Millisecond)
			}
			w.SetBackoff(0)
		case 2:
			r.announceLeaving(ctx, w, fmt.Sprintf("i-d%d", n))
		}
		clock.Sleep(ctx, randomDuration(rng, 100, 600))
	}
}

// announceLeaving starts a new server and makes the old one announce only in its responses
// that it leaves.
func (r *Run) announceLeaving(ctx context.Context, w *worker, next string) {
	if !w.startLeaving() {
		return
	}
	if err := r.addWorker(w.service, next); err != nil {
		r.check.RecordViolation("recover", "cannot start a new server: %v", err)
		return
	}
	clock.Sleep(ctx, 300*time.Millisecond)
	w.Drain()
	clock.Sleep(ctx, 5*time.Second)
	r.store.Drop(platform.TableServers, w.ID)
}

// RecordDisturbance records that a node or server was stopped, paused or disconnected.
func (c *Checker) RecordDisturbance(name string, from, to time.Time, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed[name] = append(c.disturbed[name], disturbance{from, to, cut})
}

// undisturbed reports whether a node or server was undisturbed between two times.
// Disconnections count as disturbances only if cuts is set.
func (c *Checker) undisturbed(name string, from, to time.Time, cuts bool) bool {
	return !slices.ContainsFunc(c.disturbed[name], func(d disturbance) bool {
		return (cuts || !d.cut) && !d.from.After(to) && !d.to.Before(from)
	})
}

// forwardedResponse is the time at which a node forwarded a response.
type forwardedResponse struct {
	node string
	at   time.Time
}

// forwardedResponses returns when nodes forwarded the successful responses to those of a
// server's requests that match include.
func (c *Checker) forwardedResponses(list []standin.Visit, include func(standin.Visit) bool) []forwardedResponse {
	var out []forwardedResponse
	for _, v := range list {
		if at, ok := c.servedAt[v.ID]; ok && v.Did == standin.OK && include(v) {
			out = append(out, forwardedResponse{c.callers[v.ID].Node, at})
		}
	}
	return out
}

// CheckLimits checks the requests that a server got against the limits that it set for nodes.
func (c *Checker) CheckLimits(server string, list []standin.Visit) {
	c.mu.Lock()
	violations := slices.Concat(c.afterLeaving(server, list), c.duringBackoff(server, list), c.overRate(server, list))
	c.mu.Unlock()
	for _, v := range violations {
		c.RecordViolation(v.Promise, "%s", v.Detail)
	}
}

// afterLeaving returns a violation for each request that a node sent to a server more than
// leavingBound after it had forwarded the server's announcement that it leaves.
func (c *Checker) afterLeaving(server string, list []standin.Visit) []Violation {
	var out []Violation
	announced := c.forwardedResponses(list, func(v standin.Visit) bool { return v.Draining })
	for _, v := range list {
		caller := c.callers[v.ID]
		for _, t := range announced {
			if delay := caller.At.Sub(t.at); t.node == caller.Node && delay > leavingBound && c.undisturbed(caller.Node, t.at, v.At, false) {
				out = append(out, Violation{"leaving", fmt.Sprintf("request %s was sent %v after %s had forwarded the announcement that %s leaves", v.ID, delay, caller.Node, server)})
				break
			}
		}
	}
	return out
}

// duringBackoff returns a violation for each refusal with a backoff time after which the
// node kept sending requests.
func (c *Checker) duringBackoff(server string, list []standin.Visit) []Violation {
	var out []Violation
	for _, a := range list {
		node, n := c.callers[a.ID].Node, 0
		if a.Backoff == 0 || !c.undisturbed(node, a.At, a.At.Add(a.Backoff), true) || !c.undisturbed(server, a.At, a.At.Add(a.Backoff), true) {
			continue
		}
		for _, b := range list {
			if d := b.At.Sub(a.At); c.callers[b.ID].Node == node && d > backoffSlack && d < a.Backoff {
				n++
			}
		}
		if n > maxBackoffRequests {
			out = append(out, Violation{"rest", fmt.Sprintf("%s had asked %s to back off for %v, and got %d requests", server, node, a.Backoff, n)})
		}
	}
	return out
}

// overRate returns a violation for each period with a constant rate in which a server got
// too many requests from nodes that had forwarded the rate.
func (c *Checker) overRate(server string, list []standin.Visit) []Violation {
	var out []Violation
	for begin := 0; begin < len(list); {
		end := begin
		for end < len(list) && list[end].Rate == list[begin].Rate {
			end++
		}
		if rate := list[begin].Rate; rate > 0 {
			allowed := rateFactor*rate*rateWindow.Seconds() + rateAllowance
			if n := c.maxAtRate(list[begin:end]); float64(n) > allowed {
				out = append(out, Violation{"rate", fmt.Sprintf("%s had set a rate of %.2f per second and got %d requests in %v, %.0f are allowed", server, rate, n, rateWindow, allowed)})
			}
		}
		begin = end
	}
	return out
}

// maxAtRate returns the highest number of requests in any window of rateWindow, for a list
// of requests during which a server set a constant rate. It counts requests from undisturbed
// nodes that had forwarded a response at least rateSlack earlier, and ignores windows that
// end within the first rateSettleTime.
func (c *Checker) maxAtRate(list []standin.Visit) int {
	forwarded := c.forwardedResponses(list, func(standin.Visit) bool { return true })
	var counted []time.Time
	highest := 0
	for _, v := range list {
		node := c.callers[v.ID].Node
		if slices.ContainsFunc(forwarded, func(t forwardedResponse) bool {
			return t.node == node && v.At.Sub(t.at) >= rateSlack && c.undisturbed(node, t.at, v.At, true)
		}) {
			counted = append(counted, v.At)
		}
		for len(counted) > 0 && v.At.Sub(counted[0]) >= rateWindow {
			counted = counted[1:]
		}
		if v.At.Sub(list[0].At) >= rateSettleTime {
			highest = max(highest, len(counted))
		}
	}
	return highest
}

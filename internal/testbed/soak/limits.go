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

// What servers may ask of nodes, and how strictly it binds.
const (
	drainBound = 2 * time.Second        // from an answer that says that its server leaves
	restSlack  = 500 * time.Millisecond // after a refusal that asks for rest
	restMost   = 2                      // requests of a node from then until the rest's end
	rateSpan   = 4 * time.Second        // over which the requests to a server are counted
	ratePart   = 1.5                    // of what its rate allows in that time
	rateExtra  = 5                      // requests beyond
	rateStable = 3 * time.Second        // after a server first named its rate
	rateSlack  = 500 * time.Millisecond // after a node has passed on an answer with the rate
)

// disturbance is a time in which a node or a server was stopped, paused or cut off.
type disturbance struct {
	from, to time.Time
	cut      bool // the process itself ran on
}

// need lets servers ask for what nodes must heed, until ctx ends: one at a time, so that
// others can serve. Its draws are its own, and the seeds' faults stay as they are.
func (r *Run) need(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 2000))
	for n := 0; ctx.Err() == nil; n++ {
		w := r.anyWorker(rng)
		switch rng.IntN(3) {
		case 0:
			w.NameRate(1 + 3*rng.Float64())
			clock.Sleep(ctx, between(rng, 4000, 8000))
			w.NameRate(0)
		case 1:
			w.AskRest(between(rng, 1000, 3000))
			for range 1 + rng.IntN(10) {
				w.Do(standin.Shed, standin.OK)
				clock.Sleep(ctx, 100*time.Millisecond)
			}
			w.AskRest(0)
		case 2:
			r.depart(ctx, w, fmt.Sprintf("i-d%d", n))
		}
		clock.Sleep(ctx, between(rng, 100, 600))
	}
}

// depart has a server say in its answers alone that it leaves, beside a new one.
func (r *Run) depart(ctx context.Context, w *worker, next string) {
	if !w.leave() {
		return
	}
	if err := r.addWorker(w.service, next); err != nil {
		r.check.Break("recover", "no new server: %v", err)
		return
	}
	clock.Sleep(ctx, 300*time.Millisecond)
	w.Depart()
	clock.Sleep(ctx, 5*time.Second)
	r.store.Drop(platform.TableServers, w.ID)
}

// Disturbed notes that a node or server was stopped, paused or cut off.
func (c *Checker) Disturbed(name string, from, to time.Time, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed[name] = append(c.disturbed[name], disturbance{from, to, cut})
}

// calm tells whether nothing happened to a node or server between two times, other than a
// cut where cuts are no excuse.
func (c *Checker) calm(name string, from, to time.Time, cuts bool) bool {
	return !slices.ContainsFunc(c.disturbed[name], func(d disturbance) bool {
		return (cuts || !d.cut) && !d.from.After(to) && !d.to.Before(from)
	})
}

// told is when a node has passed on an answer.
type told struct {
	node string
	at   time.Time
}

// passedOn returns when nodes have passed on the answers to some of a server's requests.
func (c *Checker) passedOn(list []standin.Visit, of func(standin.Visit) bool) []told {
	var out []told
	for _, v := range list {
		if at, ok := c.served[v.ID]; ok && v.Did == standin.OK && of(v) {
			out = append(out, told{c.callers[v.ID].Node, at})
		}
	}
	return out
}

// Needs checks the requests that came to a server against what it asked of nodes.
func (c *Checker) Needs(server string, list []standin.Visit) {
	c.mu.Lock()
	broken := slices.Concat(c.afterLeaving(server, list), c.inRest(server, list), c.overRate(server, list))
	c.mu.Unlock()
	for _, v := range broken {
		c.Break(v.Promise, "%s", v.What)
	}
}

// afterLeaving returns the requests of nodes that had passed on that the server leaves.
func (c *Checker) afterLeaving(server string, list []standin.Visit) []Violation {
	var out []Violation
	said := c.passedOn(list, func(v standin.Visit) bool { return v.Departs })
	for _, v := range list {
		who := c.callers[v.ID]
		for _, t := range said {
			if late := who.At.Sub(t.at); t.node == who.Node && late > drainBound && c.calm(who.Node, t.at, v.At, false) {
				out = append(out, Violation{"leaving", fmt.Sprintf("request %s was sent %v after %s had passed on that %s leaves", v.ID, late, who.Node, server)})
				break
			}
		}
	}
	return out
}

// inRest returns the refusals of a server after which their node went on.
func (c *Checker) inRest(server string, list []standin.Visit) []Violation {
	var out []Violation
	for _, a := range list {
		node, n := c.callers[a.ID].Node, 0
		if a.Rest == 0 || !c.calm(node, a.At, a.At.Add(a.Rest), true) || !c.calm(server, a.At, a.At.Add(a.Rest), true) {
			continue
		}
		for _, b := range list {
			if d := b.At.Sub(a.At); c.callers[b.ID].Node == node && d > restSlack && d < a.Rest {
				n++
			}
		}
		if n > restMost {
			out = append(out, Violation{"rest", fmt.Sprintf("%s had asked %s for %v of rest, and got %d requests", server, node, a.Rest, n)})
		}
	}
	return out
}

// overRate returns the times at which a server that names a rate had got too many requests
// of nodes that had passed the rate on.
func (c *Checker) overRate(server string, list []standin.Visit) []Violation {
	var out []Violation
	for begin := 0; begin < len(list); {
		end := begin
		for end < len(list) && list[end].Rate == list[begin].Rate {
			end++
		}
		if rate := list[begin].Rate; rate > 0 {
			most := ratePart*rate*rateSpan.Seconds() + rateExtra
			if n := c.mostAtRate(list[begin:end]); float64(n) > most {
				out = append(out, Violation{"rate", fmt.Sprintf("%s had named %.2f a second and got %d requests in %v, %.0f are allowed", server, rate, n, rateSpan, most)})
			}
		}
		begin = end
	}
	return out
}

// mostAtRate returns the most requests in any span while a server names one rate.
func (c *Checker) mostAtRate(list []standin.Visit) int {
	said := c.passedOn(list, func(standin.Visit) bool { return true })
	var counted []time.Time
	most := 0
	for _, v := range list {
		node := c.callers[v.ID].Node
		if slices.ContainsFunc(said, func(t told) bool {
			return t.node == node && v.At.Sub(t.at) >= rateSlack && c.calm(node, t.at, v.At, true)
		}) {
			counted = append(counted, v.At)
		}
		for len(counted) > 0 && v.At.Sub(counted[0]) >= rateSpan {
			counted = counted[1:]
		}
		if v.At.Sub(list[0].At) >= rateStable {
			most = max(most, len(counted))
		}
	}
	return most
}

package quota

import (
	"maps"
	"math/rand/v2"
	"time"

	"guavapaddle/core/fleet"
)

const (
	// nodesUnknown is the number of nodes that a node assumes that was told of none.
	nodesUnknown = 100
	// shareLife is how long a share holds that no granter tells any more.
	shareLife = 6 * time.Second
)

type (
	// Purse is what a node knows of the teams' quotas and has spent of them. Its exported
	// fields are set before the first call. It is not safe for concurrent use.
	Purse struct {
		Tolerance Tolerance
		Rand      *rand.Rand

		states   map[string]State
		shares   map[string]told
		sums     map[string]Sum
		known    map[string]Sum // as of the last report that was answered
		number   uint64         // of the last report
		reported map[string]Sum // in it
		reserves map[string]*reserve
		nodes    int
	}

	// told is a share as a granter told it.
	told struct {
		share float64
		at    time.Time
	}

	// reserve is what a node may spend of its share. A request is often larger than that.
	// It is taken when a random part of its cost is there: many nodes that each have a
	// little would else all wait in vain, or all take a request at once.
	reserve struct {
		level float64
		part  float64 // of the next request's cost
		at    time.Time
		bound bool // to the share, when it was last looked at
	}
)

// Told takes in what the granter told, and how many nodes report to it. A share that it
// doesn't tell, as one that has just taken over doesn't, holds on for a while.
func (p *Purse) Told(now time.Time, states map[string]State, nodes int) {
	if p.shares == nil {
		p.shares = map[string]told{}
	}
	for team, s := range states {
		if s.Share > 0 {
			p.shares[team] = told{s.Share, now}
		}
	}
	for team, s := range p.shares {
		if now.Sub(s.at) > shareLife {
			delete(p.shares, team)
		}
	}
	p.states = states
	p.nodes = nodes
	for team, r := range p.reserves {
		r.bound = states[team].Scarce
	}
}

// Charged notes what a granter has charged for a request of this node.
func (p *Purse) Charged(team string, cost float64) { p.use(team, cost, 0) }

// Spend charges a request here; the granter learns of it with the next report that it
// answers. led tells whether there is a granter: without one, and while little is left,
// the node keeps to its share of the quota. It returns whether the quota allows the
// request, or when to come back.
func (p *Purse) Spend(now time.Time, team fleet.Team, cost float64, led bool) (ok bool, after time.Duration) {
	q := team.Quota
	if q.Rate <= 0 {
		return true, 0
	}
	share := p.share(team.Name)
	rate := share * q.Rate
	most := share * reservePart * p.Tolerance.Excess(q)
	r := p.reserve(team.Name, most)
	bound := !led || p.states[team.Name].Scarce
	r.refill(now, rate, most, p.Tolerance.Window, bound)
	if bound {
		r.level = min(r.level, max(most, cost))
		if need := r.part * cost; r.level < need {
			return false, seconds((need - r.level) / rate)
		}
		r.level -= cost
		r.part = p.Rand.Float64()
	}
	p.use(team.Name, cost, cost)
	return true, 0
}

// Refund gives back what a request was charged that hasn't run.
func (p *Purse) Refund(team string, cost float64) { p.use(team, -cost, -cost) }

func (p *Purse) use(team string, spent, owed float64) {
	if p.sums == nil {
		p.sums = map[string]Sum{}
	}
	u := p.sums[team]
	p.sums[team] = Sum{Spent: u.Spent + spent, Owed: u.Owed + owed}
}

// share returns this node's part of a team's quota.
func (p *Purse) share(team string) float64 {
	if s, ok := p.shares[team]; ok {
		return s.share
	}
	if p.nodes > 0 {
		return evenPart / float64(p.nodes)
	}
	return 1.0 / nodesUnknown
}

// reserve returns a team's reserve, which begins full.
func (p *Purse) reserve(team string, full float64) *reserve {
	if p.reserves == nil {
		p.reserves = map[string]*reserve{}
	}
	r := p.reserves[team]
	if r == nil {
		r = &reserve{level: full, part: p.Rand.Float64()}
		p.reserves[team] = r
	}
	return r
}

// refill adds what has come in since the last look: the share of the rate while the node
// was bound to it; else a little, up to what a reserve begins with.
func (r *reserve) refill(now time.Time, rate, full float64, window time.Duration, bound bool) {
	dt := now.Sub(r.at)
	switch {
	case r.at.IsZero():
	case r.bound:
		r.level += rate * dt.Seconds()
	default:
		r.level = min(full, r.level+full*dt.Seconds()/window.Seconds())
	}
	r.at, r.bound = now, bound
}

// Report returns what this node has spent, of the teams whose sums have changed since the
// last report that was answered.
func (p *Purse) Report() Uses {
	p.number++
	p.reported = maps.Clone(p.sums)
	out := Uses{Number: p.number}
	for team, now := range p.sums {
		if known := p.known[team]; known != now {
			out.Uses = append(out.Uses, Use{Team: team, Now: now, Known: known, Share: p.shares[team].share})
		}
	}
	return out
}

// Answered notes that a granter has answered a report.
func (p *Purse) Answered(number uint64) {
	if number == p.number {
		p.known = p.reported
	}
}

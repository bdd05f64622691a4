package quota

import (
	"maps"
	"math/rand/v2"
	"time"

	"guavapaddle/core/fleet"
)

// nodesUnknown is the number of nodes that a node assumes that was told of none.
const nodesUnknown = 100

type (
	// Purse is what a node knows of the teams' quotas and has spent of them. Its exported
	// fields are set before the first call. It is not safe for concurrent use.
	Purse struct {
		Tolerance Tolerance
		Rand      *rand.Rand

		states   map[string]State
		sums     map[string]Sum
		known    map[string]Sum // as of the last report that was answered
		number   uint64         // of the last report
		reported map[string]Sum // in it
		reserves map[string]*reserve
		nodes    int
	}

	// reserve is what a node may spend of its share.
	reserve struct {
		level   float64
		at      time.Time
		bound   bool // to the share, when it was last looked at
		started bool
	}
)

// Told takes in what the granter told, and how many nodes report to it.
func (p *Purse) Told(states map[string]State, nodes int) {
	for team, now := range states {
		if now.Share == 0 {
			now.Share = p.states[team].Share
			states[team] = now
		}
	}
	p.states = states
	p.nodes = nodes
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
	r := p.reserve(team.Name)
	bound := !led || p.states[team.Name].Scarce
	r.refill(now, rate, most/p.Tolerance.Window.Seconds(), bound)
	if !bound {
		p.use(team.Name, cost, cost)
		return true, 0
	}
	if !r.started {
		// Each node may go over its share by one request. At random, all nodes together
		// begin with no more than their shares.
		r.started = true
		r.level = most - p.Rand.Float64()*cost
	}
	r.level = min(r.level, most)
	if r.level < 0 {
		return false, seconds(-r.level / rate)
	}
	r.level -= cost
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
	if s, ok := p.states[team]; ok && s.Share > 0 {
		return s.Share
	}
	if p.nodes > 0 {
		return evenPart / float64(p.nodes)
	}
	return 1.0 / nodesUnknown
}

// reserve returns a team's reserve.
func (p *Purse) reserve(team string) *reserve {
	if p.reserves == nil {
		p.reserves = map[string]*reserve{}
	}
	r := p.reserves[team]
	if r == nil {
		r = &reserve{}
		p.reserves[team] = r
	}
	return r
}

// refill adds what has come in since the last look: the share of the rate while the node
// was bound to it, else a little of the reserve.
func (r *reserve) refill(now time.Time, share, little float64, bound bool) {
	if r.started {
		rate := little
		if r.bound {
			rate = share
		}
		r.level += rate * now.Sub(r.at).Seconds()
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
			out.Uses = append(out.Uses, Use{Team: team, Now: now, Known: known, Share: p.states[team].Share})
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

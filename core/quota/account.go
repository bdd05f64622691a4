package quota

import (
	"maps"
	"math/rand/v2"
	"time"

	"guavapaddle/core/fleet"
)

const (
	// assumedNodes is the number of nodes assumed until a granter sends it.
	assumedNodes = 100
	// shareTTL is how long a share stays valid after a granter last sent it.
	shareTTL = 6 * time.Second
)

type (
	// Account holds a node's shares of the teams' quotas and what it has spent of
	// them. Its exported fields must be set before the first call. It is not safe for
	// concurrent use.
	Account struct {
		Tolerance Tolerance
		Rand      *rand.Rand

		states       map[string]State
		shares       map[string]assignedShare
		sums         map[string]Usage
		acknowledged map[string]Usage // as of the last acknowledged report
		reportNumber uint64           // of the last report
		reported     map[string]Usage // as of the last report
		reserves     map[string]*reserve
		nodes        int
	}

	// assignedShare is a share and the time when a granter last sent it.
	assignedShare struct {
		share float64
		at    time.Time
	}

	// reserve is what a node may spend of its share. The cost of a request often exceeds
	// the reserve, so a request is admitted once the reserve covers a random fraction of
	// its cost. Otherwise many nodes with a small reserve each would either all wait
	// indefinitely or all admit a request at the same time.
	reserve struct {
		level     float64
		threshold float64 // fraction of the next request's cost that must be covered
		at        time.Time
		limited   bool // the node was limited to its share at the last update
	}
)

// Update applies the granter's reply, with the number of nodes that report to it. A share
// that is missing from the reply, as from a granter that has just taken over, stays valid
// for 6 s.
func (p *Account) Update(now time.Time, states map[string]State, nodes int) {
	if p.shares == nil {
		p.shares = map[string]assignedShare{}
	}
	for team, s := range states {
		if s.Share > 0 {
			p.shares[team] = assignedShare{s.Share, now}
		}
	}
	for team, s := range p.shares {
		if now.Sub(s.at) > shareTTL {
			delete(p.shares, team)
		}
	}
	p.states = states
	p.nodes = nodes
	for team, r := range p.reserves {
		r.limited = states[team].Scarce
	}
}

// RecordCharge records what a granter has charged for a request of this node.
func (p *Account) RecordCharge(team string, cost float64) { p.addUsage(team, cost, 0) }

// Spend charges a request to this node's account; the granter charges it with the
// next report that it acknowledges. hasLeader is whether the node reaches a granter:
// without one, and while the team's bucket is low, the node stays within its share of the
// quota. Spend reports whether the quota admits the request and, if not, the time after
// which to retry.
func (p *Account) Spend(now time.Time, team fleet.Team, cost float64, hasLeader bool) (ok bool, after time.Duration) {
	q := team.Quota
	if q.Rate <= 0 {
		return true, 0
	}
	share := p.share(team.Name)
	rate := share * q.Rate
	maxReserve := share * reserveFraction * p.Tolerance.Excess(q)
	r := p.reserve(team.Name, maxReserve)
	limited := !hasLeader || p.states[team.Name].Scarce
	r.refill(now, rate, maxReserve, p.Tolerance.Window, limited)
	if limited {
		r.level = min(r.level, max(maxReserve, cost))
		if need := r.threshold * cost; r.level < need {
			return false, ceilMilliseconds((need - r.level) / rate)
		}
		r.level -= cost
		r.threshold = p.Rand.Float64()
	}
	p.addUsage(team.Name, cost, cost)
	return true, 0
}

// Refund returns the charge of a request that hasn't run.
func (p *Account) Refund(team string, cost float64) { p.addUsage(team, -cost, -cost) }

func (p *Account) addUsage(team string, spent, owed float64) {
	if p.sums == nil {
		p.sums = map[string]Usage{}
	}
	u := p.sums[team]
	p.sums[team] = Usage{Spent: u.Spent + spent, Owed: u.Owed + owed}
}

// share returns this node's share of a team's quota.
func (p *Account) share(team string) float64 {
	if s, ok := p.shares[team]; ok {
		return s.share
	}
	if p.nodes > 0 {
		return evenFraction / float64(p.nodes)
	}
	return 1.0 / assumedNodes
}

// reserve returns a team's reserve, which is full when it is created.
func (p *Account) reserve(team string, full float64) *reserve {
	if p.reserves == nil {
		p.reserves = map[string]*reserve{}
	}
	r := p.reserves[team]
	if r == nil {
		r = &reserve{level: full, threshold: p.Rand.Float64()}
		p.reserves[team] = r
	}
	return r
}

// refill adds what has accrued since the last update: the share of the rate if the node
// was limited to its share, otherwise one full reserve per window, up to a full reserve.
func (r *reserve) refill(now time.Time, rate, full float64, window time.Duration, limited bool) {
	dt := now.Sub(r.at)
	switch {
	case r.at.IsZero():
	case r.limited:
		r.level += rate * dt.Seconds()
	default:
		r.level = min(full, r.level+full*dt.Seconds()/window.Seconds())
	}
	r.at, r.limited = now, limited
}

// Report returns what this node has spent on the teams whose sums have changed since the
// last acknowledged report.
func (p *Account) Report() UsageReport {
	p.reportNumber++
	p.reported = maps.Clone(p.sums)
	out := UsageReport{Number: p.reportNumber}
	for team, now := range p.sums {
		if acknowledged := p.acknowledged[team]; acknowledged != now {
			out.Uses = append(out.Uses, TeamUsage{Team: team, Now: now, Known: acknowledged, Share: p.shares[team].share})
		}
	}
	return out
}

// Acknowledge records that a granter has acknowledged the report of that number.
func (p *Account) Acknowledge(reportNumber uint64) {
	if reportNumber == p.reportNumber {
		p.acknowledged = p.reported
	}
}

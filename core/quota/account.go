package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"guavapaddle/core/fleet"
)

const (
	// assumedNodes is the number of nodes assumed until a granter sends it.
	assumedNodes = 100
	// shareTTL is how long a share stays valid after a granter last sent it.
	shareTTL = 6 * time.Second
	// maxUnacknowledged is the number of reports that may be acknowledged after later ones were sent,
	// because a relay answers before the granter does.
	maxUnacknowledged = 16
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
		reported     []numberedSums   // as of the last reports, oldest first
		reserves     map[string]*reserve
		nodes        int
	}

	// numberedSums is what a report contained.
	numberedSums struct {
		number uint64
		sums   map[string]Usage
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
// for shareTTL.
func (a *Account) Update(now time.Time, states map[string]State, nodes int) {
	if a.shares == nil {
		a.shares = map[string]assignedShare{}
	}
	for team, s := range states {
		if s.Share > 0 {
			a.shares[team] = assignedShare{s.Share, now}
		}
	}
	for team, s := range a.shares {
		if now.Sub(s.at) > shareTTL {
			delete(a.shares, team)
		}
	}
	a.states = states
	a.nodes = nodes
	for team, r := range a.reserves {
		r.limited = states[team].Scarce
	}
}

// RecordCharge records what a granter has charged for a request of this node.
func (a *Account) RecordCharge(team string, cost float64) { a.addUsage(team, cost, 0) }

// Spend charges a request to this node's account; the granter charges it with the
// next report that it acknowledges. hasGranter is whether the node reaches a granter:
// without one, and while the team's bucket is low, the node stays within its share of the
// quota. Spend reports whether the quota admits the request and, if not, the time after
// which to retry.
func (a *Account) Spend(now time.Time, team fleet.Team, cost float64, hasGranter bool) (ok bool, after time.Duration) {
	q := team.Quota
	if q.Rate <= 0 {
		return true, 0
	}
	share := a.share(team.Name)
	rate := share * q.Rate
	maxReserve := share * reserveFraction * a.Tolerance.Excess(q)
	r := a.reserve(team.Name, maxReserve)
	limited := !hasGranter || a.states[team.Name].Scarce
	r.refill(now, rate, maxReserve, a.Tolerance.Window, limited)
	if limited {
		r.level = min(r.level, max(maxReserve, cost))
		if need := r.threshold * cost; r.level < need {
			return false, ceilMilliseconds((need - r.level) / rate)
		}
		r.level -= cost
		r.threshold = a.Rand.Float64()
	}
	a.addUsage(team.Name, cost, cost)
	return true, 0
}

// Refund returns the charge of a request that hasn't run.
func (a *Account) Refund(team string, cost float64) { a.addUsage(team, -cost, -cost) }

func (a *Account) addUsage(team string, spent, owed float64) {
	if a.sums == nil {
		a.sums = map[string]Usage{}
	}
	u := a.sums[team]
	a.sums[team] = Usage{Spent: u.Spent + spent, Owed: u.Owed + owed}
}

// share returns this node's share of a team's quota.
func (a *Account) share(team string) float64 {
	if s, ok := a.shares[team]; ok {
		return s.share
	}
	if a.nodes > 0 {
		return evenFraction / float64(a.nodes)
	}
	return 1.0 / assumedNodes
}

// reserve returns a team's reserve, which is full when it is created.
func (a *Account) reserve(team string, full float64) *reserve {
	if a.reserves == nil {
		a.reserves = map[string]*reserve{}
	}
	r := a.reserves[team]
	if r == nil {
		r = &reserve{level: full, threshold: a.Rand.Float64()}
		a.reserves[team] = r
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
func (a *Account) Report() UsageReport {
	a.reportNumber++
	a.reported = append(a.reported, numberedSums{a.reportNumber, maps.Clone(a.sums)})
	if n := len(a.reported) - maxUnacknowledged; n > 0 {
		a.reported = slices.Delete(a.reported, 0, n)
	}
	out := UsageReport{Number: a.reportNumber}
	for team, now := range a.sums {
		if acknowledged := a.acknowledged[team]; acknowledged != now {
			out.Uses = append(out.Uses, TeamUsage{Team: team, Now: now, Known: acknowledged, Share: a.shares[team].share})
		}
	}
	return out
}

// Acknowledge records that a granter has acknowledged the report of that number.
func (a *Account) Acknowledge(reportNumber uint64) {
	for i, r := range a.reported {
		if r.number == reportNumber {
			a.acknowledged = r.sums
			a.reported = slices.Delete(a.reported, 0, i+1)
			return
		}
	}
}

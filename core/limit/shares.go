package limit

import (
	"cmp"
	"slices"
	"time"

	"guavapaddle/core/config"
)

const (
	// idleUnits is the usage in units up to which a team counts as inactive.
	idleUnits = 1e-3
	// sweepInterval is the number of calls to Admit between removals of inactive
	// teams.
	sweepInterval = 1024
	wildcard      = "*"
)

type (
	// ByCost limits by the estimated cost of requests, which is replaced by the
	// actual cost on settlement. It is not safe for concurrent use.
	ByCost struct {
		settings   Settings
		total      usage
		teams      map[string]*teamUsage
		ruleUsage  map[ruleKey]*usage
		unsettled  map[uint64]Reservation // by ID
		lastID     uint64
		admitCalls int // calls to Admit
	}

	// ByRequests limits by the number of requests, counting each as one unit
	// regardless of its cost. It is not safe for concurrent use.
	ByRequests struct{ byCost ByCost }

	// teamUsage is the usage of one active team.
	teamUsage struct {
		usage
		weight float64
	}

	// ruleKey identifies the usage that a rule counts, which is separate for each
	// team.
	ruleKey struct {
		rule Rule
		team string
	}
)

// NewByCost returns a policy that limits by cost.
func NewByCost(s Settings) *ByCost {
	return &ByCost{
		settings:  s,
		teams:     map[string]*teamUsage{},
		ruleUsage: map[ruleKey]*usage{},
		unsettled: map[uint64]Reservation{},
	}
}

// NewByRequests returns a policy that limits by the number of requests.
func NewByRequests(s Settings) *ByRequests { return &ByRequests{byCost: *NewByCost(s)} }

// Admit implements Policy. A request that exceeds its team's whole share is
// admitted while the team has no other usage and total usage is within the
// capacity available to the request's urgency.
func (c *ByCost) Admit(now time.Time, team config.Team, kind config.Kind, estimate float64) (Reservation, bool, time.Duration) {
	c.sweep(now)
	u := c.teamUsage(team)
	if ok, wait := c.withinRules(now, team.Name, kind.Name, estimate); !ok {
		return Reservation{}, false, wait
	}
	if ok, wait := c.withinShare(now, u, kind.Urgency, estimate); !ok {
		return Reservation{}, false, wait
	}
	c.lastID++
	r := Reservation{id: c.lastID, team: team.Name, kind: kind.Name, units: estimate}
	c.unsettled[r.id] = r
	c.total.reserved += estimate
	u.reserved += estimate
	c.forEachRule(team.Name, kind.Name, func(_ Rule, use *usage) { use.reserved += estimate })
	return r, true, 0
}

// Settle implements Policy.
func (c *ByCost) Settle(now time.Time, r Reservation, actual float64) {
	if _, found := c.unsettled[r.id]; !found {
		return
	}
	delete(c.unsettled, r.id)
	w := c.settings.window()
	c.total.settle(now, w, r.units, actual)
	if u := c.teams[r.team]; u != nil {
		u.settle(now, w, r.units, actual)
	}
	c.forEachRule(r.team, r.kind, func(_ Rule, use *usage) { use.settle(now, w, r.units, actual) })
}

// Reconfigure replaces the settings. Usage is kept, except that new and changed
// rules start from zero.
func (c *ByCost) Reconfigure(s Settings) { c.settings = s }

// Unsettled returns the number of unsettled reservations.
func (c *ByCost) Unsettled() int { return len(c.unsettled) }

// Admit implements Policy.
func (q *ByRequests) Admit(now time.Time, team config.Team, kind config.Kind, _ float64) (Reservation, bool, time.Duration) {
	return q.byCost.Admit(now, team, kind, 1)
}

// Settle implements Policy.
func (q *ByRequests) Settle(now time.Time, r Reservation, _ float64) { q.byCost.Settle(now, r, 1) }

// Reconfigure replaces the settings. Usage is kept, except that new and changed
// rules start from zero.
func (q *ByRequests) Reconfigure(s Settings) { q.byCost.Reconfigure(s) }

// Unsettled returns the number of unsettled reservations.
func (q *ByRequests) Unsettled() int { return q.byCost.Unsettled() }

// withinShare reports whether estimate more units fit into the capacity or the
// share of u, and if not, the delay before a retry.
func (c *ByCost) withinShare(now time.Time, u *teamUsage, urgency config.Urgency, estimate float64) (bool, time.Duration) {
	if c.settings.Capacity == 0 {
		return true, 0
	}
	w := c.settings.window()
	available := c.settings.Capacity * w * c.settings.usableFraction(urgency)
	total, own := c.total.level(now, w), u.level(now, w)
	if total+estimate <= available {
		return true, 0
	}
	if own <= idleUnits && total <= available {
		return true, 0
	}
	share := c.share(now, u, available)
	if own+estimate <= share {
		return true, 0
	}
	return false, u.retryAfter(now, w, max(share-estimate, idleUnits))
}

// share returns the share of u when the available units are divided among the
// active teams by weighted max-min fairness: what teams leave unused of their
// weighted part is divided among the others.
func (c *ByCost) share(now time.Time, u *teamUsage, available float64) float64 {
	type competitor struct{ level, weight float64 }
	w := c.settings.window()
	var all []competitor
	weights := u.weight
	for _, o := range c.teams {
		if o == u {
			continue
		}
		if l := o.level(now, w); l > idleUnits {
			all = append(all, competitor{l, o.weight})
			weights += o.weight
		}
	}
	slices.SortFunc(all, func(a, b competitor) int { return cmp.Compare(a.level/a.weight, b.level/b.weight) })
	for _, o := range all {
		if o.level/o.weight >= available/weights {
			break
		}
		available -= o.level
		weights -= o.weight
	}
	return available * u.weight / weights
}

// withinRules reports whether estimate more units fit into every matching rule,
// and if not, the delay before a retry.
func (c *ByCost) withinRules(now time.Time, team, kind string, estimate float64) (bool, time.Duration) {
	w := c.settings.window()
	ok, retryAfter := true, time.Duration(0)
	c.forEachRule(team, kind, func(r Rule, use *usage) {
		level, maxUnits := use.level(now, w), r.Rate*w
		if level+estimate <= maxUnits || level <= idleUnits {
			return
		}
		ok = false
		retryAfter = max(retryAfter, use.retryAfter(now, w, max(maxUnits-estimate, idleUnits)))
	})
	return ok, retryAfter
}

// forEachRule calls f for each rule that matches the team and kind.
func (c *ByCost) forEachRule(team, kind string, f func(Rule, *usage)) {
	for _, r := range c.settings.Rules {
		if (r.Team != wildcard && r.Team != team) || (r.Kind != wildcard && r.Kind != kind) {
			continue
		}
		key := ruleKey{rule: r, team: team}
		use := c.ruleUsage[key]
		if use == nil {
			use = &usage{}
			c.ruleUsage[key] = use
		}
		f(r, use)
	}
}

// teamUsage returns the team's usage, with its weight updated from team.
func (c *ByCost) teamUsage(team config.Team) *teamUsage {
	u := c.teams[team.Name]
	if u == nil {
		u = &teamUsage{}
		c.teams[team.Name] = u
	}
	u.weight = orDefault(team.Weight, 1)
	return u
}

// sweep removes inactive teams and rule usages on every sweepInterval-th call.
func (c *ByCost) sweep(now time.Time) {
	c.admitCalls++
	if c.admitCalls%sweepInterval != 0 {
		return
	}
	w := c.settings.window()
	for name, u := range c.teams {
		if u.level(now, w) <= idleUnits {
			delete(c.teams, name)
		}
	}
	for key, use := range c.ruleUsage {
		if use.level(now, w) <= idleUnits {
			delete(c.ruleUsage, key)
		}
	}
}

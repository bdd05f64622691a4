package limit

import (
	"cmp"
	"slices"
	"time"

	"guavapaddle/core/config"
)

const (
	// idle is the level in units below which a team counts as not in use.
	idle = 1e-3
	// sweepEvery is the admissions between removals of idle teams.
	sweepEvery = 1024
	wildcard   = "*"
)

type (
	// ByCost limits by the estimated cost of requests, settled afterwards. It
	// is not safe for concurrent use.
	ByCost struct {
		settings Settings
		total    usage
		users    map[string]*user
		ruled    map[ruleKey]*usage
		open     map[uint64]Reservation
		next     uint64
		admits   int
	}

	// ByRequests limits by the number of requests, each of one unit, whatever
	// they cost. It is not safe for concurrent use.
	ByRequests struct{ shares ByCost }

	// user is one team in use.
	user struct {
		usage
		weight float64
	}

	// ruleKey names what a rule counts: each team on its own.
	ruleKey struct {
		rule Rule
		team string
	}
)

// NewByCost returns a policy that limits by cost.
func NewByCost(s Settings) *ByCost {
	return &ByCost{
		settings: s,
		users:    map[string]*user{},
		ruled:    map[ruleKey]*usage{},
		open:     map[uint64]Reservation{},
	}
}

// NewByRequests returns a policy that limits by the number of requests.
func NewByRequests(s Settings) *ByRequests { return &ByRequests{shares: *NewByCost(s)} }

// Admit implements Policy. A request that does not fit into its team's
// whole share is taken on when the team has nothing else in use.
func (c *ByCost) Admit(now time.Time, team config.Team, kind config.Kind, estimate float64) (Reservation, bool, time.Duration) {
	c.sweep(now)
	u := c.user(team)
	if ok, wait := c.admitRules(now, team.Name, kind.Name, estimate); !ok {
		return Reservation{}, false, wait
	}
	if ok, wait := c.admitShare(now, u, kind.Urgency, estimate); !ok {
		return Reservation{}, false, wait
	}
	c.next++
	r := Reservation{id: c.next, team: team.Name, kind: kind.Name, units: estimate}
	c.open[r.id] = r
	c.total.reserved += estimate
	u.reserved += estimate
	c.eachRule(team.Name, kind.Name, func(_ Rule, use *usage) { use.reserved += estimate })
	return r, true, 0
}

// Settle implements Policy.
func (c *ByCost) Settle(now time.Time, r Reservation, actual float64) {
	if _, found := c.open[r.id]; !found {
		return
	}
	delete(c.open, r.id)
	w := c.settings.window()
	c.total.settle(now, w, r.units, actual)
	if u := c.users[r.team]; u != nil {
		u.settle(now, w, r.units, actual)
	}
	c.eachRule(r.team, r.kind, func(_ Rule, use *usage) { use.settle(now, w, r.units, actual) })
}

// Reconfigure changes the settings. What is in use stays counted, but for rules
// that are new or changed.
func (c *ByCost) Reconfigure(s Settings) { c.settings = s }

// Open returns the number of reservations that are not settled.
func (c *ByCost) Open() int { return len(c.open) }

// Admit implements Policy.
func (q *ByRequests) Admit(now time.Time, team config.Team, kind config.Kind, _ float64) (Reservation, bool, time.Duration) {
	return q.shares.Admit(now, team, kind, 1)
}

// Settle implements Policy.
func (q *ByRequests) Settle(now time.Time, r Reservation, _ float64) { q.shares.Settle(now, r, 1) }

// Reconfigure changes the settings. What is in use stays counted, but for rules
// that are new or changed.
func (q *ByRequests) Reconfigure(s Settings) { q.shares.Reconfigure(s) }

// Open returns the number of reservations that are not settled.
func (q *ByRequests) Open() int { return q.shares.Open() }

// admitShare tells whether u may take estimate more.
func (c *ByCost) admitShare(now time.Time, u *user, urgency config.Urgency, estimate float64) (bool, time.Duration) {
	if c.settings.Capacity == 0 {
		return true, 0
	}
	w := c.settings.window()
	room := c.settings.Capacity * w * c.settings.part(urgency)
	total, own := c.total.level(now, w), u.level(now, w)
	if total+estimate <= room {
		return true, 0
	}
	if own <= idle && total <= room {
		return true, 0
	}
	share := c.share(now, u, room)
	if own+estimate <= share {
		return true, 0
	}
	return false, u.wait(now, w, max(share-estimate, idle))
}

// share returns the units that u may have in use when room is divided by
// max-min fairness: those who use less than their part by weight leave the rest
// to the others.
func (c *ByCost) share(now time.Time, u *user, room float64) float64 {
	type claimant struct{ level, weight float64 }
	w := c.settings.window()
	var all []claimant
	weights := u.weight
	for _, o := range c.users {
		if o == u {
			continue
		}
		if l := o.level(now, w); l > idle {
			all = append(all, claimant{l, o.weight})
			weights += o.weight
		}
	}
	slices.SortFunc(all, func(a, b claimant) int { return cmp.Compare(a.level/a.weight, b.level/b.weight) })
	for _, o := range all {
		if o.level/o.weight >= room/weights {
			break
		}
		room -= o.level
		weights -= o.weight
	}
	return room * u.weight / weights
}

// admitRules tells whether every rule has room for estimate more.
func (c *ByCost) admitRules(now time.Time, team, kind string, estimate float64) (bool, time.Duration) {
	w := c.settings.window()
	ok, wait := true, time.Duration(0)
	c.eachRule(team, kind, func(r Rule, use *usage) {
		level, room := use.level(now, w), r.Rate*w
		if level+estimate <= room || level <= idle {
			return
		}
		ok = false
		wait = max(wait, use.wait(now, w, max(room-estimate, idle)))
	})
	return ok, wait
}

// eachRule calls f for each rule that counts the team and kind.
func (c *ByCost) eachRule(team, kind string, f func(Rule, *usage)) {
	for _, r := range c.settings.Rules {
		if (r.Team != wildcard && r.Team != team) || (r.Kind != wildcard && r.Kind != kind) {
			continue
		}
		key := ruleKey{rule: r, team: team}
		use := c.ruled[key]
		if use == nil {
			use = &usage{}
			c.ruled[key] = use
		}
		f(r, use)
	}
}

// user returns the team's use, with its weight as it is now.
func (c *ByCost) user(team config.Team) *user {
	u := c.users[team.Name]
	if u == nil {
		u = &user{}
		c.users[team.Name] = u
	}
	u.weight = or(team.Weight, 1)
	return u
}

// sweep removes what is idle, now and then.
func (c *ByCost) sweep(now time.Time) {
	c.admits++
	if c.admits%sweepEvery != 0 {
		return
	}
	w := c.settings.window()
	for name, u := range c.users {
		if u.level(now, w) <= idle {
			delete(c.users, name)
		}
	}
	for key, use := range c.ruled {
		if use.level(now, w) <= idle {
			delete(c.ruled, key)
		}
	}
}

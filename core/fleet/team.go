package fleet

import (
	"math"
	"slices"
	"strings"

	"guavapaddle/core/apikey"
)

const (
	// UrgencyLeast is the last rank of urgency.
	UrgencyLeast = 9
	// revokedMost bounds the revoked keys that a configuration remembers.
	revokedMost = 4096
)

type (
	// Quota bounds what a team may have served by all nodes together: a token
	// bucket of so many units. A rate of zero is no bound.
	Quota struct {
		Rate  float64 // units a second
		Burst float64 // units
		// Tokens tells that the unit is a token; else it is a request.
		Tokens bool
		// Plain is the tokens of a request that doesn't say how many it has.
		Plain int
	}

	// Team is a group of callers with keys of its own.
	Team struct {
		Name string
		// Priority goes before the routes' own, 0 is the most urgent; below zero the
		// routes' own hold.
		Priority int
		Quota    Quota
	}

	// access says who may call. The zero value lets everybody call.
	access struct {
		required bool
		teams    []Team // in order of their names
		keys     apikey.Index[*Team]
		digests  map[apikey.Digest]bool
		revoked  map[apikey.Digest]bool // keys that were taken away
		ranks    []int64                // of pairs of priorities, in order
	}

	// Member is a team with the digests of its keys.
	Member struct {
		Team
		Keys []apikey.Digest
	}
)

// Cost returns what a request takes of the quota, in its unit. counted tells
// whether the request says how many tokens it has.
func (q Quota) Cost(prompt, output int, counted bool) float64 {
	switch {
	case !q.Tokens:
		return 1
	case !counted:
		return float64(q.Plain)
	default:
		return float64(prompt) + float64(output)
	}
}

// WithTeams returns a configuration in which only these teams may call routes
// that aren't public.
func (c *Config) WithTeams(members []Member) *Config {
	d := *c
	a := access{required: true, digests: map[apikey.Digest]bool{}}
	for _, m := range members {
		t := m.Team
		a.teams = append(a.teams, t)
		for _, k := range m.Keys {
			a.keys.Add(k, &t)
			a.digests[k] = true
		}
	}
	slices.SortFunc(a.teams, func(x, y Team) int { return strings.Compare(x.Name, y.Name) })
	a.ranks = c.pairs(a.teams)
	d.access = a
	return &d
}

// WithRevokedSince returns a configuration that also remembers the keys that an
// earlier one allowed, or remembers as revoked, and that this one doesn't allow.
func (c *Config) WithRevokedSince(old *Config) *Config {
	revoked := map[apikey.Digest]bool{}
	for _, from := range []map[apikey.Digest]bool{old.access.digests, old.access.revoked} {
		for k := range from {
			if !c.access.digests[k] && len(revoked) < revokedMost {
				revoked[k] = true
			}
		}
	}
	if len(revoked) == 0 {
		return c
	}
	d := *c
	d.access.revoked = revoked
	return &d
}

// KeysRequired tells whether calls need a key, but for public routes.
func (c *Config) KeysRequired() bool { return c.access.required }

// Team returns the team that holds a key.
func (c *Config) Team(key apikey.Digest) (Team, bool) {
	t, ok := c.access.keys.Find(key)
	if !ok {
		return Team{}, false
	}
	return *t, true
}

// Revoked tells whether an earlier configuration allowed the key.
func (c *Config) Revoked(key apikey.Digest) bool { return c.access.revoked[key] }

// Teams returns all teams in the order of their names, which must not be changed.
func (c *Config) Teams() []Team { return c.access.teams }

// Urgency returns the rank of a team's request on a route, from 0 for the most
// urgent to UrgencyLeast: by the team's priority, then by the route's. Without a
// team it is the route's priority.
func (c *Config) Urgency(r Route, t Team) int {
	if t.Name == "" {
		return r.Priority
	}
	i, _ := slices.BinarySearch(c.access.ranks, pair(r, t))
	return min(i, UrgencyLeast)
}

// pairs returns the priorities of all pairs of a team and a route, in order.
func (c *Config) pairs(teams []Team) []int64 {
	seen := map[int64]bool{}
	for _, rs := range c.byHost {
		for _, r := range rs {
			for _, t := range teams {
				seen[pair(r, t)] = true
			}
		}
	}
	out := make([]int64, 0, len(seen))
	for p := range seen {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}

// pair returns a number that orders by the team's priority and then the route's.
func pair(r Route, t Team) int64 {
	first := t.Priority
	if first < 0 {
		first = r.Priority
	}
	return int64(first)<<32 + int64(min(max(r.Priority, 0), math.MaxInt32))
}

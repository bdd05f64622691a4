package fleet

import (
	"math"
	"slices"
	"strings"

	"guavapaddle/core/apikey"
)

const (
	// LowestUrgency is the rank of the least urgent requests.
	LowestUrgency = 9
	// maxRevokedKeys bounds the revoked keys that a configuration retains.
	maxRevokedKeys = 4096
)

type (
	// Quota is a token bucket that bounds the requests that all nodes together
	// serve for a team. A rate of zero means that there is no limit.
	Quota struct {
		Rate  float64 // units per second
		Burst float64 // size of the bucket, in units
		// CountTokens specifies that the unit is a token of a model instead of a request.
		CountTokens bool
		// DefaultTokens is the number of tokens charged for a request that doesn't specify
		// its token count.
		DefaultTokens int
	}

	// Team is a group of callers with their own API keys.
	Team struct {
		Name string
		// Priority takes precedence over the priority of the routes. 0 is the most
		// urgent; a negative value means that the routes' priorities apply.
		Priority int
		Quota    Quota
	}

	// access determines who may call. The zero value lets everybody call.
	access struct {
		required   bool   // calls need a key, except on public routes
		teams      []Team // sorted by name
		keys       apikey.Index[*Team]
		digests    map[apikey.Digest]bool
		revoked    map[apikey.Digest]bool // keys that an earlier configuration allowed
		priorities []int64                // priority keys of all pairs of a team and a route, sorted
	}

	// TeamKeys is a team and the digests of its keys.
	TeamKeys struct {
		Team
		Keys []apikey.Digest
	}
)

// Cost returns the number of units that a request takes from the quota. counted
// specifies whether the token counts of the request are known.
func (q Quota) Cost(prompt, output int, counted bool) float64 {
	switch {
	case !q.CountTokens:
		return 1
	case !counted:
		return float64(q.DefaultTokens)
	default:
		return float64(prompt) + float64(output)
	}
}

// WithTeams returns a configuration in which only the given teams may call routes
// that aren't public.
func (c *Config) WithTeams(teams []TeamKeys) *Config {
	d := *c
	a := access{required: true, digests: map[apikey.Digest]bool{}}
	for _, m := range teams {
		t := m.Team
		a.teams = append(a.teams, t)
		for _, k := range m.Keys {
			a.keys.Add(k, &t)
			a.digests[k] = true
		}
	}
	slices.SortFunc(a.teams, func(x, y Team) int { return strings.Compare(x.Name, y.Name) })
	a.priorities = c.priorityKeys(a.teams)
	d.access = a
	return &d
}

// WithRevokedSince returns a configuration that retains as revoked the keys that
// old allowed or retained as revoked and that c doesn't allow.
func (c *Config) WithRevokedSince(old *Config) *Config {
	revoked := map[apikey.Digest]bool{}
	for _, keys := range []map[apikey.Digest]bool{old.access.digests, old.access.revoked} {
		for k := range keys {
			if !c.access.digests[k] && len(revoked) < maxRevokedKeys {
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

// KeysRequired reports whether calls need a key, except on public routes.
func (c *Config) KeysRequired() bool { return c.access.required }

// Team returns the team that a key belongs to.
func (c *Config) Team(key apikey.Digest) (Team, bool) {
	t, ok := c.access.keys.Find(key)
	if !ok {
		return Team{}, false
	}
	return *t, true
}

// Revoked reports whether an earlier configuration allowed the key and this one
// doesn't. At most maxRevokedKeys keys are retained.
func (c *Config) Revoked(key apikey.Digest) bool { return c.access.revoked[key] }

// Teams returns all teams sorted by name. The slice must not be changed.
func (c *Config) Teams() []Team { return c.access.teams }

// Urgency returns the rank of a team's requests on a route, from 0 for the most
// urgent to LowestUrgency. Requests are ranked by the team's priority and then by
// the route's. Without a team, the rank is the route's priority.
func (c *Config) Urgency(r Route, t Team) int {
	if t.Name == "" {
		return r.Priority
	}
	rank, _ := slices.BinarySearch(c.access.priorities, priorityKey(r, t))
	return min(rank, LowestUrgency)
}

// priorityKeys returns the distinct priority keys of all pairs of a team and a
// route, sorted.
func (c *Config) priorityKeys(teams []Team) []int64 {
	seen := map[int64]bool{}
	for _, rs := range c.byHost {
		for _, r := range rs {
			for _, t := range teams {
				seen[priorityKey(r, t)] = true
			}
		}
	}
	keys := make([]int64, 0, len(seen))
	for k := range seen {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// priorityKey returns a number that sorts by the team's priority and then by the
// route's. A team without a priority of its own has the route's.
func priorityKey(r Route, t Team) int64 {
	teamPriority := t.Priority
	if teamPriority < 0 {
		teamPriority = r.Priority
	}
	return int64(teamPriority)<<32 + int64(min(max(r.Priority, 0), math.MaxInt32))
}

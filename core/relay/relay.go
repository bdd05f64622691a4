package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultMaxDirect is the default of Sizes.MaxDirect.
	DefaultMaxDirect = 128
	// DefaultFanout is the default of Sizes.Fanout.
	DefaultFanout = 32
)

type (
	// Sizes determines how many relays a fleet has. Zero fields take the defaults.
	Sizes struct {
		MaxDirect int // nodes up to which all of them report to the leader directly
		Fanout    int // nodes for each relay
	}

	// Relay is a node that passes reports and updates on.
	Relay struct {
		Node       string `json:"node"`
		Address    string `json:"address"`
		Key        string `json:"key"` // fingerprint of its certificate
		DataCentre string `json:"data-centre"`
	}

	// Candidate is a node that may become a relay.
	Candidate struct {
		Relay
		Cores float64 // processor cores that the node may use
	}
)

// Count returns how many relays a fleet needs that has the given number of nodes, and has been assigned
// some relays before. Relays are kept until the fleet has shrunk to half of MaxDirect, so that a fleet
// near the limit doesn't change between the two forms.
func (s Sizes) Count(nodes, assigned int) int {
	limit, fanout := cmp.Or(s.MaxDirect, DefaultMaxDirect), cmp.Or(s.Fanout, DefaultFanout)
	if assigned > 0 {
		limit /= 2
	}
	if nodes <= limit {
		return 0
	}
	return max(assigned, (nodes+fanout-1)/fanout)
}

// IsCapable reports whether a node with some processor cores may be a relay of a leader with others: it needs at
// least half as many.
func IsCapable(cores, leaderCores float64) bool { return 2*cores >= leaderCores }

// Capable returns the candidates that may be relays of a leader with the given number of processor cores.
func Capable(list []Candidate, leaderCores float64) []Candidate {
	var out []Candidate
	for _, c := range list {
		if IsCapable(c.Cores, leaderCores) {
			out = append(out, c)
		}
	}
	return out
}

// Assign returns count relays, or as many as there are candidates, sorted by name. Relays that were
// assigned before stay if they are still candidates. nodes is the number of nodes by data centre.
func Assign(list []Candidate, assigned []Relay, nodes map[string]int, count int) []Relay {
	free := make(map[string]Relay, len(list))
	for _, c := range list {
		free[c.Node] = c.Relay
	}
	var out []Relay
	relays := map[string]int{} // by data centre
	use := func(r Relay) {
		out = append(out, r)
		relays[r.DataCentre]++
		delete(free, r.Node)
	}
	for _, r := range assigned {
		if c, ok := free[r.Node]; ok && len(out) < count {
			use(c)
		}
	}
	for len(out) < count && len(free) > 0 {
		use(next(free, relays, nodes))
	}
	slices.SortFunc(out, func(a, b Relay) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// next returns the free candidate in the data centre with the most nodes for each relay, including the one
// to be chosen. Candidates of one data centre are ordered by a hash of their names.
func next(free map[string]Relay, relays, nodes map[string]int) Relay {
	var best Relay
	highest, hash := -1.0, uint64(0)
	for _, c := range free {
		load := float64(nodes[c.DataCentre]) / float64(relays[c.DataCentre]+1)
		if h := xxhash.Sum64String(c.Node); load > highest || load == highest && h > hash {
			best, highest, hash = c, load, h
		}
	}
	return best
}

// Order returns the relays in the order in which a node should use them.
func Order(relays []Relay, node, dataCentre string) []Relay {
	type ranked struct {
		Relay
		remote bool
		hash   uint64
	}
	list := make([]ranked, 0, len(relays))
	for _, r := range relays {
		list = append(list, ranked{r, r.DataCentre != dataCentre, xxhash.Sum64String(node + "/" + r.Node)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.remote != b.remote {
			if b.remote {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.hash, a.hash)
	})
	out := make([]Relay, 0, len(list))
	for _, r := range list {
		out = append(out, r.Relay)
	}
	return out
}

package member

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// neighbours returns the live nodes that this node probes and pushes to. If
// there are few nodes that is all of them. Otherwise each of several rings
// orders the names by another hash, and the successors in them are the
// neighbours: every node has as many as there are rings and is one to as many.
// The slice is shared.
func (s *State) neighbours() []string {
	live := s.liveNames()
	if len(live) <= s.settings.Neighbours {
		return live
	}
	if key := fingerprint(live); key != s.ringKey || s.ring == nil {
		s.ringKey, s.ring = key, successors(s.self.Name, live, s.settings.Neighbours)
	}
	return s.ring
}

// liveNames returns the names of other nodes that are not dead, sorted.
func (s *State) liveNames() []string {
	var out []string
	for _, name := range s.sorted() {
		if s.nodes[name].node.Status <= Suspect {
			out = append(out, name)
		}
	}
	return out
}

// fingerprint returns a hash of names.
func fingerprint(names []string) uint64 {
	h := xxhash.New()
	for _, n := range names {
		_, _ = h.WriteString(n)
		_, _ = h.WriteString("\x00")
	}
	return h.Sum64()
}

// successors returns the next of others after self in each of k rings, sorted
// and each once.
func successors(self string, others []string, k int) []string {
	var out []string
	for ring := range k {
		salt := strconv.Itoa(ring) + "/"
		own := xxhash.Sum64String(salt + self)
		// The least distance going up, around the end.
		next := slices.MinFunc(others, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(salt+a)-own, xxhash.Sum64String(salt+b)-own)
		})
		out = append(out, next)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

package member

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// neighbours returns the live nodes that this node probes and pushes to. With few nodes these are
// all of them. Otherwise several rings order the names by different hashes, and this node's
// successors in the rings are its neighbours, so that every node is in turn the neighbour of as
// many others. The slice is shared.
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

// liveNames returns the sorted names of the other nodes that are not dead.
func (s *State) liveNames() []string {
	var out []string
	for _, name := range s.nodeNames() {
		if s.nodes[name].node.Status <= Suspect {
			out = append(out, name)
		}
	}
	return out
}

// fingerprint returns a hash of a list of names.
func fingerprint(names []string) uint64 {
	h := xxhash.New()
	for _, n := range names {
		_, _ = h.WriteString(n)
		_, _ = h.WriteString("\x00")
	}
	return h.Sum64()
}

// successors returns the node that follows self in each of k rings, sorted and without duplicates.
func successors(self string, others []string, k int) []string {
	var out []string
	for ring := range k {
		salt := strconv.Itoa(ring) + "/"
		position := xxhash.Sum64String(salt + self)
		// The successor has the least clockwise distance; unsigned subtraction wraps around.
		next := slices.MinFunc(others, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(salt+a)-position, xxhash.Sum64String(salt+b)-position)
		})
		out = append(out, next)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

package departure

import (
	"slices"

	"guavapaddle/core/fleet"
)

// maxIncarnations bounds the incarnations that are remembered; the oldest are forgotten first.
const maxIncarnations = 4096

type (
	// Incarnation is one run of a backend server.
	Incarnation struct {
		ID   string
		Born int64 // Unix time of the start in milliseconds, 0 if the server doesn't report it
	}

	// Set is the set of incarnations that have announced that they leave. The zero value is empty.
	Set struct {
		leaving map[Incarnation]bool
		order   []Incarnation // in order of announcement
	}
)

// IncarnationOf returns the incarnation of a server.
func IncarnationOf(s fleet.Server) Incarnation { return Incarnation{ID: s.ID, Born: s.StartedAtMS} }

// Add adds incarnations that leave. It reports whether any of them is new.
func (s *Set) Add(list ...Incarnation) bool {
	added := false
	for _, i := range list {
		if s.leaving[i] {
			continue
		}
		if s.leaving == nil {
			s.leaving = map[Incarnation]bool{}
		}
		if len(s.order) >= maxIncarnations {
			delete(s.leaving, s.order[0])
			s.order = s.order[1:]
		}
		s.leaving[i] = true
		s.order = append(s.order, i)
		added = true
	}
	return added
}

// MarkLeaving returns the servers with Leaving set for those in the set. The list itself isn't
// modified.
func (s *Set) MarkLeaving(list []fleet.Server) []fleet.Server {
	out := list
	for i, v := range list {
		if v.Leaving || !s.leaving[IncarnationOf(v)] {
			continue
		}
		if &out[0] == &list[0] {
			out = slices.Clone(list)
		}
		out[i].Leaving = true
	}
	return out
}

// Undeclared returns those of the servers that have announced that they leave although their store
// entries don't show it.
func (s *Set) Undeclared(list []fleet.Server) []Incarnation {
	var out []Incarnation
	for _, v := range list {
		if !v.Leaving && s.leaving[IncarnationOf(v)] {
			out = append(out, IncarnationOf(v))
		}
	}
	return out
}

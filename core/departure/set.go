package departure

import (
	"slices"

	"guavapaddle/core/fleet"
)

// setMost bounds the incarnations remembered; the oldest are forgotten first.
const setMost = 4096

type (
	// Incarnation is one run of a backend server.
	Incarnation struct {
		ID   string
		Born int64 // Unix time of its start in milliseconds, 0 if it doesn't tell
	}

	// Set is the incarnations that have said that they leave. The zero value is empty.
	Set struct {
		left  map[Incarnation]bool
		order []Incarnation // of their coming
	}
)

// Of returns the incarnation of a server.
func Of(s fleet.Server) Incarnation { return Incarnation{ID: s.ID, Born: s.Born} }

// Add takes in incarnations that leave. It returns whether any of them is new.
func (s *Set) Add(list ...Incarnation) bool {
	added := false
	for _, i := range list {
		if s.left[i] {
			continue
		}
		if s.left == nil {
			s.left = map[Incarnation]bool{}
		}
		if len(s.order) >= setMost {
			delete(s.left, s.order[0])
			s.order = s.order[1:]
		}
		s.left[i] = true
		s.order = append(s.order, i)
		added = true
	}
	return added
}

// Apply returns the servers with those marked as leaving that have said so.
func (s *Set) Apply(list []fleet.Server) []fleet.Server {
	out := list
	for i, v := range list {
		if v.Leaving || !s.left[Of(v)] {
			continue
		}
		if &out[0] == &list[0] {
			out = slices.Clone(list)
		}
		out[i].Leaving = true
	}
	return out
}

// Among returns those of the servers that have said that they leave while their entries
// don't.
func (s *Set) Among(list []fleet.Server) []Incarnation {
	var out []Incarnation
	for _, v := range list {
		if !v.Leaving && s.left[Of(v)] {
			out = append(out, Of(v))
		}
	}
	return out
}

package residency

import (
	"slices"
	"strings"
)

// ModelAt is a model at servers whose software has a version.
type ModelAt struct{ Model, Software string }

// resuming returns the models for which streams wait that must go on at servers of a software version, while no server of that
// version holds the model, will hold it, or has room reserved for it. The ones with the most streams come first.
func (p *planner) resuming() []ModelAt {
	var list []ModelAt
	for m, n := range p.in.Resuming {
		if _, declared := p.in.Engine.Models[m.Model]; n > 0 && declared && !p.hasCopyAt(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b ModelAt) int {
		if x, y := p.in.Resuming[a], p.in.Resuming[b]; x != y {
			return y - x
		}
		if c := strings.Compare(a.Model, b.Model); c != 0 {
			return c
		}
		return strings.Compare(a.Software, b.Software)
	})
	return list
}

// hasCopyAt reports whether a server of the version has a copy of the model, is loading one, or has room reserved for one.
func (p *planner) hasCopyAt(m ModelAt) bool {
	return slices.ContainsFunc(p.in.Servers, func(s Server) bool {
		if s.Software != m.Software || s.Leaving {
			return false
		}
		return s.Loading == m.Model || s.ReservedFor == m.Model || s.Unloading != m.Model && s.Holds(m.Model, "")
	})
}

// resumesAt reports whether streams wait for a model at servers of the version of s.
func (p *planner) resumesAt(s *Server, model string) bool {
	return p.in.Resuming[ModelAt{model, s.Software}] > 0
}

// placeResuming loads the models of streams that can't go on elsewhere, or begins to make room for them. A new copy is worth the slots
// that the waiting streams will take.
func (p *planner) placeResuming() {
	for _, m := range p.resuming() {
		if !p.loadAt(m, Requested) {
			p.makeRoom(m, float64(p.in.Resuming[m]), true)
		}
	}
}

// Unplaceable returns the models of Input.Resuming for which no server of the software version has room or can make any: each place is
// taken by the only copy of a model that can't be evicted.
func Unplaceable(in Input) []ModelAt {
	if len(in.Resuming) == 0 {
		return nil
	}
	p := newPlanner(in)
	return slices.DeleteFunc(p.resuming(), p.mayPlace)
}

// mayPlace reports whether a server of the version has room for the model, or may get it later.
func (p *planner) mayPlace(m ModelAt) bool {
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		if s.Software != m.Software || s.Leaving {
			continue
		}
		if s.Unloading != "" || p.freeMemory(s) >= p.sizes.Of(m.Model) {
			return true
		}
		for _, h := range s.Resident {
			v := p.evictionCandidate(s, h.Model, float64(p.in.Resuming[m]))
			if !v.last || v.worthwhile && p.mayEvictLastCopies(m.Model) {
				return true
			}
		}
	}
	return false
}

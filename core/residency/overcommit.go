package residency

import "time"

const (
	// minLastCopyTime is how long an engine keeps last copies after a change of its
	// contents. A load takes four to nine seconds, and evicting a copy before it has served
	// for as long wastes its load.
	minLastCopyTime = 8 * time.Second
	// starvationDoubling is the time without a copy after which a requested model's load
	// counts twice. It lets all models be served in turn where more models are requested
	// than there are places, with the largest share of time for those with the most
	// requests.
	starvationDoubling = 4 * time.Second
)

// totalPlaces returns a lower bound of the number of models that the engines can hold beside
// a full set of adapters each.
func (p *planner) totalPlaces() int {
	if p.sizes.largest <= 0 {
		return len(p.in.Engine.Models) // models without a size always fit
	}
	perServer := int((p.in.Engine.WeightsMB - p.sizes.Adapters()) / p.sizes.largest)
	n := 0
	for _, s := range p.in.Servers {
		if !s.Leaving {
			n += max(1, perServer)
		}
	}
	return n
}

// mayEvictLastCopy reports whether a server may evict the last copy of a model for another
// one. It never may while there is a place for every declared model, since all of them must
// be reachable at once, and never for a model that nobody requests.
func (p *planner) mayEvictLastCopy(s *Server, wanted string) bool {
	return s.SinceLastMove >= minLastCopyTime && p.mayEvictLastCopies(wanted)
}

// mayEvictLastCopies reports whether last copies may be evicted for a model, on servers that have not changed lately.
func (p *planner) mayEvictLastCopies(wanted string) bool {
	return p.overcommitted && !p.in.LoadAssumed && p.reason(wanted) != Declared
}

// starvedLoad returns the load of a model without a copy, increased by the time for which it
// has been requested. Copies that cost less are evicted for it.
func (p *planner) starvedLoad(model string) float64 {
	return p.in.Load[model] * (1 + float64(p.in.Starved[model])/float64(starvationDoubling))
}

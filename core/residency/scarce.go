package residency

import "time"

const (
	// stay is how long an engine that has changed what it holds keeps a model's last
	// copy: a load takes four to nine seconds, and a copy that goes before it has served
	// for as long was loaded for nothing.
	stay = 8 * time.Second
	// patience is the time without a copy in which the claim of a model that is asked
	// for doubles, so that all get their turn where more models are asked for than
	// there are places, and those with the most requests the most of it.
	patience = 4 * time.Second
)

// places returns how many models the engines hold at least, beside a full set of
// adapters each.
func (p *planner) places() int {
	if p.sizes.largest <= 0 {
		return len(p.in.Engine.Models) // which take nothing
	}
	each := int((p.in.Engine.WeightsMB - p.sizes.Adapters()) / p.sizes.largest)
	n := 0
	for _, s := range p.in.Servers {
		if !s.Leaving {
			n += max(1, each)
		}
	}
	return n
}

// yields tells whether a server may give up the last copy of a model for another one.
// As long as there is a place for each declared model none does: all have to be reached
// at once. Nor does any for a model that nobody asks for.
func (p *planner) yields(s *Server, wanted string) bool {
	return p.scarce && !p.in.Supposed && s.Settled >= stay && p.why(wanted) != Declared
}

// claim returns the load up to which copies make room for a model without one.
func (p *planner) claim(model string) float64 {
	return p.in.Load[model] * (1 + float64(p.in.Starved[model])/float64(patience))
}

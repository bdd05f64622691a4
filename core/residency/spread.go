package residency

const (
	// evenEnough is how much of the load of the engine that a copy leaves the one
	// that it goes to may have afterwards, so that none moves to and fro.
	evenEnough = 0.8
	// spreadAtOnce bounds the engines that wait for the other model of a swap to
	// one in so many.
	spreadAtOnce = 6
)

// spread moves copies of busy models from engines that hold several of them to
// engines that hold only last copies of others, by a swap: the busy copy is
// unloaded, the last copy is loaded in its place, and can then be given up where
// it was. With 131 models and 180 places a quarter of the engines had last copies
// of quiet models only and one request a second, while others had 28. Each swap takes
// two loads of seconds: with demand, that cost more than it gained (0.720 of worth
// without, 0.703 with it, on the mean of five days).
func (p *planner) spread() {
	kept := 0
	for i := range p.in.Servers {
		if p.in.Servers[i].Kept != "" {
			kept++
		}
	}
	used := map[*Server]bool{}
	for ; kept < max(1, len(p.in.Servers)/spreadAtOnce); kept++ {
		to := p.idlest(used)
		if to == nil {
			return
		}
		used[to] = true
		from, busy := p.crowded(to)
		if from == nil {
			return
		}
		quiet, ok := p.quietest(to, from)
		if !ok {
			continue
		}
		from.Kept, from.KeptWhy = quiet, Spread
		p.unload(from, busy, Spread, quiet)
	}
}

// idlest returns the engine with the least load of those that hold only last
// copies and have no room for the smallest model, and that weren't used yet.
func (p *planner) idlest(used map[*Server]bool) *Server {
	var best *Server
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		if used[s] || !p.open(s) || !p.onlyLastBeside(s, "") || p.room(s) >= p.sizes.Smallest() {
			continue
		}
		if best == nil || p.shared(s) < p.shared(best) {
			best = s
		}
	}
	return best
}

// crowded returns the engine with the most load from which a copy would go to
// another one with profit, and the copy's model.
func (p *planner) crowded(to *Server) (*Server, string) {
	var best *Server
	var model string
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		if !p.open(s) || best != nil && p.shared(s) <= p.shared(best) {
			continue
		}
		if m, ok := p.movable(s, to); ok {
			best, model = s, m
		}
	}
	return best, model
}

// movable returns the model with the most load for a copy that may go from one
// engine to another so that the first keeps at least as much as the other gets,
// nearly.
func (p *planner) movable(from, to *Server) (string, bool) {
	var model string
	most := worthACopy
	for _, h := range from.Held {
		n := p.copies[h.Model]
		if n < 2 || p.anywhere[h.Model] < 2 || to.Holds(h.Model, "") {
			continue
		}
		load := p.in.Load[h.Model] / float64(n)
		if load > most && p.shared(from)-load >= evenEnough*(p.shared(to)+load) {
			model, most = h.Model, load
		}
	}
	return model, model != ""
}

// quietest returns the model with the least load of an engine that another one
// doesn't hold.
func (p *planner) quietest(of, without *Server) (string, bool) {
	var model string
	for _, h := range of.Held {
		if without.Holds(h.Model, "") {
			continue
		}
		if model == "" || p.in.Load[h.Model] < p.in.Load[model] {
			model = h.Model
		}
	}
	return model, model != ""
}

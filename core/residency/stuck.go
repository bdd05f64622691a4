package residency

// An engine is stuck if it is full of last copies: none of them may go, so that no busy
// model can come to it, and its slots serve the few requests for what it holds, while
// other engines are full.

// lastAt tells whether a model has one copy at most.
func (p *planner) lastAt(model string) bool { return p.copies[model] <= 1 }

// stuckWith tells whether a server is stuck once it has loaded a model that has no copy.
func (p *planner) stuckWith(s *Server, model string) bool {
	return p.copies[model] == 0 && p.room(s) < p.sizes.Of(model)+p.sizes.Smallest() && p.onlyLastBeside(s, "")
}

// stuckWithout tells whether a server is stuck once a copy there has made room for
// another model, or the server that holds the only other copy is.
func (p *planner) stuckWithout(s *Server, victim, wanted string) bool {
	if p.copies[wanted] == 0 && p.onlyLastBeside(s, victim) {
		return true
	}
	if p.copies[victim] != 2 {
		return false
	}
	for _, o := range p.holders[victim] {
		if o != s && p.room(o) < p.sizes.Smallest() && p.onlyLastBeside(o, victim) {
			return true
		}
	}
	return false
}

// onlyLastBeside tells whether all copies of a server but one are last ones.
func (p *planner) onlyLastBeside(s *Server, model string) bool {
	for _, h := range s.Held {
		if h.Model != model && !p.lastAt(h.Model) {
			return false
		}
	}
	return true
}

package residency

// An engine is stuck if it is full of last copies. None of them may be evicted, so no busy
// model can be loaded there, and its slots serve only the few requests for its models while
// other engines are at capacity.

// isLastCopy reports whether a model has at most one copy.
func (p *planner) isLastCopy(model string) bool { return p.copies[model] <= 1 }

// stuckAfterLoad reports whether loading a model without a copy would leave the server
// stuck.
func (p *planner) stuckAfterLoad(s *Server, model string) bool {
	return p.copies[model] == 0 && p.freeMemory(s) < p.sizes.Of(model)+p.sizes.Smallest() && p.onlyLastCopiesExcept(s, "")
}

// stuckAfterEviction reports whether evicting a copy for another model would leave the
// server stuck, or the server that holds the only other copy of the evicted model.
func (p *planner) stuckAfterEviction(s *Server, victim, wanted string) bool {
	if p.copies[wanted] == 0 && p.onlyLastCopiesExcept(s, victim) {
		return true
	}
	if p.copies[victim] != 2 {
		return false
	}
	for _, o := range p.serversByModel[victim] {
		if o != s && p.freeMemory(o) < p.sizes.Smallest() && p.onlyLastCopiesExcept(o, victim) {
			return true
		}
	}
	return false
}

// onlyLastCopiesExcept reports whether all copies on a server, except that of the given
// model, are last copies.
func (p *planner) onlyLastCopiesExcept(s *Server, model string) bool {
	for _, h := range s.Resident {
		if h.Model != model && !p.isLastCopy(h.Model) {
			return false
		}
	}
	return true
}

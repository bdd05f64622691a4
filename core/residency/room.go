package residency

// victim is a copy that may make room.
type victim struct {
	server *Server
	model  string
	cost   float64 // load that each copy that is left gets then
	beside float64 // load of the other models there
	pays   bool    // it is worth less than the new copy
	from   int     // where the new copy is loaded from
}

// makeRoom unloads a copy of a model that has another one. What is missed of it
// is the load for each copy that is left.
func (p *planner) makeRoom(model string, least float64, must bool) bool {
	if p.moving >= max(1, len(p.in.Servers)/movesAtOnce) {
		return false
	}
	var best victim
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		if !p.free(s) || s.Leaving || s.Kept != "" || s.Holds(model, "") {
			continue
		}
		shared := p.shared(s)
		for _, h := range s.Held {
			n := p.copies[h.Model]
			if n < 2 || p.anywhere[h.Model] < 2 {
				continue
			}
			if source(s, model) == fromStore && p.queued >= max(1, p.in.Stores) {
				continue
			}
			c := p.in.Load[h.Model] / float64(n-1)
			pays := c*Gain <= least
			if !pays && !must {
				continue
			}
			v := victim{server: s, model: h.Model, cost: c, pays: pays, from: source(s, model),
				beside: shared - p.in.Load[h.Model]/float64(n)}
			if best.server == nil || v.before(best) {
				best = v
			}
		}
	}
	if best.server == nil {
		return false
	}
	best.server.Kept, best.server.KeptWhy = model, Room
	if best.from == fromStore {
		p.queued++
	}
	p.unload(best.server, best.model, Room, model)
	return true
}

// before tells whether a victim is better than another: one that is worth less
// than what it makes room for, then where that is loaded sooner, then the one
// that is missed least, then the one beside the least other load. A model that was
// in use before is on the disks of the engines that held it, and there 0.8 s after
// its demand returns, not 4.2 s.
func (v victim) before(o victim) bool {
	switch {
	case v.pays != o.pays:
		return v.pays
	case v.pays && v.from != o.from:
		return v.from < o.from
	case v.cost != o.cost:
		return v.cost < o.cost
	case v.beside != o.beside:
		return v.beside < o.beside
	default:
		return v.from < o.from
	}
}

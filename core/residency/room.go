package residency

// victim is a copy that may make room.
type victim struct {
	server *Server
	model  string
	cost   float64 // load that each copy that is left gets then
	beside float64 // load of the other models there
	pays   bool    // it is worth less than the new copy
	last   bool    // its model has no other
	stuck  bool    // an engine holds last copies only then
	from   int     // where the new copy is loaded from
}

// makeRoom unloads a copy of a model that has another one, or, where models outnumber
// places, a last one. What is missed of it is the load for each copy that is left, or
// all of its load.
func (p *planner) makeRoom(model string, least float64, must bool) bool {
	if p.moving >= max(1, len(p.in.Servers)/movesAtOnce) {
		return false
	}
	var best victim
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		if !p.open(s) || s.Holds(model, "") {
			continue
		}
		from := source(s, model)
		if from == fromStore && p.queued >= max(1, p.in.Stores) {
			continue
		}
		for _, h := range s.Held {
			v := p.victim(s, h.Model, least)
			if !v.pays && (v.last || !must) || v.last && !p.yields(s, model) {
				continue
			}
			v.stuck = p.stuckWithout(s, h.Model, model)
			v.from, v.beside = from, p.shared(s)-p.in.Load[h.Model]/float64(max(1, p.copies[h.Model]))
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

// victim returns what it costs to give up a model's copy at a server.
func (p *planner) victim(s *Server, model string, least float64) victim {
	n := p.copies[model]
	last := n < 2 || p.anywhere[model] < 2
	if !last {
		n--
	}
	cost := p.in.Load[model] / float64(max(1, n))
	return victim{server: s, model: model, cost: cost, pays: cost*Gain <= least, last: last}
}

// before tells whether a victim is better than another: one that is worth less
// than what it makes room for, then one whose model has another copy, then where what
// needs the room is loaded sooner, then one after which no engine is stuck, then the
// one that is missed least, then the one beside the least other load. A model that was
// in use before is on the disks of the engines that held it, and there 0.8 s after
// its demand returns, not 4.2 s.
func (v victim) before(o victim) bool {
	switch {
	case v.pays != o.pays:
		return v.pays
	case v.last != o.last:
		return o.last
	case v.pays && v.from != o.from:
		return v.from < o.from
	case v.stuck != o.stuck:
		return o.stuck
	case v.cost != o.cost:
		return v.cost < o.cost
	case v.beside != o.beside:
		return v.beside < o.beside
	default:
		return v.from < o.from
	}
}

package residency

// evictionCandidate is a copy that may be evicted to make room.
type evictionCandidate struct {
	server      *Server
	model       string
	cost        float64 // load per remaining copy after the eviction
	otherLoad   float64 // load of the other models on the server
	worthwhile  bool    // the new copy is worth more than the evicted one
	last        bool    // no other copy of the model remains
	leavesStuck bool    // an engine holds only last copies afterwards
	source      int     // where the new copy would be loaded from
}

// makeRoom evicts a copy of a model that has another copy or, where there are more models
// than places, a last copy. The cost of an eviction is the resulting load per remaining
// copy, or the whole load of the model for a last copy; an eviction is worthwhile if its
// cost times MinGain is at most newCopyLoad, the load credited to the new copy. If
// required is set, a copy that is not a last one may be evicted even if that is not
// worthwhile. If the model is to be at a software version, only servers of that version are considered. makeRoom reports
// whether room is being made.
func (p *planner) makeRoom(m ModelAt, newCopyLoad float64, required bool) bool {
	model := m.Model
	if p.moving >= max(1, len(p.in.Servers)/serversPerMove) {
		return false
	}
	var best evictionCandidate
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		if !p.available(s) || s.Holds(model, "") || m.Software != "" && s.Software != m.Software {
			continue
		}
		source := loadSource(s, model)
		if source == fromStore && p.reservedFromStore >= max(1, p.in.StoreLoads) {
			continue
		}
		for _, h := range s.Resident {
			v := p.evictionCandidate(s, h.Model, newCopyLoad)
			if !v.worthwhile && (v.last || !required) || v.last && !p.mayEvictLastCopy(s, model) {
				continue
			}
			v.leavesStuck = p.stuckAfterEviction(s, h.Model, model)
			v.source, v.otherLoad = source, p.serverLoad(s)-p.in.Load[h.Model]/float64(max(1, p.copies[h.Model]))
			if best.server == nil || v.better(best) {
				best = v
			}
		}
	}
	if best.server == nil {
		return false
	}
	best.server.ReservedFor, best.server.ReservedReason = model, MakeRoom
	if best.source == fromStore {
		p.reservedFromStore++
	}
	p.unload(best.server, best.model, MakeRoom, model)
	return true
}

// evictionCandidate returns the cost of evicting a model's copy from a server.
func (p *planner) evictionCandidate(s *Server, model string, newCopyLoad float64) evictionCandidate {
	n := p.copies[model]
	last := n < 2 || p.serving[model] < 2
	if !last {
		n--
	}
	cost := p.in.Load[model] / float64(max(1, n))
	return evictionCandidate{server: s, model: model, cost: cost, worthwhile: cost*MinGain <= newCopyLoad, last: last}
}

// better reports whether evicting v is preferable to evicting o: first a copy worth less
// than the new one, then one whose model has another copy, then the server with the faster
// source for the new model, then one that leaves no engine stuck, then the lowest cost, then
// the lowest load of other models on the server. Preferring the faster source helps models
// that were in use before: they are on the disks of the engines that held them and load
// there within 0.8 s after their demand returns, instead of 4.2 s.
func (v evictionCandidate) better(o evictionCandidate) bool {
	switch {
	case v.worthwhile != o.worthwhile:
		return v.worthwhile
	case v.last != o.last:
		return o.last
	case v.worthwhile && v.source != o.source:
		return v.source < o.source
	case v.leavesStuck != o.leavesStuck:
		return o.leavesStuck
	case v.cost != o.cost:
		return v.cost < o.cost
	case v.otherLoad != o.otherLoad:
		return v.otherLoad < o.otherLoad
	default:
		return v.source < o.source
	}
}

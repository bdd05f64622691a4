package residency

// localLoadAdvantage is the factor by which the load per copy of the model that room is
// reserved for must exceed that of a model in memory or on disk there, for the room to stay
// reserved until the weight store can load it. A load from the store takes 8.6 s, one from
// disk 1.7 s, and demand shifts every 8 s. Of 2, 4 and 10 none is clearly better: they
// reached 0.620, 0.625 and 0.628 of the total request value with nine engines (means of 25
// simulated runs), and 2 and 10 reached 0.659 and 0.646 with 112 engines (three runs).
const localLoadAdvantage = 4.0

// reviewReservations releases the reserved room of models that no longer need it, and counts
// the copies that the remaining reservations are for. Room that waits for the weight store
// must not be refilled with the copy that was evicted to make it: such copies came back from
// host memory within half a second and were unloaded again, and a model with 50 requests a
// second stayed at one copy for 14 s while 20 of 112 engines were idle.
func (p *planner) reviewReservations() {
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		if s.ReservedFor == "" || s.ReservedReason != MakeRoom {
			continue
		}
		if !p.needsCopy(s.ReservedFor) && !p.resumesAt(s, s.ReservedFor) {
			s.ReservedFor, s.ReservedReason = "", ""
			continue
		}
		if s.Loading != s.ReservedFor {
			p.addReserved(s, 1)
		}
	}
}

// addReserved changes the number of copies that room is reserved for, by delta for the model
// of a server's reservation.
func (p *planner) addReserved(s *Server, delta int) {
	p.reserved[s.ReservedFor] += delta
	if loadSource(s, s.ReservedFor) == fromStore {
		p.reservedFromStore += delta
	}
}

// loadPerCopyWithOneMore returns the load per copy that a model would have with one more
// copy.
func (p *planner) loadPerCopyWithOneMore(model string, copies int) float64 {
	return p.in.Load[model] / float64(copies+1)
}

// needsCopy reports whether a model needs a further copy.
func (p *planner) needsCopy(model string) bool {
	if _, ok := p.in.Engine.Models[model]; !ok {
		return false
	}
	n := p.copies[model]
	return n == 0 || p.loadPerCopyWithOneMore(model, n) >= minLoadPerCopy
}

// loadReserved orders loads into reserved room.
func (p *planner) loadReserved() {
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		m, declared := p.in.Engine.Models[s.ReservedFor]
		if !declared || !p.idle(s) || s.Leaving || s.Holds(s.ReservedFor, "") || p.freeMemory(s) < m.MB {
			continue
		}
		if s.ReservedReason != MakeRoom {
			p.orderLoad(s, s.ReservedFor, s.ReservedReason)
			continue
		}
		model := p.modelForReservation(s)
		if p.orderLoad(s, model, p.reason(model)) {
			p.addReserved(s, -1)
		}
	}
}

// modelForReservation returns the model to load into reserved room: the one that the room
// was made for, or the model in memory or on disk there with the highest load per copy if
// that is at least 1/localLoadAdvantage of the former's. The model that was evicted to make
// the room is excluded, and a model without a copy, or one for which streams wait that can't go on elsewhere, always gets the room
// made for it.
func (p *planner) modelForReservation(s *Server) string {
	if loadSource(s, s.ReservedFor) != fromStore || p.copies[s.ReservedFor] == 0 || p.resumesAt(s, s.ReservedFor) {
		return s.ReservedFor
	}
	minLoad := p.loadPerCopyWithOneMore(s.ReservedFor, p.copies[s.ReservedFor]) / localLoadAdvantage
	best := s.ReservedFor
	for m := range p.in.Engine.Models {
		if loadSource(s, m) == fromStore || s.Holds(m, "") || m == s.Evicted {
			continue
		}
		if l := p.loadPerCopyWithOneMore(m, p.copies[m]); l > minLoad || l == minLoad && m < best {
			best, minLoad = m, l
		}
	}
	return best
}

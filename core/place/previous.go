package place

// placePrevious repeats the loads that the previous plan proposed and that have not started,
// if they are still justified and fit.
func (p *Gain) placePrevious(s *state) {
	for j := range s.servers {
		for _, item := range s.in.Previous[s.servers[j].Name] {
			i, ok := s.byItem[item]
			if !ok || s.items[i].superseded || s.holds(j, i) {
				continue
			}
			reason, gain, justified := p.stillJustified(s, i, j)
			if !justified {
				continue
			}
			evict, _, fits := p.planEvictions(s, j, i)
			if !fits || reason == OneDataCentre && len(evict) > 0 {
				continue
			}
			s.evict(candidate{server: j, evict: evict})
			s.load(j, i, reason, gain)
			if reason == NetGain {
				s.pendingLoads++
			}
		}
	}
}

// stillJustified reports whether a copy of an item on server j is required, or its gain over
// the horizon exceeds half the price of a move; a new proposal must exceed the full price.
func (p *Gain) stillJustified(s *state, item, j int) (reason Reason, gain float64, justified bool) {
	i := &s.items[item]
	switch n := s.validCopies(item); {
	case n == 0:
		return Unreachable, 0, true
	case n < i.minCopies:
		return BelowMinCopies, 0, true
	case s.inOneDataCentre(item) && s.newDataCentre(j, item):
		return OneDataCentre, 0, true
	}
	gain = p.gain(i, p.overloadShare(s, i), s.headroom(j, p.Target))
	return NetGain, gain, 2*gain*p.Horizon.Seconds() > s.in.Placement.MovePrice
}

// proposedServer returns the server for which the previous plan proposed an item that it
// does not hold yet, or -1 if there is none.
func (s *state) proposedServer(item int) int {
	for j := range s.servers {
		if s.holds(j, item) {
			continue
		}
		for _, i := range s.in.Previous[s.servers[j].Name] {
			if i == s.items[item].item {
				return j
			}
		}
	}
	return -1
}

package place

// placePrevious proposes again what the previous plan proposed and no server
// has begun to load, if it is still wanted and fits.
func (p *Gain) placePrevious(s *state) {
	for j := range s.servers {
		for _, item := range s.in.Previous[s.servers[j].Name] {
			i, ok := s.byItem[item]
			if !ok || s.items[i].retired || s.holds(j, i) {
				continue
			}
			why, gain, wanted := p.stillWanted(s, i, j)
			if !wanted {
				continue
			}
			evict, _, fits := p.evictions(s, j, i)
			if !fits || why == OneDataCentre && len(evict) > 0 {
				continue
			}
			s.evict(candidate{server: j, evict: evict})
			s.load(j, i, why, gain)
			if why == Gained {
				s.pending++
			}
		}
	}
}

// stillWanted tells whether a copy of an item on server j is required, or gains
// half the price of a move or more.
func (p *Gain) stillWanted(s *state, item, j int) (why Why, gain float64, wanted bool) {
	i := &s.items[item]
	switch n := s.sound(item); {
	case n == 0:
		return Unreachable, 0, true
	case n < i.minCopies:
		return TooFew, 0, true
	case s.oneDataCentre(item) && s.freshDataCentre(j, item):
		return OneDataCentre, 0, true
	}
	gain = p.gain(i, p.overload(s, i), s.headroom(j, p.Target))
	return Gained, gain, 2*gain*p.Horizon.Seconds() > s.in.Placement.MovePrice
}

// pendingOn returns the server on which the previous plan proposed an item that
// the server does not hold yet, -1 if there is none.
func (s *state) pendingOn(item int) int {
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

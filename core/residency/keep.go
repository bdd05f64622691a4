package residency

// atHandGain is how many times the load for a copy of the model that room was made
// for must be that of one which is in memory or on disk there, for the room to wait
// for the weight store. Such a load takes 8.6 s, one from disk 1.7 s; demand moves
// every 8 s. Of 2, 4 and 10 none stood out (0.620, 0.625 and 0.628 of worth, mean of
// 25 days with nine engines; 0.659 for 2 and 0.646 for 10, three days with 112).
const atHandGain = 4.0

// keep gives up room that was made for a model that no longer needs it, and counts
// the copies that the rest of it is for. Room that waits for the weight store
// must not be filled with the copy that has just made it: such copies came back from
// memory within half a second and were unloaded again, and a model for which 50
// requests a second came stayed at one copy for 14 s beside 20 idle engines of 112.
func (p *planner) keep() {
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		if s.Kept == "" {
			continue
		}
		if s.KeptWhy == Room && !p.wanted(s.Kept) {
			s.Kept, s.KeptWhy = "", ""
			continue
		}
		if s.KeptWhy == Room && s.Coming != s.Kept {
			p.promised[s.Kept]++
			if source(s, s.Kept) == fromStore {
				p.queued++
			}
		}
	}
}

// wanted tells whether a model needs a further copy.
func (p *planner) wanted(model string) bool {
	if _, ok := p.in.Engine.Models[model]; !ok {
		return false
	}
	n := p.copies[model]
	return n == 0 || p.in.Load[model]/float64(n+1) >= worthACopy
}

// fillKept loads into the room that was made.
func (p *planner) fillKept() {
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		m, declared := p.in.Engine.Models[s.Kept]
		if !declared || !p.free(s) || s.Leaving || s.Holds(s.Kept, "") || p.room(s) < m.MB {
			continue
		}
		why := s.KeptWhy
		model := s.Kept
		if why == Room {
			model = p.atHand(s)
			why = p.why(model)
		}
		if p.begin(s, model, why) && s.KeptWhy == Room {
			p.promised[s.Kept]--
			if source(s, s.Kept) == fromStore {
				p.queued--
			}
		}
	}
}

// atHand returns the model to load into kept room: the one that it was made for, or
// a model that comes from memory or disk and is needed nearly as much. The model
// whose copy made the room isn't.
func (p *planner) atHand(s *Server) string {
	if source(s, s.Kept) != fromStore || p.copies[s.Kept] == 0 {
		return s.Kept
	}
	least := p.in.Load[s.Kept] / float64(p.copies[s.Kept]+1) / atHandGain
	best := s.Kept
	for m := range p.in.Engine.Models {
		if source(s, m) == fromStore || s.Holds(m, "") || m == s.Victim {
			continue
		}
		if l := p.in.Load[m] / float64(p.copies[m]+1); l > least || l == least && m < best {
			best, least = m, l
		}
	}
	return best
}

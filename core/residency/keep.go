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
		if s.Kept == "" || s.KeptWhy != Room {
			continue
		}
		if !p.wanted(s.Kept) {
			s.Kept, s.KeptWhy = "", ""
			continue
		}
		if s.Coming != s.Kept {
			p.promise(s, 1)
		}
	}
}

// promise counts one copy more, or one less, that a server's room is kept for.
func (p *planner) promise(s *Server, by int) {
	p.promised[s.Kept] += by
	if source(s, s.Kept) == fromStore {
		p.queued += by
	}
}

// withOneMore returns the load for each copy of a model if it had one more.
func (p *planner) withOneMore(model string, copies int) float64 {
	return p.in.Load[model] / float64(copies+1)
}

// wanted tells whether a model needs a further copy.
func (p *planner) wanted(model string) bool {
	if _, ok := p.in.Engine.Models[model]; !ok {
		return false
	}
	n := p.copies[model]
	return n == 0 || p.withOneMore(model, n) >= worthACopy
}

// fillKept loads into the room that was made.
func (p *planner) fillKept() {
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		m, declared := p.in.Engine.Models[s.Kept]
		if !declared || !p.free(s) || s.Leaving || s.Holds(s.Kept, "") || p.room(s) < m.MB {
			continue
		}
		if s.KeptWhy != Room {
			p.begin(s, s.Kept, s.KeptWhy)
			continue
		}
		model := p.atHand(s)
		if p.begin(s, model, p.why(model)) {
			p.promise(s, -1)
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
	least := p.withOneMore(s.Kept, p.copies[s.Kept]) / atHandGain
	best := s.Kept
	for m := range p.in.Engine.Models {
		if source(s, m) == fromStore || s.Holds(m, "") || m == s.Victim {
			continue
		}
		if l := p.withOneMore(m, p.copies[m]); l > least || l == least && m < best {
			best, least = m, l
		}
	}
	return best
}

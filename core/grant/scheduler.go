package grant

import (
	"sort"
	"time"

	"guavapaddle/core/balance"
)

// Default settings.
const (
	// Tokens is the default bound of prompt tokens at an engine.
	Tokens = 2000
	// Part is the default part of an engine's slots that running streams may
	// take.
	Part = 0.85
)

type (
	// Settings of a Scheduler. Zero fields take the defaults.
	Settings struct {
		Tokens int     // prompt tokens that an engine may have unread
		Part   float64 // of an engine's slots
	}

	// Request is a request that waits to begin.
	Request struct {
		ID       uint64
		Pick     balance.Request
		Priority int       // 0 is the most urgent
		Target   time.Time // when it should have begun
		Expire   time.Time // when it must have begun, or is refused
	}

	// Decision is the end of a wait.
	Decision struct {
		ID      uint64
		Granted bool
		Choice  balance.Choice
		Why     balance.Why   // of a refusal
		After   time.Duration // when a refused client may come back
	}

	// Scheduler decides for all requests.
	Scheduler struct {
		settings Settings
		picture  *balance.Picture
		waiting  []Request
		granted  map[uint64]*balance.Ticket
		lacking  []Item
	}

	// Item is a model, or an adapter of it, of a service.
	Item struct{ Service, Model, Adapter string }
)

// New returns a scheduler that decides by a picture, which it changes.
func New(p *balance.Picture, s Settings) *Scheduler {
	if s.Tokens == 0 {
		s.Tokens = Tokens
	}
	if s.Part == 0 {
		s.Part = Part
	}
	return &Scheduler{settings: s, picture: p, granted: map[uint64]*balance.Ticket{}}
}

// Offer adds a request. Next decides about it.
func (s *Scheduler) Offer(r Request) { s.waiting = append(s.waiting, r) }

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Release ends a grant, or takes a request that still waits back. The result
// tells how the send went.
func (s *Scheduler) Release(now time.Time, id uint64, r balance.Result) {
	if t, ok := s.granted[id]; ok {
		delete(s.granted, id)
		if r == balance.Good {
			s.picture.First(now, t)
		}
		s.picture.Done(now, t, r)
		return
	}
	for i, r := range s.waiting {
		if r.ID == id {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// Lacking returns what no server holds of what requests waited for when Next
// was called last, an entry for each of them or each kind of them.
func (s *Scheduler) Lacking() []Item { return s.lacking }

// Next decides about all requests that can be decided about now.
func (s *Scheduler) Next(now time.Time) []Decision {
	if len(s.waiting) == 0 {
		s.lacking = s.lacking[:0]
		return nil
	}
	sort.SliceStable(s.waiting, func(i, j int) bool {
		a, b := s.waiting[i], s.waiting[j]
		if x, y := now.After(a.Target), now.After(b.Target); x != y {
			return y
		}
		return a.Priority < b.Priority
	})
	var out []Decision
	full := map[Item]balance.Why{}
	s.lacking = s.lacking[:0]
	kept := s.waiting[:0]
	for _, r := range s.waiting {
		d, ok := s.decide(now, r, full)
		if !ok {
			kept = append(kept, r)
			continue
		}
		out = append(out, d)
	}
	s.waiting = kept
	return out
}

// decide grants or refuses one request, or leaves it waiting.
func (s *Scheduler) decide(now time.Time, r Request, full map[Item]balance.Why) (Decision, bool) {
	w := Item{r.Pick.Service, r.Pick.Model, r.Pick.Adapter}
	why, tried := full[w]
	if !tried || len(r.Pick.Exclude) > 0 {
		var c balance.Choice
		if c, why = s.picture.PickRoom(now, r.Pick, s.settings.Tokens, s.settings.Part); why == balance.Picked {
			s.granted[r.ID] = s.picture.Sent(now, c.Server.ID, r.Pick)
			return Decision{ID: r.ID, Granted: true, Choice: c}, true
		}
		if len(r.Pick.Exclude) == 0 {
			full[w] = why
		}
		switch why {
		case balance.NoAdapter:
			s.lacking = append(s.lacking, w)
		case balance.NoModel:
			s.lacking = append(s.lacking, Item{Service: w.Service, Model: w.Model})
		}
	}
	if now.Before(r.Expire) {
		return Decision{}, false
	}
	return Decision{ID: r.ID, Why: why, After: time.Second}, true
}

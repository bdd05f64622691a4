package grant

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/throttle"
)

// Default settings.
const (
	// Tokens is the default bound of prompt tokens at an engine.
	Tokens = 2000
	// Part is the default part of an engine's slots that requests may take. All of
	// them, since each is counted from its grant to its end; what nodes begin
	// without the scheduler comes in digests.
	Part = 1.0
)

type (
	// Settings of a Scheduler. Zero fields take the defaults.
	Settings struct {
		Tokens int     // prompt tokens that an engine may have unread
		Part   float64 // of an engine's slots
	}

	// Item is a model, or an adapter of it, of a service.
	Item struct{ Service, Model, Adapter string }

	// Request is a request that waits to begin.
	Request struct {
		ID       uint64
		Since    time.Time // when it came first; it keeps its turn when it comes again
		Pick     balance.Request
		Priority int       // 0 is the most urgent
		Greedy   bool      // its team has used much of its quota of late, and lets others of the same priority go first
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
		groups   map[Item]*group
		models   map[Item][]*group // the groups of a model and its adapters, by the model
		look     map[*group]bool   // groups that may have a place now
		items    map[uint64]Item   // of waiting requests
		granted  map[uint64]held
		rates    map[Item]*rates
	}

	// held is a grant that wasn't released yet.
	held struct {
		server string
		ticket *balance.Ticket
		at     time.Time
	}
)

// New returns a scheduler that decides by a picture, which it changes.
func New(p *balance.Picture, s Settings) *Scheduler {
	if s.Tokens == 0 {
		s.Tokens = Tokens
	}
	if s.Part == 0 {
		s.Part = Part
	}
	return &Scheduler{settings: s, picture: p, groups: map[Item]*group{}, models: map[Item][]*group{}, look: map[*group]bool{},
		items: map[uint64]Item{}, granted: map[uint64]held{}, rates: map[Item]*rates{}}
}

// Offer adds a request. Next decides about it.
func (s *Scheduler) Offer(r Request) {
	i := Item{r.Pick.Service, r.Pick.Model, r.Pick.Adapter}
	g := s.groups[i]
	if g == nil {
		g = &group{item: i}
		s.groups[i] = g
		s.models[i.model()] = append(s.models[i.model()], g)
	}
	g.fresh = insert(g.fresh, r)
	s.items[r.ID] = i
	s.look[g] = true
}

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int { return len(s.items) }

// Lacking returns how many requests wait for each item that no server holds;
// for a model that none holds the adapter is left empty.
func (s *Scheduler) Lacking() map[Item]int {
	out := map[Item]int{}
	for _, g := range s.groups {
		n := g.waiting()
		switch {
		case n == 0:
		case g.why == balance.NoAdapter:
			out[g.item] += n
		case g.why == balance.NoModel:
			out[Item{Service: g.item.Service, Model: g.item.Model}] += n
		}
	}
	return out
}

// Begun notes that the engine has read the prompt of a request that was granted:
// its tokens are free, and it takes a slot until Release.
func (s *Scheduler) Begun(now time.Time, id uint64) {
	if h, ok := s.granted[id]; ok {
		s.picture.First(now, h.ticket)
		s.freed(now, h.server)
	}
}

// Release ends a grant, or takes a request that still waits back. The result
// tells how the send went.
func (s *Scheduler) Release(now time.Time, id uint64, r balance.Result) {
	if h, ok := s.granted[id]; ok {
		delete(s.granted, id)
		if r == balance.Good {
			s.picture.First(now, h.ticket)
		}
		s.picture.Done(now, h.ticket, r)
		s.freed(now, h.server)
		return
	}
	i, ok := s.items[id]
	if !ok {
		return
	}
	delete(s.items, id)
	g := s.groups[i]
	g.fresh = without(g.fresh, id)
	g.late = without(g.late, id)
	s.tidy(g)
}

// tidy forgets a group in which nothing waits.
func (s *Scheduler) tidy(g *group) {
	if g.waiting() == 0 {
		delete(s.groups, g.item)
		delete(s.look, g)
		m := g.item.model()
		if s.models[m] = slices.DeleteFunc(s.models[m], func(o *group) bool { return o == g }); len(s.models[m]) == 0 {
			delete(s.models, m)
		}
	}
}

// model returns the item without its adapter.
func (i Item) model() Item { return Item{Service: i.Service, Model: i.Model} }

// freed has the groups looked at that a server with room may serve.
func (s *Scheduler) freed(now time.Time, server string) {
	if len(s.groups) == 0 {
		return
	}
	f, _ := s.picture.Server(server)
	for m := range s.picture.Models(server) {
		for _, g := range s.models[Item{Service: f.Service, Model: m}] {
			if s.picture.Holds(now, server, g.item.Model, g.item.Adapter) {
				s.look[g] = true
			}
		}
	}
}

// Changed has all groups looked at, since servers or what they hold changed.
func (s *Scheduler) Changed() {
	for _, g := range s.groups {
		s.look[g] = true
	}
}

// LearnLimit takes in what the server of a granted request said of the rate that it takes, nil
// if it named none.
func (s *Scheduler) LearnLimit(now time.Time, id uint64, perSecond *float64) {
	h, ok := s.granted[id]
	if !ok {
		return
	}
	l := throttle.Withdrawn(h.at)
	if perSecond != nil {
		l = throttle.Named(now, *perSecond)
	}
	if s.picture.LearnLimit(h.server, l) {
		s.freed(now, h.server)
	}
}

// shareLimits divides what servers with a named rate may get among the groups that wait for
// nothing else, by how many requests wait in each.
func (s *Scheduler) shareLimits(now time.Time) {
	waiting := map[string]int{}
	limits := map[*group]map[string]float64{}
	for _, g := range s.groups {
		if g.why == balance.Limited && g.waiting() > 0 {
			limits[g] = s.picture.Limits(now, g.head().Pick)
			for id := range limits[g] {
				waiting[id] += g.waiting()
			}
		}
	}
	for g, rates := range limits {
		g.limit = 0
		for id, perSecond := range rates {
			g.limit += perSecond * float64(g.waiting()) / float64(waiting[id])
		}
	}
}

// Tick puts requests behind that can't begin within their target any more, and
// returns refusals of those that must have begun by now. It has all groups
// looked at.
func (s *Scheduler) Tick(now time.Time) []Decision {
	var out []Decision
	s.shareLimits(now)
	for _, g := range s.groups {
		v := s.rate(now, g.item)
		fresh := g.fresh[:0]
		for _, r := range g.fresh {
			if now.After(r.Target) {
				g.late = insert(g.late, r)
				continue
			}
			if after, ok := v.doomed(now, g, r, len(fresh), len(g.late)); ok {
				v.sawRefusal(now)
				out = s.refuse(out, g, r, after)
				continue
			}
			fresh = append(fresh, r)
		}
		g.fresh = fresh
		if len(g.late) > 0 {
			v.sawLate(now)
		}
		late := g.late[:0]
		for _, r := range g.late {
			if after, ok := v.hopeless(now, g, r, len(g.fresh), len(late)); ok {
				v.sawRefusal(now)
				out = s.refuse(out, g, r, after)
				continue
			}
			late = append(late, r)
		}
		g.late = late
		s.look[g] = true
		s.tidy(g)
	}
	return out
}

// refuse ends the wait of a request.
func (s *Scheduler) refuse(out []Decision, g *group, r Request, after time.Duration) []Decision {
	delete(s.items, r.ID)
	return append(out, Decision{ID: r.ID, Why: g.why, After: after})
}

// rate returns the rates of an item.
func (s *Scheduler) rate(now time.Time, i Item) *rates {
	v := s.rates[i]
	if v == nil {
		v = &rates{all: rate{first: now, since: now}}
		s.rates[i] = v
	}
	return v
}

// Next grants all places that there are now, the most urgent request's first.
func (s *Scheduler) Next(now time.Time) []Decision {
	if len(s.look) == 0 {
		return nil
	}
	var out []Decision
	queue := &urgency{now: now, groups: slices.Collect(maps.Keys(s.look))}
	heap.Init(queue)
	for queue.Len() > 0 {
		g := queue.groups[0]
		r := *g.head()
		c, why := s.picture.PickRoom(now, r.Pick, s.settings.Tokens, s.settings.Part)
		g.why = why
		if why == balance.NoServer && len(r.Pick.Exclude) > 0 {
			// Nothing is left for it, and others of its group must not wait behind it.
			out = s.refuse(out, g, r, apart(r, comeBackLeast))
			s.next(queue, g)
			continue
		}
		if why != balance.Picked {
			delete(s.look, g)
			heap.Pop(queue)
			continue
		}
		s.granted[r.ID] = held{server: c.Server.ID, ticket: s.picture.Sent(now, c.Server.ID, r.Pick), at: now}
		out = append(out, Decision{ID: r.ID, Granted: true, Choice: c})
		delete(s.items, r.ID)
		v := s.rate(now, g.item)
		v.all.count(now)
		if len(g.fresh) == 0 {
			v.late.count(now)
		}
		s.next(queue, g)
	}
	return out
}

// next takes off the head of the first group of a queue.
func (s *Scheduler) next(queue *urgency, g *group) {
	g.pop()
	if g.waiting() > 0 {
		heap.Fix(queue, 0)
		return
	}
	heap.Pop(queue)
	s.tidy(g)
}

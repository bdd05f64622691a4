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
	// Part is the default part of an engine's slots that requests may take. All of
	// them, since each is counted from its grant to its end; what nodes begin
	// without the scheduler comes in digests.
	Part = 1.0
	// comeBack is when a refused client may come back where the queue doesn't
	// tell: a model may be loaded by then.
	comeBack = time.Second
	// comeBackLeast and comeBackMost bound what the queue tells: a client that
	// comes back sooner meets the same queue, one that comes later may have no
	// time left.
	comeBackLeast = 400 * time.Millisecond
	comeBackMost  = 4 * time.Second
	// rateWindow is over which the grants for an item are counted.
	rateWindow = time.Second
	// rateLeast is how many grants in it tell a rate.
	rateLeast = 3
	// lateLeast is how long requests that are late must have been seen before it
	// is known how many of them still begin.
	lateLeast = 600 * time.Millisecond
	// lateHope is added to the late requests that begin in a second, since none
	// in one second doesn't mean none in the next: with 0, requests of a calm day
	// were refused in bursts that passed (refused 0.7 in 100 against 0.3).
	lateHope = 1.0
	// dueWithin is how long before its target a request is due. Until then it lets
	// others go first that would become late: batches with a target of seconds,
	// which come in bursts of four times their usual number for three seconds.
	dueWithin = time.Second
	// lateGap is how long there may be none in between.
	lateGap = 200 * time.Millisecond
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
		ID       uint64 // rises with the time of arrival
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
		groups   map[Item]*group
		look     map[*group]bool // groups that may have a place now
		items    map[uint64]Item // of waiting requests
		granted  map[uint64]held
		rates    map[Item]*rates
	}

	// held is a grant that wasn't released yet.
	held struct {
		server string
		ticket *balance.Ticket
	}

	// group is the requests for one item that wait, each list by urgency and
	// arrival.
	group struct {
		item  Item
		fresh []Request // can still begin within their target
		late  []Request
		why   balance.Why // of the last look
	}

	// rate counts the grants for an item.
	rate struct {
		first  time.Time // begin of the first window of a row of them
		since  time.Time // begin of the present window
		now    int       // in it
		before int       // in the one before
	}

	// rates counts the grants for an item and those of them that went to requests
	// that were late.
	rates struct {
		all      rate
		late     rate
		lateFrom time.Time // since when there were late ones all the time
		lateSeen time.Time // when there were some last
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
	return &Scheduler{settings: s, picture: p, groups: map[Item]*group{}, look: map[*group]bool{},
		items: map[uint64]Item{}, granted: map[uint64]held{}, rates: map[Item]*rates{}}
}

// Offer adds a request. Next decides about it.
func (s *Scheduler) Offer(r Request) {
	i := Item{r.Pick.Service, r.Pick.Model, r.Pick.Adapter}
	g := s.groups[i]
	if g == nil {
		g = &group{item: i}
		s.groups[i] = g
	}
	g.fresh = insert(g.fresh, r)
	s.items[r.ID] = i
	s.look[g] = true
}

// insert keeps a list in order.
func insert(list []Request, r Request) []Request {
	i := sort.Search(len(list), func(i int) bool { return before(r, list[i]) })
	list = append(list, Request{})
	copy(list[i+1:], list[i:])
	list[i] = r
	return list
}

// before orders requests by urgency and arrival.
func before(a, b Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.ID < b.ID
}

// Waiting returns the number of requests that wait.
func (s *Scheduler) Waiting() int { return len(s.items) }

// Lacking returns how many requests wait for each item that no server holds;
// for a model that none holds the adapter is left empty.
func (s *Scheduler) Lacking() map[Item]int {
	out := map[Item]int{}
	for _, g := range s.groups {
		n := len(g.fresh) + len(g.late)
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

// without takes a request out of a list.
func without(list []Request, id uint64) []Request {
	for i, r := range list {
		if r.ID == id {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// tidy forgets a group in which nothing waits.
func (s *Scheduler) tidy(g *group) {
	if len(g.fresh)+len(g.late) == 0 {
		delete(s.groups, g.item)
		delete(s.look, g)
	}
}

// freed has the groups looked at that a server with room may serve.
func (s *Scheduler) freed(now time.Time, server string) {
	for _, g := range s.groups {
		if s.picture.Holds(now, server, g.item.Model, g.item.Adapter) {
			s.look[g] = true
		}
	}
}

// Changed has all groups looked at, since servers or what they hold changed.
func (s *Scheduler) Changed() {
	for _, g := range s.groups {
		s.look[g] = true
	}
}

// Tick puts requests behind that can't begin within their target any more, and
// returns refusals of those that must have begun by now. It has all groups
// looked at.
func (s *Scheduler) Tick(now time.Time) []Decision {
	var out []Decision
	for _, g := range s.groups {
		v := s.rate(now, g.item)
		fresh := g.fresh[:0]
		for _, r := range g.fresh {
			if now.After(r.Target) {
				g.late = insert(g.late, r)
				continue
			}
			if after, ok := v.doomed(now, g, r, len(fresh), len(g.late)); ok {
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

// doomed tells whether a request that isn't late yet will be, and won't begin
// then either.
func (v *rates) doomed(now time.Time, g *group, r Request, fresh, late int) (time.Duration, bool) {
	perSecond, known := v.all.get(now)
	if g.why != balance.Busy || !known || after(fresh, perSecond) <= r.Target.Sub(now) {
		return 0, false
	}
	return v.hopeless(now, g, r, fresh, late)
}

// hopeless tells whether a request behind so many others won't begin before it
// expires, by the rate at which its item was granted of late, and when its
// client may come back. Requests that are late begin only as fast as others of
// them did. To refuse it at once is better for its caller than to hold it until
// it expires.
func (v *rates) hopeless(now time.Time, g *group, r Request, fresh, late int) (time.Duration, bool) {
	if now.After(r.Expire) {
		return comeBack, true
	}
	perSecond, known := v.all.get(now)
	if g.why != balance.Busy || !known {
		return 0, false
	}
	wait := after(fresh+late, perSecond)
	back := min(max(wait, comeBackLeast), comeBackMost)
	if now.Sub(v.lateFrom) >= lateLeast && now.Sub(v.lateSeen) <= lateGap {
		rest, _ := v.late.get(now)
		wait = max(wait, after(late, rest+lateHope))
	}
	return back, wait > r.Expire.Sub(now)
}

// after returns when a request behind so many others begins at a rate.
func after(ahead int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Hour
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

// sawLate notes that requests are late.
func (v *rates) sawLate(now time.Time) {
	if now.Sub(v.lateSeen) > lateGap {
		v.lateFrom, v.late = now, rate{first: now, since: now}
	}
	v.lateSeen = now
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

// count notes a grant.
func (v *rate) count(now time.Time) {
	v.roll(now)
	v.now++
}

// roll begins a new window if the present one has passed.
func (v *rate) roll(now time.Time) {
	switch age := now.Sub(v.since); {
	case age >= 2*rateWindow:
		v.first, v.since, v.now, v.before = now, now, 0, 0
	case age >= rateWindow:
		v.since, v.now, v.before = v.since.Add(rateWindow), 0, v.now
	}
}

// get returns the grants a second of late, if there were enough to tell.
func (v *rate) get(now time.Time) (float64, bool) {
	v.roll(now)
	part := float64(now.Sub(v.since)) / float64(rateWindow)
	n := float64(v.now) + float64(v.before)*(1-part)
	if n == 0 {
		return 0, false
	}
	span := min(rateWindow, now.Sub(v.first))
	return n / span.Seconds(), n >= rateLeast && span >= rateWindow/4
}

// Next grants all places that there are now.
func (s *Scheduler) Next(now time.Time) []Decision {
	var out []Decision
	for len(s.look) > 0 {
		g := s.first(now)
		r := g.head()
		c, why := s.picture.PickRoom(now, r.Pick, s.settings.Tokens, s.settings.Part)
		g.why = why
		if why != balance.Picked {
			delete(s.look, g)
			continue
		}
		s.granted[r.ID] = held{server: c.Server.ID, ticket: s.picture.Sent(now, c.Server.ID, r.Pick)}
		out = append(out, Decision{ID: r.ID, Granted: true, Choice: c})
		delete(s.items, r.ID)
		s.rate(now, g.item).all.count(now)
		if len(g.fresh) == 0 {
			s.rate(now, g.item).late.count(now)
		}
		g.pop()
		s.tidy(g)
	}
	return out
}

// first returns the group to look at whose head is the most urgent.
func (s *Scheduler) first(now time.Time) *group {
	var best *group
	for g := range s.look {
		if best == nil || g.urgent(now, best) {
			best = g
		}
	}
	return best
}

// urgent tells whether a group's head goes before another's.
func (g *group) urgent(now time.Time, o *group) bool {
	if a, b := g.rank(now), o.rank(now); a != b {
		return a < b
	}
	return before(g.head(), o.head())
}

// rank returns where a group's head stands whatever its priority: first what is
// due, then what can wait without becoming late, then what is late.
func (g *group) rank(now time.Time) int {
	switch {
	case len(g.fresh) == 0:
		return 2
	case g.fresh[0].Target.Sub(now) > dueWithin:
		return 1
	default:
		return 0
	}
}

// head returns the request of a group that goes first.
func (g *group) head() Request {
	if len(g.fresh) > 0 {
		return g.fresh[0]
	}
	return g.late[0]
}

// pop takes the head off.
func (g *group) pop() {
	if len(g.fresh) > 0 {
		g.fresh = g.fresh[1:]
		return
	}
	g.late = g.late[1:]
}

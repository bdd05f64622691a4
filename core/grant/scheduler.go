package grant

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/throttle"
	"guavapaddle/core/turns"
)

// Default settings.
const (
	// DefaultMaxUnreadTokens is the default limit of unread prompt tokens at an engine.
	DefaultMaxUnreadTokens = 2000
	// DefaultSlotFraction is the default fraction of an engine's slots that granted requests may
	// take. It is 1 because each request is counted from its grant to its end, and requests that
	// nodes start without the scheduler are counted in load reports.
	DefaultSlotFraction = 1.0
)

type (
	// Settings configures a Scheduler. Zero fields take the defaults.
	Settings struct {
		MaxUnreadTokens int     // limit of unread prompt tokens at an engine
		SlotFraction    float64 // fraction of an engine's slots that may be taken
	}

	// Item is a model of a service, or one of the model's adapters, at servers whose software has a version, or any if
	// that is empty.
	Item struct{ Service, Model, Adapter, Software string }

	// Scheduler grants the requests of all nodes.
	Scheduler struct {
		settings Settings
		picker   *balance.Picker
		groups   map[groupKey]*group
		models   map[Item][]*group // the groups of a model and its adapters, by model
		marked   map[*group]bool   // groups whose head may be granted now
		missing  map[*group]bool   // groups whose item no server holds
		// unplaceable holds the models that no server of a software version holds or has a place for.
		unplaceable map[Item]bool
		waiting     map[uint64]*group // groups of the waiting requests, by request
		granted     map[uint64]activeGrant
		rates       map[rateKey]*rates
		reserve     reserve
		teams       teams
		calendar    turns.Calendar[rateKey]
	}

	// rateKey identifies requests whose grants are counted together.
	rateKey struct {
		item  Item
		class Class
	}

	// activeGrant is a grant that has not been released.
	activeGrant struct {
		server string
		ticket *balance.Ticket
		at     time.Time
		key    rateKey
	}
)

// New returns a scheduler that picks servers by p and updates p with its grants.
func New(p *balance.Picker, s Settings) *Scheduler {
	if s.MaxUnreadTokens == 0 {
		s.MaxUnreadTokens = DefaultMaxUnreadTokens
	}
	if s.SlotFraction == 0 {
		s.SlotFraction = DefaultSlotFraction
	}
	return &Scheduler{settings: s, picker: p, groups: map[groupKey]*group{}, models: map[Item][]*group{}, marked: map[*group]bool{}, missing: map[*group]bool{},
		waiting: map[uint64]*group{}, granted: map[uint64]activeGrant{}, rates: map[rateKey]*rates{}}
}

// Enqueue adds a request. Next decides about it.
func (s *Scheduler) Enqueue(r Request) {
	k := r.groupKey()
	g := s.groups[k]
	if g == nil {
		g = &group{key: k, item: k.item}
		s.groups[k] = g
		s.models[k.item.model()] = append(s.models[k.item.model()], g)
	}
	now := r.ArrivedAt
	r, late := s.claimTurn(g, r)
	if r.Class == Urgent {
		s.reserve.meter.Arrived(now, r.Pick.Service, r.Pick.Model)
		r.overUsual = s.teams.arrived(now, r.Team) && r.turn != turns.Kept
		if r.ID%raisedEvery == 0 {
			r.Priority = 0
		}
	}
	if late {
		g.late = insert(g.late, r)
	} else {
		g.onTime = insert(g.onTime, r)
	}
	s.waiting[r.ID] = g
	s.marked[g] = true
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// WaitingByMissingItem returns the number of waiting requests for each item that no server holds.
// If no server holds the model, the adapter is left empty.
func (s *Scheduler) WaitingByMissingItem() map[Item]int {
	out := map[Item]int{}
	for g := range s.missing {
		i := g.item
		if g.reason == balance.NoModel {
			i.Adapter = ""
		}
		out[i] += g.waiting()
	}
	return out
}

// PrefillDone records that the engine has read the prompt of a granted request. This frees its prompt
// tokens; the slot stays taken until Release.
func (s *Scheduler) PrefillDone(now time.Time, id uint64) {
	if h, ok := s.granted[id]; ok {
		s.picker.FirstByte(now, h.ticket)
		s.markServer(now, h.server)
	}
}

// RecordLoad records the load that the server of a granted request reported with its response, or the time between the
// events of the response.
func (s *Scheduler) RecordLoad(now time.Time, id uint64, l balance.LoadReport) {
	h, ok := s.granted[id]
	switch {
	case !ok:
	case l.Event > 0:
		s.picker.RecordEvents(now, h.ticket, l)
	default:
		s.picker.RecordLoad(now, h.server, l)
	}
}

// Release ends a grant, or withdraws a request that still waits. The result is how the request at
// the server ended.
func (s *Scheduler) Release(now time.Time, id uint64, r balance.Result) {
	if h, ok := s.granted[id]; ok {
		delete(s.granted, id)
		s.reserve.ended(now, h, r)
		if r == balance.Succeeded {
			s.picker.FirstByte(now, h.ticket)
			s.rate(now, h.key).addSlotTime(now.Sub(h.at))
		}
		s.picker.RecordDone(now, h.ticket, r)
		s.markServer(now, h.server)
		return
	}
	g, ok := s.waiting[id]
	if !ok {
		return
	}
	delete(s.waiting, id)
	g.onTime = remove(g.onTime, id)
	g.late = remove(g.late, id)
	s.removeIfEmpty(g)
}

// removeIfEmpty removes a group in which no request waits.
func (s *Scheduler) removeIfEmpty(g *group) {
	if g.waiting() == 0 {
		delete(s.groups, g.key)
		delete(s.marked, g)
		delete(s.missing, g)
		m := g.item.model()
		if s.models[m] = slices.DeleteFunc(s.models[m], func(o *group) bool { return o == g }); len(s.models[m]) == 0 {
			delete(s.models, m)
		}
	}
}

// model returns the model of the item, at servers of any version.
func (i Item) model() Item { return Item{Service: i.Service, Model: i.Model} }

// modelAt returns the item without its adapter.
func (i Item) modelAt() Item { return Item{Service: i.Service, Model: i.Model, Software: i.Software} }

// markServer marks the groups for the next attempt that a server with new capacity may serve.
func (s *Scheduler) markServer(now time.Time, server string) {
	if len(s.groups) == 0 {
		return
	}
	f, _ := s.picker.Server(server)
	for _, g := range s.models[Item{Service: f.Service}] { // requests to plain services
		s.marked[g] = true
	}
	for m := range s.picker.ResidentModels(server) {
		for _, g := range s.models[Item{Service: f.Service, Model: m}] {
			if s.picker.Holds(now, server, g.item.Model, g.item.Adapter) {
				s.marked[g] = true
			}
		}
	}
}

// Invalidate marks all groups for the next attempt, after servers or their residency changed. Deferrable requests that wait
// for room are tried at a later Tick.
func (s *Scheduler) Invalidate() {
	s.reserve.changes++
	for _, g := range s.groups {
		if g.key.class != Deferrable || g.reason != balance.Busy {
			s.marked[g] = true
		}
	}
}

// LearnLimit records the rate limit that the server of a granted request named, in requests per
// second; perSecond is nil if it named none.
func (s *Scheduler) LearnLimit(now time.Time, id uint64, perSecond *float64) {
	h, ok := s.granted[id]
	if !ok {
		return
	}
	l := throttle.NoLimit(h.at)
	if perSecond != nil {
		l = throttle.NewLimit(now, *perSecond)
	}
	if known, ok := s.picker.Limit(h.server); ok {
		l = l.WithBrittlenessOf(known) // nodes report it apart from rates
	}
	if s.picker.LearnLimit(h.server, l) {
		s.markServer(now, h.server)
	}
}

// shareLimits divides the rates of servers with a rate limit among the groups that are waiting only
// for a rate limit, in proportion to the number of their waiting requests.
func (s *Scheduler) shareLimits(now time.Time) {
	waiting := map[string]int{}
	limits := map[*group]map[string]float64{}
	for _, g := range s.groups {
		if g.reason == balance.Limited && g.waiting() > 0 {
			limits[g] = s.picker.Limits(now, g.head().Pick)
			for id := range limits[g] {
				waiting[id] += g.waiting()
			}
		}
	}
	for g, rates := range limits {
		g.limitRate = 0
		for id, perSecond := range rates {
			g.limitRate += perSecond * float64(g.waiting()) / float64(waiting[id])
		}
	}
}

// Tick moves requests that missed their target behind the others and returns refusals for those
// that won't start before their deadline. It marks all groups for the next attempt.
func (s *Scheduler) Tick(now time.Time) []Decision {
	var out []Decision
	s.shareLimits(now)
	for _, g := range s.groups {
		if g.key.class == Deferrable {
			out = s.tickDeferrable(now, g, out)
			continue
		}
		v := s.rate(now, g.rateKey())
		onTime := g.onTime[:0]
		for _, r := range g.onTime {
			if now.After(r.TargetStart) {
				g.late = insert(g.late, r)
				continue
			}
			if retryAfter, ok := v.willMissTarget(now, g, r, len(onTime), len(g.late)); ok {
				v.recordRefusal(now)
				out = s.refuse(now, out, g, r, retryAfter)
				continue
			}
			onTime = append(onTime, r)
		}
		g.onTime = onTime
		if len(g.late) > 0 {
			v.recordLate(now)
		}
		late := g.late[:0]
		for _, r := range g.late {
			if retryAfter, ok := v.willExpire(now, g, r, len(g.onTime), len(late)); ok {
				v.recordRefusal(now)
				out = s.refuse(now, out, g, r, retryAfter)
				continue
			}
			late = append(late, r)
		}
		g.late = late
		s.marked[g] = true
		s.removeIfEmpty(g)
	}
	return out
}

// refuse ends the wait of a request with a refusal.
func (s *Scheduler) refuse(now time.Time, out []Decision, g *group, r Request, retryAfter time.Duration) []Decision {
	delete(s.waiting, r.ID)
	d := Decision{ID: r.ID, Reason: g.reason, Turn: r.turn, Reserve: g.reserve, OverUsual: r.overUsual}
	d.RetryAfter, d.Promised = s.promiseTurn(now, g, r, retryAfter)
	return append(out, d)
}

// rate returns the rates of requests, which it creates if necessary.
func (s *Scheduler) rate(now time.Time, k rateKey) *rates {
	v := s.rates[k]
	if v == nil {
		v = &rates{all: rate{seriesStart: now, windowStart: now}}
		s.rates[k] = v
	}
	return v
}

// Next grants requests as long as there is capacity, the most urgent first.
func (s *Scheduler) Next(now time.Time) []Decision {
	if len(s.marked) == 0 {
		return nil
	}
	var out []Decision
	queue := &groupQueue{groups: slices.Collect(maps.Keys(s.marked))}
	for _, g := range queue.groups {
		g.openTaken = false
		g.headRank = g.rank(now)
	}
	heap.Init(queue)
	for queue.Len() > 0 {
		g := queue.groups[0]
		r := *g.head()
		b := s.bounds(now, g)
		c, reason := s.picker.PickWithin(now, r.Pick, b)
		g.reason, g.triedAt = reason, now
		if reason == balance.NoModel || reason == balance.NoAdapter {
			s.missing[g] = true
		} else {
			delete(s.missing, g)
		}
		if s.isFinal(now, reason, r) {
			// No server is left for this request. Refuse it so that the others of its group don't
			// wait behind it.
			out = s.refuse(now, out, g, r, jitter(r, minRetryAfter))
			s.advance(now, queue, g)
			continue
		}
		if reason == balance.Busy && g.headRank == rankCatchUp {
			g.openTaken = true
			g.headRank = g.rank(now)
			heap.Fix(queue, 0)
			continue
		}
		if reason != balance.Picked {
			delete(s.marked, g)
			heap.Pop(queue)
			continue
		}
		if b.Reserved != nil {
			g.reserve = b.Reserved(c.Server.ID)
		}
		grant := activeGrant{server: c.Server.ID, ticket: s.picker.RecordSent(now, c.Server.ID, r.Pick), at: now, key: g.rateKey()}
		s.granted[r.ID] = grant
		s.reserve.began(grant)
		out = append(out, Decision{ID: r.ID, Granted: true, Selection: c, Turn: r.turn, Reserve: g.reserve, OverUsual: r.overUsual})
		delete(s.waiting, r.ID)
		v := s.rate(now, g.rateKey())
		v.all.count(now)
		if len(g.onTime) == 0 {
			v.late.count(now)
		}
		s.advance(now, queue, g)
	}
	return out
}

// SetUnplaceable sets the models that no server of a software version holds or has a place for. Requests that need one are refused.
func (s *Scheduler) SetUnplaceable(items map[Item]bool) {
	s.unplaceable = items
	for g := range s.missing {
		if items[g.item.modelAt()] {
			s.marked[g] = true
		}
	}
}

// isFinal reports whether a request for which no server was picked needn't wait for one.
func (s *Scheduler) isFinal(now time.Time, reason balance.Reason, r Request) bool {
	switch reason {
	case balance.NoServer:
		return len(r.Pick.Exclude) > 0 && !r.awaitsCopy(now)
	case balance.NoVersion:
		return true
	case balance.NoModel:
		return r.Pick.Software != "" && s.unplaceable[r.item().modelAt()]
	}
	return false
}

// awaitsCopy reports whether a request that excludes all holders of its model can wait for another one: a deferrable
// request until its deadline, an urgent one as long as it can start within its target.
func (r *Request) awaitsCopy(now time.Time) bool {
	switch r.Class {
	case Deferrable:
		return !now.After(r.Deadline)
	case Urgent:
		return !now.After(r.TargetStart)
	default:
		return false
	}
}

// advance removes the head of the first group of a queue.
func (s *Scheduler) advance(now time.Time, queue *groupQueue, g *group) {
	g.pop()
	if g.waiting() > 0 {
		g.headRank = g.rank(now)
		heap.Fix(queue, 0)
		return
	}
	heap.Pop(queue)
	s.removeIfEmpty(g)
}

// Package granter runs the scheduler of core/grant at the node that holds the
// lease: it takes requests for a place from all nodes, answers each when it is
// decided, and has adapters loaded that no engine holds.
//
// # Usage
//
//	g := &granter.Granter{Log: log, Adapter: placer.Want}
//	g.Reset()                                   // when the lease is won
//	d, place, err := g.Place(ctx, request, func() {})
//	place.Begun()                               // with the first byte of the answer
//	place.Done(balance.Succeeded)               // with the last
package granter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/core/grant"
	"guavapaddle/core/quota"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
)

const (
	// Tick is how often waiting requests are looked at without a cause, for those
	// that expire.
	Tick = 50 * time.Millisecond

	// deputyRatePart is the part of the rates that servers name which a deputy grants. The
	// holder, which it can't reach, may be granting all of them to other nodes, and servers
	// bear half as many requests again.
	deputyRatePart = 0.5

	// limitedLife is how long a model counts as one whose servers take no more requests
	// after one of its requests was refused for that reason.
	limitedLife = 3 * time.Second
)

// OverQuota means that a request's team has spent its quota.
const OverQuota balance.Reason = "quota"

type (
	// Granter decides about places. Its exported fields are set before the first
	// call. It is safe for concurrent use.
	Granter struct {
		Log      *zap.Logger
		Settings grant.Settings
		Adapter  func(ctx context.Context, w hub.Want) hub.Offer // has an adapter loaded
		Counts   func() map[string]balance.Count                 // what all nodes have, nil for nobody
		Limits   func() []hub.Limit                              // what servers said of their rates, nil for nobody
		// Tolerance is how far the use of a quota may go over.
		Tolerance quota.Tolerance

		mu       sync.Mutex
		picture  *balance.Picker
		schedule *grant.Scheduler
		servers  []fleet.Server
		teams    []fleet.Team
		ledger   quota.Ledger
		next     uint64
		waiters  map[uint64]waiter
		fetching map[hub.Item]bool
		limited  map[string]time.Time // when a model's servers last took no more requests
		reset    chan struct{}        // closed by the next Reset
	}

	waiter struct {
		place   hub.Place
		since   time.Time
		ahead   int // requests that waited when it came
		decided chan grant.Decision
	}
)

// Reset forgets all grants, as a node that wins the lease must, and ends all waits. The
// rates that servers have named bind on: what waits is offered anew at once.
func (g *Granter) Reset() { g.begin(1) }

// ResetAsDeputy is Reset of a node that grants in place of a holder that it can't reach.
func (g *Granter) ResetAsDeputy() { g.begin(deputyRatePart) }

// begin forgets all grants. From now on a part of the rates that servers name is granted.
func (g *Granter) begin(ratePart float64) {
	var limits []hub.Limit
	if g.Limits != nil {
		limits = g.Limits()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reset != nil {
		close(g.reset)
	}
	g.reset = make(chan struct{})
	g.picture = balance.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	g.picture.SetRateFraction(ratePart)
	g.picture.Update(g.servers)
	g.learnLimits(limits)
	g.schedule = grant.New(g.picture, g.Settings)
	g.waiters = map[uint64]waiter{}
	g.fetching = map[hub.Item]bool{}
	g.limited = map[string]time.Time{}
	g.ledger = quota.Ledger{Tolerance: g.Tolerance}
	g.ledger.Reset(time.Now(), g.teams)
}

// Servers takes in the list of backend servers.
func (g *Granter) Servers(list []fleet.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers = list
	if g.picture == nil {
		return
	}
	g.picture.Update(list)
	g.schedule.Invalidate()
	g.decide()
}

// Run looks after the requests that wait, and at what nodes began by themselves, until
// ctx ends.
func (g *Granter) Run(ctx context.Context) {
	t := time.NewTicker(Tick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if g.Counts != nil {
				g.Running(g.Counts())
			}
			g.tick()
		case <-ctx.Done():
			return
		}
	}
}

// tick refuses what has waited too long and looks at all that waits.
func (g *Granter) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.schedule == nil || g.schedule.Waiting() == 0 {
		return
	}
	g.tell(g.schedule.Tick(time.Now()))
	g.decide()
	g.lacking()
}

// Note overlays what a server holds.
func (g *Granter) Note(n hub.Note) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.picture == nil {
		return
	}
	g.picture.SetResidency(time.Now(), n.Server, n.Model, n.Adapter, n.Held)
	g.schedule.Invalidate()
	g.decide()
}

// LearnLimits takes in what servers said to another node of the rates that they take.
func (g *Granter) LearnLimits(list []hub.Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.picture == nil {
		return
	}
	if g.learnLimits(list) {
		g.schedule.Invalidate()
	}
	g.decide()
}

// learnLimits takes in what servers said of their rates, and returns whether that changes any;
// g.mu is held.
func (g *Granter) learnLimits(list []hub.Limit) bool {
	changed := false
	now := time.Now()
	for _, l := range list {
		changed = g.picture.LearnLimit(l.Server, l.Said(now)) || changed
	}
	return changed
}

// Running takes in how many streams all nodes have at each server. Those whose
// places this granter has granted are known already.
func (g *Granter) Running(counts map[string]balance.Count) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.picture == nil {
		return
	}
	running := make(map[string]balance.Count, len(counts))
	for id, c := range counts {
		running[id] = balance.Count{Running: c.Running - c.Granted}
	}
	g.picture.SetRemoteCounts(time.Now(), running)
	g.decide()
}

// Place waits until a request gets a place or is refused, and calls queued if
// that isn't decided at once.
func (g *Granter) Place(ctx context.Context, p hub.Place, queued func()) (grant.Decision, hub.Grant, error) {
	w := waiter{place: p, since: time.Now(), decided: make(chan grant.Decision, 1)}
	g.mu.Lock()
	if g.schedule == nil {
		g.mu.Unlock()
		return grant.Decision{}, nil, context.Canceled
	}
	g.next++
	id := g.next
	now := time.Now()
	for _, s := range p.Lacks {
		g.picture.SetResidency(now, s, p.Model, p.Adapter, false)
	}
	if ok, after := g.ledger.Charge(now, p.Charge.Team, p.Charge.Cost); !ok {
		g.mu.Unlock()
		d := grant.Decision{Reason: OverQuota, RetryAfter: after}
		w.log(g.Log, d)
		return d, &place{g, id}, nil
	}
	w.ahead = g.schedule.Waiting()
	g.waiters[id] = w
	g.schedule.Enqueue(grant.Request{ID: id, Pick: p.Pick(), Priority: p.Priority, OverShare: g.ledger.OverShare(now, p.Charge.Team), ArrivedAt: now.Add(-p.Waited),
		TargetStart: now.Add(p.Target), Deadline: now.Add(p.Expire)})
	g.decide()
	g.lacking()
	reset := g.reset
	g.mu.Unlock()
	if len(w.decided) == 0 {
		queued()
	}
	select {
	case d := <-w.decided:
		if !d.Granted {
			g.refund(p.Charge)
		}
		w.log(g.Log, d)
		return d, &place{g, id}, nil
	case <-reset:
		return grant.Decision{}, nil, context.Canceled
	case <-ctx.Done():
		g.refund(p.Charge)
		g.release(id, balance.Abandoned)
		return grant.Decision{}, nil, ctx.Err()
	}
}

// log tells how a wait ended and by what.
func (w waiter) log(log *zap.Logger, d grant.Decision) {
	log.Info("place", zap.String("request-id", w.place.Request), zap.Bool("granted", d.Granted), zap.String("why", string(d.Reason)),
		zap.String("server", d.Selection.Server.ID), zap.String("model", w.place.Model), zap.String("adapter", w.place.Adapter),
		zap.Int("priority", w.place.Priority), zap.Int("tokens", w.place.Tokens), zap.Int("ahead", w.ahead),
		zap.Duration("estimate", d.Selection.Wait), zap.Duration("age", d.Selection.Age), zap.Duration("waited", time.Since(w.since)),
		zap.Duration("come-back", d.RetryAfter), zap.String("team", w.place.Charge.Team), zap.Float64("charge", w.place.Charge.Cost))
}

// place is a grant.
type place struct {
	g  *Granter
	id uint64
}

// NamedRate implements hub.Grant.
func (p *place) NamedRate(perSecond *float64) {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.schedule.LearnLimit(time.Now(), p.id, perSecond)
	p.g.decide()
}

// Begun implements hub.Grant.
func (p *place) Begun() {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.g.schedule.PrefillDone(time.Now(), p.id)
	p.g.decide()
}

// Done implements hub.Grant.
func (p *place) Done(r balance.Result) { p.g.release(p.id, r) }

// release ends a grant or a wait.
func (g *Granter) release(id uint64, r balance.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.schedule.Release(time.Now(), id, r) // a grant of an earlier lease is unknown
	g.decide()
}

// decide grants all places that there are; g.mu is held.
func (g *Granter) decide() { g.tell(g.schedule.Next(time.Now())) }

// tell answers the requests that were decided about; g.mu is held.
func (g *Granter) tell(list []grant.Decision) {
	for _, d := range list {
		if w, ok := g.waiters[d.ID]; ok {
			delete(g.waiters, d.ID)
			if !d.Granted && d.Reason == balance.Limited {
				g.limited[w.place.Model] = time.Now()
			}
			w.decided <- d
		}
	}
}

// Limited returns the models of which requests were refused of late because all their servers
// have got as many as they named as their rate.
func (g *Granter) Limited() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]bool{}
	now := time.Now()
	for m, at := range g.limited {
		if now.Sub(at) > limitedLife {
			delete(g.limited, m)
			continue
		}
		out[m] = true
	}
	return out
}

// lacking has the adapters loaded that requests wait for; g.mu is held.
func (g *Granter) lacking() {
	for i := range g.schedule.WaitingByMissingItem() {
		if i.Adapter != "" && !g.fetching[i] {
			g.fetching[i] = true
			go g.fetch(i)
		}
	}
}

// fetch has an adapter loaded.
func (g *Granter) fetch(w hub.Item) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	o := g.Adapter(ctx, g.wanted(w))
	if !o.Found {
		clock.Sleep(ctx, Tick)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.fetching, w)
	if o.Found {
		g.picture.SetResidency(time.Now(), o.Server, w.Model, w.Adapter, true)
		g.schedule.Invalidate()
	}
	g.decide()
}

// wanted returns what the requests that wait for an item need.
func (g *Granter) wanted(i hub.Item) hub.Want {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := hub.Want{Item: i}
	for _, w := range g.waiters {
		if w.place.Item == i {
			out.Lacks = append(out.Lacks, w.place.Lacks...)
			out.Exclude = append(out.Exclude, w.place.Exclude...)
		}
	}
	return out
}

// Waiting returns how many requests wait for each model that no server holds.
func (g *Granter) Waiting() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]int{}
	if g.schedule == nil {
		return out
	}
	for i, n := range g.schedule.WaitingByMissingItem() {
		if i.Adapter == "" {
			out[i.Model] += n
		}
	}
	return out
}

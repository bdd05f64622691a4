// Package granter runs the scheduler of core/grant at the leader. It accepts
// slot requests from all nodes, replies to each when it is granted or refused,
// and requests the loading of adapters that no engine holds.
//
// # Usage
//
//	g := &granter.Granter{Log: log, LoadAdapter: placer.RequestLoad}
//	g.Reset()                                   // when the lease is acquired
//	d, slot, err := g.AcquireSlot(ctx, request, func() {})
//	slot.PrefillDone()                          // with the first byte of the response
//	slot.Done(balance.Succeeded)                // with the last byte
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
	// TickPeriod is the interval at which waiting requests are checked for expiry.
	TickPeriod = 50 * time.Millisecond

	// deputyRateFraction is the fraction of the servers' rate limits that a deputy grants. The
	// leader, which it can't reach, may be granting all of them to other nodes, and servers
	// tolerate 1.5 times their limit.
	deputyRateFraction = 0.5

	// limitedTTL is how long a model counts as rate limited after one of its requests was
	// refused because its servers had reached their limits.
	limitedTTL = 3 * time.Second
)

// OverQuota is the reason of a refusal because the request's team has used up its quota.
const OverQuota balance.Reason = "quota"

type (
	// Granter grants slots. Its exported fields are set before the first call. It
	// is safe for concurrent use.
	Granter struct {
		Log         *zap.Logger
		Settings    grant.Settings
		LoadAdapter func(ctx context.Context, w hub.LoadRequest) hub.LoadReply // loads an adapter
		Counts      func() map[string]balance.Count                            // counts over all nodes, by server; may be nil
		Limits      func() []hub.Limit                                         // known rate limits of servers; may be nil
		// Tolerance is how far a team's usage may exceed its quota.
		Tolerance quota.Tolerance

		mu        sync.Mutex
		picker    *balance.Picker
		scheduler *grant.Scheduler
		servers   []fleet.Server
		teams     []fleet.Team
		ledger    quota.Ledger
		lastID    uint64
		speedLog  speedLog
		waiters   map[uint64]waiter
		loading   map[hub.Item]bool
		limitedAt map[string]time.Time // by model, when a request was last refused by rate limits
		decisions map[decisionKind]int // number of decisions
		reset     chan struct{}        // closed by the next Reset
	}

	waiter struct {
		slot      hub.SlotRequest
		arrivedAt time.Time
		ahead     int // requests that were waiting when it arrived
		decision  chan grant.Decision
	}
)

// Reset discards all grants and ends all waits, as a node must when it acquires the lease.
// Known rate limits stay in force, since the requests that waited are sent again immediately.
func (g *Granter) Reset() { g.restart(1) }

// ResetAsDeputy is Reset for a deputy, which grants while it can't reach the leader.
func (g *Granter) ResetAsDeputy() { g.restart(deputyRateFraction) }

// restart discards all grants. From now on the given fraction of the servers' rate limits is
// granted.
func (g *Granter) restart(rateFraction float64) {
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
	before := g.picker
	g.picker = balance.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	g.picker.SetRateFraction(rateFraction)
	g.picker.Update(g.servers)
	if before != nil {
		g.picker.AdoptSpeeds(before)
	}
	g.mergeLimits(limits)
	g.scheduler = grant.New(g.picker, g.Settings)
	g.waiters = map[uint64]waiter{}
	g.loading = map[hub.Item]bool{}
	g.limitedAt = map[string]time.Time{}
	g.ledger = quota.Ledger{Tolerance: g.Tolerance}
	g.ledger.Reset(time.Now(), g.teams)
}

// SetServers sets the list of backend servers.
func (g *Granter) SetServers(list []fleet.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers = list
	if g.picker == nil {
		return
	}
	g.picker.Update(list)
	g.scheduler.Invalidate()
	g.grantSlots()
}

// Run expires waiting requests and updates the counts of requests that nodes started
// without a grant, until ctx ends.
func (g *Granter) Run(ctx context.Context) {
	t := time.NewTicker(TickPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if g.Counts != nil {
				g.SetCounts(g.Counts())
			}
			g.tick()
		case <-ctx.Done():
			return
		}
	}
}

// tick refuses expired requests, grants free slots, and requests missing adapters.
func (g *Granter) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduler == nil || g.scheduler.Waiting() == 0 {
		return
	}
	g.deliver(g.scheduler.Tick(time.Now()))
	g.grantSlots()
	g.loadMissing()
}

// SetResidency applies a residency update, which overrides the server's entry.
func (g *Granter) SetResidency(u hub.ResidencyUpdate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.picker == nil {
		return
	}
	g.picker.SetResidency(time.Now(), u.Server, u.Model, u.Adapter, u.Held)
	g.scheduler.Invalidate()
	g.grantSlots()
}

// MergeLimits merges rate limits that servers set in responses to another node.
func (g *Granter) MergeLimits(list []hub.Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.picker == nil {
		return
	}
	if g.mergeLimits(list) {
		g.scheduler.Invalidate()
	}
	g.grantSlots()
}

// mergeLimits merges rate limits and reports whether any of them changed; g.mu is held.
func (g *Granter) mergeLimits(list []hub.Limit) bool {
	changed := false
	now := time.Now()
	for _, l := range list {
		changed = g.picker.LearnLimit(l.Server, l.Local(now)) || changed
	}
	return changed
}

// SetCounts sets how many streams all nodes have at each server. Those that this
// granter has granted are subtracted, since they are counted already.
func (g *Granter) SetCounts(counts map[string]balance.Count) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.picker == nil {
		return
	}
	running := make(map[string]balance.Count, len(counts))
	for id, c := range counts {
		running[id] = balance.Count{Running: c.Running - c.Granted}
	}
	g.picker.SetRemoteCounts(time.Now(), running)
	g.grantSlots()
}

// AcquireSlot waits until a request is granted a slot or refused, and calls queued if
// that isn't decided immediately.
func (g *Granter) AcquireSlot(ctx context.Context, q hub.SlotRequest, queued func()) (grant.Decision, hub.SlotGrant, error) {
	w := waiter{slot: q, arrivedAt: time.Now(), decision: make(chan grant.Decision, 1)}
	g.mu.Lock()
	if g.scheduler == nil {
		g.mu.Unlock()
		return grant.Decision{}, nil, context.Canceled
	}
	g.lastID++
	id := g.lastID
	now := time.Now()
	for _, s := range q.Lacks {
		g.picker.SetResidency(now, s, q.Model, q.Adapter, false)
	}
	if ok, after := g.ledger.Charge(now, q.Charge.Team, q.Charge.Cost); !ok {
		g.mu.Unlock()
		d := grant.Decision{Reason: OverQuota, RetryAfter: after}
		g.countDecision(q.Class, d)
		w.log(g.Log, d)
		return d, &slot{g, id}, nil
	}
	w.ahead = g.scheduler.Waiting()
	g.waiters[id] = w
	g.scheduler.Enqueue(grant.Request{ID: id, Pick: q.PickRequest(), Priority: q.Priority, OverShare: g.ledger.OverShare(now, q.Charge.Team), ArrivedAt: now.Add(-q.Waited),
		Class: q.Class, Team: q.Team, Copy: string(q.Copy), Patience: q.Patience,
		TargetStart: now.Add(q.Target), Deadline: now.Add(q.Expire)})
	g.grantSlots()
	g.loadMissing()
	reset := g.reset
	g.mu.Unlock()
	if len(w.decision) == 0 {
		queued()
	}
	select {
	case d := <-w.decision:
		g.countDecision(q.Class, d)
		if !d.Granted {
			g.refund(q.Charge)
		}
		w.log(g.Log, d)
		return d, &slot{g, id}, nil
	case <-reset:
		return grant.Decision{}, nil, context.Canceled
	case <-ctx.Done():
		g.refund(q.Charge)
		g.release(id, balance.Abandoned)
		return grant.Decision{}, nil, ctx.Err()
	}
}

// log logs the decision on a request and the values that led to it.
func (w waiter) log(log *zap.Logger, d grant.Decision) {
	log.Info("place", zap.String("request-id", w.slot.Request), zap.Bool("granted", d.Granted), zap.String("why", string(d.Reason)),
		zap.String("server", d.Selection.Server.ID), zap.String("model", w.slot.Model), zap.String("adapter", w.slot.Adapter),
		zap.String("needs", w.slot.Software), zap.Int("excluded", len(w.slot.Exclude)), zap.Int("priority", w.slot.Priority), zap.Stringer("class", w.slot.Class), zap.Float64("reserve", d.Reserve), zap.Bool("over-usual", d.OverUsual), zap.Int("tokens", w.slot.Tokens), zap.Int("ahead", w.ahead),
		zap.Duration("estimate", d.Selection.Wait), zap.Duration("age", d.Selection.Age), zap.Duration("waited", time.Since(w.arrivedAt)),
		zap.Duration("come-back", d.RetryAfter), zap.Bool("promised", d.Promised), zap.Stringer("turn", d.Turn), zap.String("team", w.slot.Charge.Team), zap.Float64("charge", w.slot.Charge.Cost))
}

// slot implements hub.SlotGrant for a decided request.
type slot struct {
	g  *Granter
	id uint64
}

// SetRate implements hub.SlotGrant.
func (s *slot) SetRate(perSecond *float64) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.scheduler.LearnLimit(time.Now(), s.id, perSecond)
	s.g.grantSlots()
}

// SetLoad implements hub.SlotGrant.
func (s *slot) SetLoad(l balance.LoadReport) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.scheduler.RecordLoad(time.Now(), s.id, l) // ignores a grant from before the last Reset
}

// PrefillDone implements hub.SlotGrant.
func (s *slot) PrefillDone() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	s.g.scheduler.PrefillDone(time.Now(), s.id)
	s.g.grantSlots()
}

// Done implements hub.SlotGrant.
func (s *slot) Done(r balance.Result) { s.g.release(s.id, r) }

// release ends a grant or a wait.
func (g *Granter) release(id uint64, r balance.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	g.scheduler.Release(time.Now(), id, r) // ignores a grant from before the last Reset
	g.grantSlots()
}

// grantSlots grants all free slots; g.mu is held.
func (g *Granter) grantSlots() { g.deliver(g.scheduler.Next(time.Now())) }

// deliver delivers decisions to the waiting requests; g.mu is held.
func (g *Granter) deliver(list []grant.Decision) {
	for _, d := range list {
		if w, ok := g.waiters[d.ID]; ok {
			delete(g.waiters, d.ID)
			g.logSpeed(w, d)
			if !d.Granted && d.Reason == balance.Limited {
				g.limitedAt[w.slot.Model] = time.Now()
			}
			w.decision <- d
		}
	}
}

// LimitedModels returns the models of which requests were recently refused because all their
// servers had reached their rate limits.
func (g *Granter) LimitedModels() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]bool{}
	now := time.Now()
	for m, at := range g.limitedAt {
		if now.Sub(at) > limitedTTL {
			delete(g.limitedAt, m)
			continue
		}
		out[m] = true
	}
	return out
}

// loadMissing requests the loading of adapters for which requests wait; g.mu is held.
func (g *Granter) loadMissing() {
	for i := range g.scheduler.WaitingByMissingItem() {
		if i.Adapter != "" && !g.loading[i] {
			g.loading[i] = true
			go g.loadAdapter(i)
		}
	}
}

// loadAdapter requests the loading of one adapter and records where it is resident.
func (g *Granter) loadAdapter(item hub.Item) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply := g.LoadAdapter(ctx, g.loadRequest(item))
	if !reply.Found {
		clock.Sleep(ctx, TickPeriod)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.loading, item)
	if reply.Found {
		g.picker.SetResidency(time.Now(), reply.Server, item.Model, item.Adapter, true)
		g.scheduler.Invalidate()
	}
	g.grantSlots()
}

// loadRequest returns the load request for an item, with the servers that the requests
// waiting for it exclude or found without it.
func (g *Granter) loadRequest(i hub.Item) hub.LoadRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := hub.LoadRequest{Item: i}
	for _, w := range g.waiters {
		if w.slot.Item == i {
			out.Lacks = append(out.Lacks, w.slot.Lacks...)
			out.Exclude = append(out.Exclude, w.slot.Exclude...)
		}
	}
	return out
}

// Waiting returns the number of waiting requests for each model that no server holds, or none of the software version that the
// requests need.
func (g *Granter) Waiting() map[hub.Item]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[hub.Item]int{}
	if g.scheduler == nil {
		return out
	}
	for i, n := range g.scheduler.WaitingByMissingItem() {
		if i.Adapter == "" {
			out[i] += n
		}
	}
	return out
}

// SetUnplaceable sets the models that no server of a software version holds or has a place for, and refuses the requests that wait for
// them.
func (g *Granter) SetUnplaceable(list []hub.Item) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.scheduler == nil {
		return
	}
	items := make(map[hub.Item]bool, len(list))
	for _, i := range list {
		items[i] = true
	}
	g.scheduler.SetUnplaceable(items)
	g.grantSlots()
}

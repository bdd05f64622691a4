package placer

import (
	"context"
	"maps"
	"slices"
	"time"

	"guavapaddle/core/fleet"
	"guavapaddle/core/loads"
	"guavapaddle/core/residency"
	"guavapaddle/internal/hub"
)

// planTask is a copy of the input of one plan, so that planning needs no lock.
type planTask struct {
	service   string
	in        residency.Input
	termStart time.Time      // when this node became leader
	reads     map[string]int // number of reports read, by engine
}

// runPlans makes plans until ctx ends.
func (p *Placer) runPlans(ctx context.Context) {
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		p.updateDemand(time.Now())
		epoch, ok := p.orderEpoch()
		if !ok {
			continue
		}
		for _, s := range p.enginesToRead(time.Now()) {
			go p.readEngine(ctx, s)
		}
		for _, m := range p.planMoves(time.Now()) {
			go p.executeMove(ctx, epoch, m)
		}
	}
}

// updateDemand decays the recorded demand and adds what nodes have reported since.
func (p *Placer) updateDemand(now time.Time) {
	list := p.Hub.Demand()
	waitingWithoutCopy := p.WaitingWithoutCopy()
	var limited map[string]bool
	if p.LimitedModels != nil {
		limited = p.LimitedModels()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.demand == nil {
		p.demand = map[string]float64{}
	}
	dt := now.Sub(p.decayedAt)
	p.decayedAt = now
	factor := max(0, 1-dt.Seconds()/demandDecay.Seconds())
	for m, v := range p.demand {
		if p.demand[m] = v * factor; v < minDemand {
			delete(p.demand, m)
		}
	}
	p.slotTimes.Decay(dt)
	p.waiting, p.resuming, p.limited = map[string]int{}, map[hub.Item]int{}, limited
	for i, n := range waitingWithoutCopy {
		p.addWaiting(i, n)
	}
	for _, d := range list {
		p.demand[d.Model] += float64(d.Tokens) / demandDecay.Seconds()
		p.slotTimes.Add(d.Model, d.Ran.Tokens, d.Ran.Time)
		p.addWaiting(d.Item, d.Waiting)
		if d.Adapter != "" {
			p.markUsed(now, d)
		}
	}
}

// addWaiting adds requests that wait for a model; p.mu is held.
func (p *Placer) addWaiting(i hub.Item, n int) {
	p.waiting[i.Model] += n
	if i.Software != "" {
		p.resuming[hub.Item{Service: i.Service, Model: i.Model, Software: i.Software}] += n
	}
}

// resumingOf returns the streams that wait for each model of a service at servers of a software version; p.mu is held.
func (p *Placer) resumingOf(service string) map[residency.ModelAt]int {
	out := map[residency.ModelAt]int{}
	for i, n := range p.resuming {
		if i.Service == service {
			out[residency.ModelAt{Model: i.Model, Software: i.Software}] = n
		}
	}
	return out
}

// slotLoad returns how many slots the demand for each model occupies. It returns the assumed
// load, and true, while the measured one is too small to rely on; p.mu is held.
func (p *Placer) slotLoad(e fleet.Engine) (load map[string]float64, assumed bool) {
	load = make(map[string]float64, len(p.demand))
	sum := 0.0
	for m, tokens := range p.demand {
		load[m] = tokens * p.slotTimes.PerToken(m)
		sum += load[m]
	}
	if sum >= minMeasuredLoad {
		return load, false
	}
	if p.priorLoad == nil {
		p.priorLoad = residency.PriorLoad(e, slices.Collect(maps.Values(p.servers)))
	}
	return p.priorLoad, true
}

// markUsed records the use of an adapter at all engines that hold it; p.mu is held.
func (p *Placer) markUsed(now time.Time, d hub.Demand) {
	key := d.Model + "/" + d.Adapter
	for _, id := range p.byModel[d.Model] {
		e := p.engines[id]
		if e == nil {
			continue
		}
		if at, ok := e.adapters[key]; ok && now.After(at) {
			e.adapters[key] = now
		}
	}
}

// planMoves plans the moves of each service with model engines and records them. Planning
// works on a copy without the lock, because reports, load requests and lease renewals would
// have to wait otherwise.
func (p *Placer) planMoves(now time.Time) []residency.Move {
	tasks, out := p.planTasks(now)
	var unplaceable []hub.Item
	for _, t := range tasks {
		for _, m := range residency.Unplaceable(t.in) {
			unplaceable = append(unplaceable, hub.Item{Service: t.service, Model: m.Model, Software: m.Software})
		}
		for _, m := range residency.Plan(t.in) {
			if p.commitMove(now, t, m) {
				out = append(out, m)
			}
		}
	}
	if p.OnUnplaceable != nil && len(tasks) > 0 {
		p.OnUnplaceable(unplaceable)
	}
	return out
}

// planTasks returns the inputs of the plans, and the moves whose orders have to be sent
// again.
func (p *Placer) planTasks(now time.Time) ([]planTask, []residency.Move) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config == nil || now.Sub(p.termStart) < settleTime {
		return nil, nil
	}
	var list []planTask
	var resend []residency.Move
	for _, name := range p.config.Services() {
		s, _ := p.config.Service(name)
		if s.Engine == nil {
			continue
		}
		load, assumed := p.slotLoad(*s.Engine)
		t := planTask{service: name, termStart: p.termStart, reads: map[string]int{}}
		t.in = residency.Input{Engine: *s.Engine, Load: load, LoadAssumed: assumed, Waiting: p.waiting, Limited: p.limited, Resuming: p.resumingOf(name), StoreLoads: p.storeLoads(now, *s.Engine)}
		t.in.Engine.WeightsMB -= memoryMarginMB
		for _, f := range p.servers {
			if f.Service != name {
				continue
			}
			e := p.engine(f.ID)
			e.expire(now)
			if e.unanswered != nil && !now.Before(e.blockedUntil) {
				e.blockedUntil = now.Add(2 * engineBackoff)
				resend = append(resend, *e.unanswered)
			}
			t.reads[f.ID] = e.reads
			t.in.Servers = append(t.in.Servers, residency.Server{Server: f, Loading: e.loading, Unloading: e.unloading, ReservedFor: e.reservedFor, ReservedReason: e.reservedReason, Evicted: e.evicted, Late: e.lateModels(now),
				Blocked: now.Before(e.blockedUntil) || e.needsReport(), SinceLastMove: now.Sub(later(e.changedAt, p.termStart))})
		}
		t.in.Starved = p.updateStarved(now, name, t.in)
		list = append(list, t)
	}
	return list, resend
}

// later returns the later of two times. A new leader knows neither when the engines last
// changed nor, at first, the demand; so it counts from the start of its term.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateStarved returns for how long models of a service have been requested without a copy
// on any server; p.mu is held.
func (p *Placer) updateStarved(now time.Time, service string, in residency.Input) map[string]time.Duration {
	held := map[string]bool{}
	for _, s := range in.Servers {
		for _, h := range s.Resident {
			held[h.Model] = true
		}
	}
	since := map[string]time.Time{}
	out := map[string]time.Duration{}
	for m := range in.Load {
		if held[m] || in.LoadAssumed {
			continue
		}
		since[m] = now
		if at, ok := p.starvedSince[service][m]; ok {
			since[m] = at
		}
		out[m] = now.Sub(since[m])
	}
	if p.starvedSince == nil {
		p.starvedSince = map[string]map[string]time.Time{}
	}
	p.starvedSince[service] = since
	return out
}

// commitMove records a planned move and reports whether it is still valid: since the plan
// started, the engine may have left or restarted, and the lease may have been lost and
// acquired again.
func (p *Placer) commitMove(now time.Time, t planTask, m residency.Move) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.servers[m.Server.ID]
	e := p.engines[m.Server.ID]
	if !ok || e == nil || f.StartedAtMS != m.Server.StartedAtMS || !p.termStart.Equal(t.termStart) {
		return false
	}
	p.recordMove(now, m)
	e.plannedReads = t.reads[m.Server.ID]
	return true
}

// expire drops a move that has shown no effect in time, and a reservation of the same age.
func (e *engine) expire(now time.Time) {
	if (e.loading != "" || e.unloading != "") && now.Sub(e.changedAt) > 2*orderLifetime {
		e.loading, e.unloading = "", ""
		e.sequence = -1
	}
	if now.Sub(e.changedAt) > 2*orderLifetime {
		e.reservedFor = ""
	}
}

// recordMove enters a move into the engine's record; p.mu is held.
func (p *Placer) recordMove(now time.Time, m residency.Move) {
	e := p.engine(m.Server.ID)
	e.changedAt, e.accepted = now, false
	if m.Load {
		e.loading, e.reservedFor = m.Model, ""
		if m.Store {
			p.loads.Plan(now, m.Server.ID)
			p.loadOrdered = true
		}
	} else {
		e.unloading = m.Model
	}
	if m.For != "" {
		e.reservedFor, e.reservedReason, e.evicted = m.For, m.Reason, m.Model
	}
}

// storeLoads returns how many loads from the weight store may start now; p.mu is held. A new
// leader may start one load regardless of what its predecessors started, if the weight store
// has capacity for it. Otherwise models without a copy would wait for a whole window.
func (p *Placer) storeLoads(now time.Time, e fleet.Engine) int {
	if p.assumeLoads {
		p.assumeLoads = false
		p.loads.Assume(p.termStart, max(0, loads.PerWindow(e.LoadsPerS, p.Window)-p.loads.Count(now)))
	}
	if !p.loadOrdered && p.loads.Count(now) < loads.MaxLoads(e.LoadsPerS, p.Window) {
		return max(1, p.loads.Remaining(now, e.LoadsPerS))
	}
	return p.loads.Remaining(now, e.LoadsPerS)
}

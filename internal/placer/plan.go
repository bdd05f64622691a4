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

// task is what one plan is made of: a copy, so that it needs no lock.
type task struct {
	in       residency.Input
	tookOver time.Time      // when this node took the lease
	reads    map[string]int // of the engines' reports, by engine
}

// plan makes plans until ctx ends.
func (p *Placer) plan(ctx context.Context) {
	t := time.NewTicker(planEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		p.learn(time.Now())
		epoch, ok := p.orders()
		if !ok {
			continue
		}
		for _, s := range p.unread(time.Now()) {
			go p.survey(ctx, s)
		}
		for _, m := range p.moves(time.Now()) {
			go p.order(ctx, epoch, m)
		}
	}
}

// learn takes in what nodes were asked for.
func (p *Placer) learn(now time.Time) {
	list := p.Hub.Demand()
	lacking := p.Lacking()
	var limited map[string]bool
	if p.Limited != nil {
		limited = p.Limited()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.demand == nil {
		p.demand = map[string]float64{}
	}
	dt := now.Sub(p.decayed)
	p.decayed = now
	keep := max(0, 1-dt.Seconds()/demandLife.Seconds())
	for m, v := range p.demand {
		if p.demand[m] = v * keep; v < demandLeast {
			delete(p.demand, m)
		}
	}
	p.slots.Decay(dt)
	p.waiting, p.limited = lacking, limited
	for _, d := range list {
		p.demand[d.Model] += float64(d.Tokens) / demandLife.Seconds()
		p.slots.Add(d.Model, d.Ran.Tokens, d.Ran.Time)
		p.waiting[d.Model] += d.Waiting
		if d.Adapter != "" {
			p.used(now, d)
		}
	}
}

// load returns how many slots of engines each model's demand takes, or is
// supposed to take before there is demand; p.mu is held.
func (p *Placer) load(e fleet.Engine) (load map[string]float64, supposed bool) {
	load = make(map[string]float64, len(p.demand))
	sum := 0.0
	for m, tokens := range p.demand {
		load[m] = tokens * p.slots.PerToken(m)
		sum += load[m]
	}
	if sum >= priorUntil {
		return load, false
	}
	if p.prior == nil {
		p.prior = residency.PriorLoad(e, slices.Collect(maps.Values(p.servers)))
	}
	return p.prior, true
}

// used notes the use of an adapter wherever it is held; p.mu is held.
func (p *Placer) used(now time.Time, d hub.Demand) {
	key := d.Model + "/" + d.Adapter
	for _, e := range p.engines {
		if at, ok := e.adapters[key]; ok && now.After(at) {
			e.adapters[key] = now
		}
	}
}

// moves plans for each service with engines and notes the moves in the ledger. The
// plan itself is made of a copy, without the lock: reports, requests for adapters and
// the renewal of the lease would wait for it else.
func (p *Placer) moves(now time.Time) []residency.Move {
	tasks, out := p.tasks(now)
	for _, t := range tasks {
		for _, m := range residency.Plan(t.in) {
			if p.adopt(now, t, m) {
				out = append(out, m)
			}
		}
	}
	return out
}

// tasks returns what plans are to be made of, and the orders to give once more.
func (p *Placer) tasks(now time.Time) ([]task, []residency.Move) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.config == nil || now.Sub(p.tookOver) < settle {
		return nil, nil
	}
	var list []task
	var again []residency.Move
	for _, name := range p.config.Services() {
		s, _ := p.config.Service(name)
		if s.Engine == nil {
			continue
		}
		load, supposed := p.load(*s.Engine)
		t := task{tookOver: p.tookOver, reads: map[string]int{}}
		t.in = residency.Input{Engine: *s.Engine, Load: load, LoadAssumed: supposed, Waiting: p.waiting, Limited: p.limited, StoreLoads: p.stores(now, *s.Engine)}
		t.in.Engine.WeightsMB -= slackMB
		for _, f := range p.servers {
			if f.Service != name {
				continue
			}
			e := p.engine(f.ID)
			e.expire(now)
			if e.open != nil && !now.Before(e.blocked) {
				e.blocked = now.Add(2 * pause)
				again = append(again, *e.open)
			}
			t.reads[f.ID] = e.reads
			t.in.Servers = append(t.in.Servers, residency.Server{Server: f, Loading: e.coming, Unloading: e.going, ReservedFor: e.kept, ReservedReason: e.keptWhy, Evicted: e.victim,
				Blocked: now.Before(e.blocked) || e.unread(), SinceLastMove: now.Sub(later(e.since, p.tookOver))})
		}
		t.in.Starved = p.starve(now, name, t.in)
		list = append(list, t)
	}
	return list, again
}

// later returns the later of two times. A new holder doesn't know when engines have
// changed, nor yet who is asked for.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// starve returns for how long models of a service were asked for while no server held
// them; p.mu is held.
func (p *Placer) starve(now time.Time, service string, in residency.Input) map[string]time.Duration {
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
		if at, ok := p.starved[service][m]; ok {
			since[m] = at
		}
		out[m] = now.Sub(since[m])
	}
	if p.starved == nil {
		p.starved = map[string]map[string]time.Time{}
	}
	p.starved[service] = since
	return out
}

// adopt notes a move that was planned, and tells whether it still holds: the engine
// may have gone, or started again, and the lease may have been lost and won again.
func (p *Placer) adopt(now time.Time, t task, m residency.Move) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, ok := p.servers[m.Server.ID]
	e := p.engines[m.Server.ID]
	if !ok || e == nil || f.StartedAtMS != m.Server.StartedAtMS || !p.tookOver.Equal(t.tookOver) {
		return false
	}
	p.note(now, m)
	e.planned = t.reads[m.Server.ID]
	return true
}

// expire gives up on an order whose effect has not shown.
func (e *engine) expire(now time.Time) {
	if (e.coming != "" || e.going != "") && now.Sub(e.since) > 2*unsettled {
		e.coming, e.going = "", ""
		e.sequence = -1
	}
	if now.Sub(e.since) > 2*unsettled {
		e.kept = ""
	}
}

// note enters a move into the ledger; p.mu is held.
func (p *Placer) note(now time.Time, m residency.Move) {
	e := p.engine(m.Server.ID)
	e.since = now
	if m.Load {
		e.coming, e.kept = m.Model, ""
		if m.Store {
			p.loads.Plan(now, m.Server.ID)
			p.loaded = true
		}
	} else {
		e.going = m.Model
	}
	if m.For != "" {
		e.kept, e.keptWhy, e.victim = m.For, m.Reason, m.Model
	}
}

// stores returns how many loads from the weight store may begin now; p.mu is held. A
// new holder may begin one whatever those before began, if the weight store bears it:
// models without a copy would wait for a whole window else.
func (p *Placer) stores(now time.Time, e fleet.Engine) int {
	if p.silent {
		p.silent = false
		p.loads.Assume(p.tookOver, max(0, loads.PerWindow(e.LoadsPerS, p.Window)-p.loads.Count(now)))
	}
	if !p.loaded && p.loads.Count(now) < loads.MaxLoads(e.LoadsPerS, p.Window) {
		return max(1, p.loads.Remaining(now, e.LoadsPerS))
	}
	return p.loads.Remaining(now, e.LoadsPerS)
}

package placer

import (
	"context"
	"slices"
	"sort"
	"strings"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/core/residency"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
	"guavapaddle/platform"
)

const (
	// adapterLoad is how long an adapter takes to load when the weight store
	// isn't busy; the sheets say 5 to 19 ms.
	adapterLoad = 20 * time.Millisecond
	// lackAfter is how long after an order an engine's word that it lacks the
	// adapter may be older than the order.
	lackAfter = 150 * time.Millisecond
	// adapterTries is how many engines are asked for one want.
	adapterTries = 3
	// adapterIdle is how long an adapter must not have been used before it
	// makes room for another.
	adapterIdle = time.Second
	// reportAge is how old what an engine reports may be.
	reportAge = time.Second
)

// tell passes on what an engine holds before its entry says so.
func (p *Placer) tell(n hub.Note) {
	p.Hub.Note(time.Now(), n)
	go p.Noted(n)
}

// Report takes in a node's report.
func (p *Placer) Report(r hub.Report) hub.Picture {
	if !p.Holding() {
		return hub.Picture{}
	}
	return p.Hub.Take(time.Now(), r)
}

// Want sees to it that an engine holds an adapter and tells which. A model
// without a copy is left to the plan, which the report of the waiting request
// moves.
func (p *Placer) Want(ctx context.Context, w hub.Want) hub.Offer {
	if _, ok := p.orders(); !ok {
		return hub.Offer{Why: "no-lease"}
	}
	if w.Adapter == "" {
		return hub.Offer{Why: "planned"}
	}
	key := w.Model + "/" + w.Adapter
	p.lacking(w.Lacks, key)
	for _, s := range p.hosts(w) {
		p.mu.Lock()
		e := p.engine(s.ID)
		p.mu.Unlock()
		if !e.turn.TryAcquire(1) { // an order is under way there
			continue
		}
		v, err := p.adapter(ctx, e, s, w.Model, w.Adapter)
		e.turn.Release(1)
		held, late, sequence := p.places(e)
		p.Log.Info("order-adapter", zap.String("server", s.ID), zap.String("adapter", key), zap.Int("held", held), zap.Int("late", late),
			zap.Int64("sequence", sequence), zap.String("verdict", v.String()), zap.Error(err))
		if err != nil || v != platform.Begun && v != platform.Already {
			continue
		}
		p.tell(hub.Note{Server: s.ID, Model: w.Model, Adapter: w.Adapter, Held: true})
		if v == platform.Begun || p.justOrdered(s.ID, key) {
			clock.Sleep(ctx, adapterLoad)
		}
		return hub.Offer{Found: true, Server: s.ID}
	}
	return hub.Offer{Why: "no-engine"}
}

// lacking has the ledgers of engines read again that said that they don't hold
// an adapter. It may be on its way to them, and takes its place meanwhile.
func (p *Placer) lacking(ids []string, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if e := p.engines[id]; e != nil && time.Since(e.ordered[key]) > lackAfter {
			e.stale = true
		}
	}
}

// hosts returns the engines that could take an adapter, those that hold it
// first, then those with the least to do.
func (p *Placer) hosts(w hub.Want) []fleet.Server {
	counts := p.Hub.Counts()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	type host struct {
		fleet.Server
		cost int
	}
	var list []host
	for _, s := range p.servers {
		e := p.engine(s.ID)
		if slices.Contains(w.Exclude, s.ID) {
			continue // the requests that wait can't go there
		}
		if s.Service != w.Service || s.Leaving || !s.Holds(w.Model, "") || e.going == w.Model || now.Before(e.blocked) {
			continue
		}
		c := cost(counts[s.ID]) + 300*len(e.adapters)
		if e.coming != "" || e.going != "" {
			c += 20000 // it may refuse while a model is on its way
		}
		if _, ok := e.adapters[w.Model+"/"+w.Adapter]; ok || s.Holds(w.Model, w.Adapter) {
			c -= 100000
		}
		list = append(list, host{s, c})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].cost != list[j].cost {
			return list[i].cost < list[j].cost
		}
		return list[i].ID < list[j].ID
	})
	out := make([]fleet.Server, 0, adapterTries)
	for _, h := range list[:min(adapterTries, len(list))] {
		out = append(out, h.Server)
	}
	return out
}

// cost weighs what nodes have at an engine, in prompt tokens.
func cost(c balance.Count) int { return c.Tokens + 100*c.Running }

// adapter loads an adapter, after it has made room for it; e.turn is held.
func (p *Placer) adapter(ctx context.Context, e *engine, s fleet.Server, model, adapter string) (platform.Verdict, error) {
	if p.isUnread(e) {
		if err := p.report(ctx, e, s); err != nil {
			p.block(e)
			return 0, err
		}
	}
	key := model + "/" + adapter
	if p.holds(e, key) {
		return platform.Already, nil
	}
	for p.full(s, e, key) {
		victim, ok := p.idlest(e)
		if !ok {
			return platform.Full, nil
		}
		m, a, _ := strings.Cut(victim, "/")
		v, err := p.give(ctx, e, s, platform.Order{Model: m, Adapter: a}, false)
		p.Log.Info("order-adapter-unload", zap.String("server", s.ID), zap.String("adapter", victim), zap.String("verdict", v.String()), zap.Error(err))
		if err != nil || v != platform.Begun && v != platform.Already {
			p.block(e)
			return v, err
		}
		p.tell(hub.Note{Server: s.ID, Model: m, Adapter: a, Held: false})
		if v == platform.Begun {
			// Requests still use it: it keeps its place until they have ended.
			p.reread(e)
			p.block(e)
			return platform.Full, nil
		}
		p.mu.Lock()
		delete(e.adapters, victim)
		p.mu.Unlock()
	}
	v, err := p.give(ctx, e, s, platform.Order{Load: true, Model: model, Adapter: adapter}, false)
	if err == nil && v != platform.Begun && v != platform.Already {
		p.block(e)
		return v, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	e.adapters[key], e.ordered[key] = now, now
	if err != nil {
		e.late[key] = lateLoad{number: e.sequence, until: now.Add(unsettled)}
		e.blocked = now.Add(pause)
	} else {
		delete(e.late, key)
	}
	return v, err
}

// justOrdered tells whether an adapter may still be on its way.
func (p *Placer) justOrdered(id, key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	return e != nil && time.Since(e.ordered[key]) < reportAge
}

// places returns how many adapters an engine holds or may, how many of these may still
// come late, and how many orders it has accepted, for the log.
func (p *Placer) places(e *engine) (held, late int, sequence int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(e.adapters), len(e.late), e.sequence
}

// holds tells whether an engine has an adapter, or will have it.
func (p *Placer) holds(e *engine, key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := e.adapters[key]
	_, late := e.late[key]
	return ok && !late
}

// block leaves an engine alone for a moment.
func (p *Placer) block(e *engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.blocked = time.Now().Add(pause)
}

// full tells whether all places for adapters are taken, or all memory beside the
// models, and none of them by this adapter.
func (p *Placer) full(s fleet.Server, e *engine, key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := e.adapters[key]; ok {
		return false
	}
	service, ok := p.config.Service(s.Service)
	if !ok || service.Engine == nil {
		return true
	}
	return len(e.adapters) >= residency.NewSizes(*service.Engine).AdapterPlaces(e.models(p.servers[s.ID]))
}

// idlest returns the adapter that was used least recently, of those that are there for
// sure.
func (p *Placer) idlest(e *engine) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var name string
	var oldest time.Time
	for k, at := range e.adapters {
		if _, late := e.late[k]; late {
			continue
		}
		if name == "" || at.Before(oldest) {
			name, oldest = k, at
		}
	}
	return name, name != "" && time.Since(oldest) > adapterIdle
}

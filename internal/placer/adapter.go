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
	// adapterLoadTime is how long an adapter takes to load when the weight store isn't busy;
	// the deployment sheets state 5 to 19 ms.
	adapterLoadTime = 20 * time.Millisecond
	// missingGrace is the time after a load order in which an engine's reply that it lacks
	// the adapter may still predate the order.
	missingGrace = 150 * time.Millisecond
	// maxAdapterTries is how many engines are tried for one load request.
	maxAdapterTries = 3
	// minAdapterIdle is how long an adapter must be unused before it may be evicted for
	// another.
	minAdapterIdle = time.Second
	// maxReportAge is the maximum age of the state that an engine reports.
	maxReportAge = time.Second
)

// publishResidency announces a change of an engine's content before its entry shows it.
func (p *Placer) publishResidency(n hub.ResidencyUpdate) {
	p.Hub.AddResidencyUpdate(time.Now(), n)
	go p.OnResidency(n)
}

// Report processes a node's report and returns the reply. A node that is not the leader
// returns the zero reply.
func (p *Placer) Report(r hub.Report) hub.ReportReply {
	if !p.IsLeading() {
		return hub.ReportReply{}
	}
	return p.Hub.Merge(time.Now(), r)
}

// RequestLoad makes sure that an engine holds an adapter and returns that engine. A model
// without a copy is left to the plan, which takes into account the waiting request that the
// node reports.
func (p *Placer) RequestLoad(ctx context.Context, r hub.LoadRequest) hub.LoadReply {
	if _, ok := p.orderEpoch(); !ok {
		return hub.LoadReply{Why: "no-lease"}
	}
	if r.Adapter == "" {
		return hub.LoadReply{Why: "planned"}
	}
	key := r.Model + "/" + r.Adapter
	p.markMissing(r.Lacks, key)
	for _, s := range p.candidates(r) {
		p.mu.Lock()
		e := p.engine(s.ID)
		p.mu.Unlock()
		if !e.callSem.TryAcquire(1) { // another call to the engine is in progress
			continue
		}
		v, err := p.loadAdapter(ctx, e, s, r.Model, r.Adapter)
		e.callSem.Release(1)
		held, unacked, sequence := p.adapterCounts(e)
		p.Log.Info("order-adapter", zap.String("server", s.ID), zap.String("adapter", key), zap.Int("held", held), zap.Int("late", unacked),
			zap.Int64("sequence", sequence), zap.String("verdict", v.String()), zap.Error(err))
		if err != nil || v != platform.Accepted && v != platform.Done {
			continue
		}
		p.publishResidency(hub.ResidencyUpdate{Server: s.ID, Model: r.Model, Adapter: r.Adapter, Held: true})
		if v == platform.Accepted || p.recentlyOrdered(s.ID, key) {
			clock.Sleep(ctx, adapterLoadTime)
		}
		return hub.LoadReply{Found: true, Server: s.ID}
	}
	return hub.LoadReply{Why: "no-engine"}
}

// markMissing has the records read again of engines that replied that they don't hold an
// adapter. An adapter that is still being loaded keeps its slot meanwhile.
func (p *Placer) markMissing(ids []string, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if e := p.engines[id]; e != nil && time.Since(e.orderedAt[key]) > missingGrace {
			e.stale = true
		}
	}
}

// candidates returns the engines that could load an adapter: those that hold it first, then
// the others by increasing cost.
func (p *Placer) candidates(r hub.LoadRequest) []fleet.Server {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	holders := p.byModel[r.Model]
	counts := p.Hub.CountsAt(holders)
	type candidate struct {
		fleet.Server
		cost int
	}
	var list []candidate
	for _, id := range holders {
		s, e := p.servers[id], p.engine(id)
		if slices.Contains(r.Exclude, s.ID) {
			continue // the waiting requests can't be sent there
		}
		if s.Service != r.Service || r.Software != "" && s.Software != r.Software || s.Leaving || e.unloading == r.Model || now.Before(e.blockedUntil) {
			continue
		}
		c := cost(counts[s.ID]) + 300*len(e.adapters)
		if e.loading != "" || e.unloading != "" {
			c += 20000 // the engine may refuse adapters while a model is loading or unloading
		}
		if _, ok := e.adapters[r.Model+"/"+r.Adapter]; ok || s.Holds(r.Model, r.Adapter) {
			c -= 100000
		}
		list = append(list, candidate{s, c})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].cost != list[j].cost {
			return list[i].cost < list[j].cost
		}
		return list[i].ID < list[j].ID
	})
	out := make([]fleet.Server, 0, maxAdapterTries)
	for _, c := range list[:min(maxAdapterTries, len(list))] {
		out = append(out, c.Server)
	}
	return out
}

// cost returns the work that all nodes have at an engine, in prompt tokens.
func cost(c balance.Count) int { return c.Tokens + 100*c.Running }

// loadAdapter loads an adapter, evicting others first if necessary; e.callSem is held.
func (p *Placer) loadAdapter(ctx context.Context, e *engine, s fleet.Server, model, adapter string) (platform.Verdict, error) {
	if p.needsReport(e) {
		if err := p.readReport(ctx, e, s); err != nil {
			p.block(e)
			return 0, err
		}
	}
	key := model + "/" + adapter
	if p.holdsAdapter(e, key) {
		return platform.Done, nil
	}
	for p.adaptersFull(s, e, key) {
		victim, ok := p.leastRecentlyUsed(e)
		if !ok {
			return platform.Full, nil
		}
		m, a, _ := strings.Cut(victim, "/")
		v, err := p.sendOrder(ctx, e, s, platform.Order{Model: m, Adapter: a}, false)
		p.Log.Info("order-adapter-unload", zap.String("server", s.ID), zap.String("adapter", victim), zap.String("verdict", v.String()), zap.Error(err))
		if err != nil || v != platform.Accepted && v != platform.Done {
			p.block(e)
			return v, err
		}
		p.publishResidency(hub.ResidencyUpdate{Server: s.ID, Model: m, Adapter: a, Held: false})
		if v == platform.Accepted {
			// Requests still use it: it keeps its slot until they have ended.
			p.invalidateAdapters(e)
			p.block(e)
			return platform.Full, nil
		}
		p.mu.Lock()
		delete(e.adapters, victim)
		p.mu.Unlock()
	}
	v, err := p.sendOrder(ctx, e, s, platform.Order{Load: true, Model: model, Adapter: adapter}, false)
	if err == nil && v != platform.Accepted && v != platform.Done {
		p.block(e)
		return v, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	e.adapters[key], e.orderedAt[key] = now, now
	if err == nil {
		delete(e.unacked, key)
		return v, nil
	}
	late := unackedLoad{sequence: e.sequence, expires: now.Add(orderLifetime)}
	e.unacked[key] = late
	e.blockedUntil = now.Add(engineBackoff)
	if r := p.engine(s.ID); r != e && r.sequence <= late.sequence { // renewed meanwhile
		r.adapters[key], r.unacked[key] = now, late
	}
	return v, err
}

// recentlyOrdered reports whether an adapter may still be loading.
func (p *Placer) recentlyOrdered(id, key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engines[id]
	return e != nil && time.Since(e.orderedAt[key]) < maxReportAge
}

// adapterCounts returns, for the log, how many adapters an engine holds or may hold, how
// many of them have an unacknowledged load, and how many orders the engine has accepted.
func (p *Placer) adapterCounts(e *engine) (held, unacked int, sequence int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(e.adapters), len(e.unacked), e.sequence
}

// holdsAdapter reports whether an engine holds an adapter or is certain to load it.
func (p *Placer) holdsAdapter(e *engine, key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := e.adapters[key]
	_, unacked := e.unacked[key]
	return ok && !unacked
}

// block keeps an engine from getting orders for a short time.
func (p *Placer) block(e *engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.blockedUntil = time.Now().Add(engineBackoff)
}

// adaptersFull reports whether an engine has no slot, or no memory beside its models, for
// another adapter. It returns false if the engine already holds the given one.
func (p *Placer) adaptersFull(s fleet.Server, e *engine, key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := e.adapters[key]; ok {
		return false
	}
	service, ok := p.config.Service(s.Service)
	if !ok || service.Engine == nil {
		return true
	}
	return len(e.adapters) >= residency.NewSizes(*service.Engine).AdapterPlaces(e.modelsInMemory(p.servers[s.ID]))
}

// leastRecentlyUsed returns the least recently used adapter among those that are certain to
// be loaded, and whether it has been idle long enough to be evicted.
func (p *Placer) leastRecentlyUsed(e *engine) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var name string
	var oldest time.Time
	for k, at := range e.adapters {
		if _, unacked := e.unacked[k]; unacked {
			continue
		}
		if name == "" || at.Before(oldest) {
			name, oldest = k, at
		}
	}
	return name, name != "" && time.Since(oldest) > minAdapterIdle
}

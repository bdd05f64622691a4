package planner

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/place"
)

// input gathers what a plan depends on.
func (p *Planner) input(now time.Time, x *config.Index) place.Input {
	stale := demandLosses * p.demandPeriod()
	p.mu.Lock()
	defer p.mu.Unlock()
	doc := x.Document()
	in := place.Input{Models: doc.Models, Adapters: doc.Adapters, Placement: doc.Placement, MaxParallelLoads: doc.Limits.WeightLoads}
	for from, r := range p.reports {
		if now.Sub(r.at) > stale {
			delete(p.reports, from)
			continue
		}
		in.Demand = append(in.Demand, r.demand...)
	}
	bytes := sizesOf(doc)
	for _, s := range doc.Servers {
		if s.Type == config.Engine {
			in.Servers = append(in.Servers, p.server(now, s, bytes))
		}
	}
	return in
}

// server describes one engine to the planner.
func (p *Planner) server(now time.Time, s config.BackendServer, bytes sizes) place.Server {
	v, _ := p.Views.Get(s.Name)
	out := place.Server{
		Name:           s.Name,
		DataCentre:     s.DataCentre,
		MemoryBytes:    s.MemoryBytes,
		KVReserveBytes: s.KVReserveBytes,
		Slots:          s.Slots,
		Reachable:      v.Reachable,
		Leaving:        v.Leaving || p.Views.Leaving(s.Name),
	}
	seen := map[backend.Item]time.Time{}
	known, before := p.since[s.Name]
	for _, i := range v.Resident {
		since, ok := known[i]
		if !ok && before {
			since = now // what was there at the first look may be old
		}
		seen[i] = since
		out.Resident = append(out.Resident, place.Copy{Item: i, Bytes: bytes.of(i), ResidentSince: since, LastUsed: p.used[i.Name]})
	}
	if p.since != nil && v.Server != "" {
		p.since[s.Name] = seen
	}
	for _, i := range v.Loading {
		out.Loading = append(out.Loading, place.Copy{Item: i, Bytes: bytes.of(i), ResidentSince: now, LastUsed: p.used[i.Name]})
	}
	return out
}

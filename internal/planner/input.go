package planner

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/place"
)

// input collects the input of a plan. It drops outdated demand reports.
func (p *Planner) input(now time.Time, x *config.Index) place.Input {
	stale := demandExpiryPeriods * p.demandPeriod()
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

// server returns the planning input for one engine server, and records since when
// its items have been resident.
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
	current := map[backend.Item]time.Time{}
	previous, hasPrevious := p.residentSince[s.Name]
	for _, i := range v.Resident {
		residentSince, ok := previous[i]
		if !ok && hasPrevious {
			residentSince = now // items present at the first view have an unknown age
		}
		current[i] = residentSince
		out.Resident = append(out.Resident, place.Copy{Item: i, Bytes: bytes.of(i), ResidentSince: residentSince, LastUsed: p.lastUsed[i.Name]})
	}
	if p.residentSince != nil && v.Server != "" {
		p.residentSince[s.Name] = current
	}
	for _, i := range v.Loading {
		out.Loading = append(out.Loading, place.Copy{Item: i, Bytes: bytes.of(i), ResidentSince: now, LastUsed: p.lastUsed[i.Name]})
	}
	return out
}

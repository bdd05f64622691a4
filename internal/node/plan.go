package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"go.uber.org/zap"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/place"
	"guavapaddle/core/view"
	"guavapaddle/internal/cluster"
	"guavapaddle/internal/metrics"
	"guavapaddle/io/peer"
)

const (
	plannerKey    = "planner"
	plannerTick   = time.Second
	demandPeriod  = time.Second           // between reports of demand, at least
	demandShare   = 20 * time.Millisecond // the same for each node
	demandLosses  = 5                     // reports that may get lost before a node counts as without demand
	demandHalf    = 5 * time.Second       // half-life of a demand estimate
	defaultPeriod = time.Second
	planTimeout   = time.Second

	// planRest is how many times as long as a plan took the next one waits, so
	// that planning takes a hundredth of a processor at most.
	planRest       = 100
	planRepeat     = time.Minute     // until an owner is told again what it follows
	planUnfollowed = 2 * time.Second // until an owner is told again what it does not follow yet
)

type (
	// demand learns what callers of this node ask for.
	demand struct {
		mu    sync.Mutex
		names map[string]*asked
	}

	asked struct {
		count, urgent int // since the last report
		rate, share   float64
		seconds       float64
		waiting       int
	}

	// demandReport is what a node tells the planner.
	demandReport struct {
		Demand []view.Demand `cbor:"1,keyasint"`
	}

	// planMessage is what the planner tells an owner.
	planMessage struct {
		Plan        map[string][]backend.Item `cbor:"1,keyasint"`
		MayDropLast bool                      `cbor:"2,keyasint"`
	}

	// planner proposes the placement while this node is chosen for it.
	planner struct {
		node   *Node
		policy place.Planner

		mu      sync.Mutex
		reports map[string]report
		since   map[string]map[backend.Item]time.Time
		used    map[string]time.Time // by name of model or adapter

		previous map[string][]backend.Item // the last plan, nil if another node made it
		told     map[string]toldPlan       // by server
	}

	// toldPlan is what was told last of a server.
	toldPlan struct {
		owner string
		items []backend.Item
		at    time.Time
	}

	report struct {
		demand []view.Demand
		at     time.Time
	}
)

func newDemand() *demand { return &demand{names: map[string]*asked{}} }

func (d *demand) of(name string) *asked {
	a := d.names[name]
	if a == nil {
		a = &asked{}
		d.names[name] = a
	}
	return a
}

// Asked implements entry.Demand.
func (d *demand) Asked(name string, u config.Urgency) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.of(name)
	a.count++
	if u == config.Urgent {
		a.urgent++
	}
}

// Took implements entry.Demand.
func (d *demand) Took(name string, seconds float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.of(name)
	if a.seconds == 0 {
		a.seconds = seconds
	}
	a.seconds += (seconds - a.seconds) / 8
}

// wanted counts requests that wait for a copy of an item.
func (d *demand) wanted(i backend.Item, change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(i.Name).waiting += change
}

// report returns the demand since the last report, which was period ago.
func (d *demand) report(period time.Duration) []view.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := 1 - period.Seconds()/(period.Seconds()+demandHalf.Seconds())
	var out []view.Demand
	for name, a := range d.names {
		a.rate = keep*a.rate + (1-keep)*float64(a.count)/period.Seconds()
		a.share = keep*a.share + (1-keep)*float64(a.urgent)/period.Seconds()
		a.count, a.urgent = 0, 0
		if a.rate < 1e-3 && a.waiting == 0 {
			delete(d.names, name)
			continue
		}
		out = append(out, view.Demand{Name: name, Rate: a.rate, Urgent: a.share, Seconds: a.seconds, Waiting: a.waiting})
	}
	return out
}

// run plans and reports demand until ctx ends.
func (p *planner) run(ctx context.Context) {
	t := time.NewTicker(plannerTick)
	defer t.Stop()
	var planned time.Time
	var took time.Duration // by the last plan
	reported := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if since := time.Since(reported); since >= p.demandPeriod()-plannerTick/2 {
			reported = time.Now()
			p.reportDemand(ctx, since)
		}
		x := p.node.follower.Index()
		if x == nil || p.chosen() != p.node.settings.Name {
			p.previous, p.told = nil, nil
			continue
		}
		if now := time.Now(); now.Sub(planned) >= max(period(x), took*planRest) {
			planned = now
			p.plan(ctx, now, x)
			took = time.Since(now)
		}
	}
}

func period(x *config.Index) time.Duration {
	if ms := x.Placement().PeriodMS; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultPeriod
}

// chosen returns the node that plans. Two nodes may differ about it for a
// while; that costs moves, never safety.
func (p *planner) chosen() string {
	names := p.node.cluster.Working()
	if len(names) == 0 {
		return p.node.settings.Name
	}
	return rendezvous.New(names, xxhash.Sum64String).Lookup(plannerKey)
}

// reportDemand tells the planner what callers of this node asked for.
func (p *planner) reportDemand(ctx context.Context, since time.Duration) {
	d := p.node.demand.report(since)
	to := p.chosen()
	if to == p.node.settings.Name {
		p.heard(to, d)
		return
	}
	if len(d) > 0 {
		go p.node.cluster.Tell(ctx, to, cluster.KindDemand, demandReport{Demand: d})
	}
}

// demandPeriod is the time between reports. It grows with the count of nodes, all
// of which report to one.
func (p *planner) demandPeriod() time.Duration {
	return max(demandPeriod, time.Duration(len(p.node.cluster.Working()))*demandShare)
}

// heard takes in a node's demand.
func (p *planner) heard(from string, d []view.Demand) {
	defer p.node.control.Time(metrics.Demand)()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reports == nil {
		p.reports = map[string]report{}
		p.since = map[string]map[backend.Item]time.Time{}
		p.used = map[string]time.Time{}
	}
	now := time.Now()
	p.reports[from] = report{demand: d, at: now}
	for _, one := range d {
		p.used[one.Name] = now
	}
}

// plan makes a plan and tells the owners.
func (p *planner) plan(ctx context.Context, now time.Time, x *config.Index) {
	defer p.node.control.Time(metrics.Plans)()
	in := p.input(now, x)
	in.Previous = p.previous
	out := p.policy.Plan(now, in)
	p.previous = out.Plan
	for _, m := range out.Moves {
		p.node.log.Debug("proposed move", zap.String("server", m.Server), zap.String("item", m.Item.String()),
			zap.String("op", string(m.Op)), zap.String("reason", string(m.Why)))
	}
	byOwner := map[string]planMessage{}
	for _, v := range p.node.views.All() {
		items, ok := out.Plan[v.Server]
		if !ok || v.Owner == "" || !p.due(now, v, items) {
			continue
		}
		m := byOwner[v.Owner]
		if m.Plan == nil {
			m = planMessage{Plan: map[string][]backend.Item{}, MayDropLast: out.MayDropLast}
		}
		m.Plan[v.Server] = items
		byOwner[v.Owner] = m
	}
	for owner, m := range byOwner {
		if owner == p.node.settings.Name {
			p.node.follow(m)
			continue
		}
		tell, cancel := context.WithTimeout(ctx, planTimeout)
		go func() {
			defer cancel()
			p.node.cluster.Tell(tell, owner, cluster.KindPlan, m)
		}()
	}
}

// due tells whether a server's owner is to be told its plan: one that differs
// from what the owner was told last, or that the server does not yet follow, or
// that was told long ago, since messages get lost.
func (p *planner) due(now time.Time, v view.Server, items []backend.Item) bool {
	last, ok := p.told[v.Server]
	repeat := planRepeat
	if slices.ContainsFunc(items, func(i backend.Item) bool { return !v.Holds(i) }) {
		repeat = planUnfollowed
	}
	if ok && last.owner == v.Owner && now.Sub(last.at) < repeat && slices.Equal(last.items, items) {
		return false
	}
	if p.told == nil {
		p.told = map[string]toldPlan{}
	}
	p.told[v.Server] = toldPlan{owner: v.Owner, items: items, at: now}
	return true
}

// input gathers what a plan depends on.
func (p *planner) input(now time.Time, x *config.Index) place.Input {
	stale := demandLosses * p.demandPeriod()
	p.mu.Lock()
	defer p.mu.Unlock()
	doc := x.Document()
	in := place.Input{Models: doc.Models, Adapters: doc.Adapters, Placement: doc.Placement, Loads: doc.Limits.WeightLoads}
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
func (p *planner) server(now time.Time, s config.BackendServer, bytes sizes) place.Server {
	v, _ := p.node.views.Get(s.Name)
	out := place.Server{
		Name:           s.Name,
		DataCentre:     s.DataCentre,
		MemoryBytes:    s.MemoryBytes,
		KVReserveBytes: s.KVReserveBytes,
		Slots:          s.Slots,
		Reachable:      v.Reachable,
		Leaving:        v.Leaving || p.node.views.Leaving(s.Name),
	}
	seen := map[backend.Item]time.Time{}
	known, before := p.since[s.Name]
	for _, i := range v.Resident {
		since, ok := known[i]
		if !ok && before {
			since = now // what was there at the first look may be old
		}
		seen[i] = since
		out.Resident = append(out.Resident, place.Copy{Item: i, Bytes: bytes.of(i), Since: since, Used: p.used[i.Name]})
	}
	if p.since != nil && v.Server != "" {
		p.since[s.Name] = seen
	}
	for _, i := range v.Loading {
		out.Loading = append(out.Loading, place.Copy{Item: i, Bytes: bytes.of(i), Since: now, Used: p.used[i.Name]})
	}
	return out
}

// sizes are the bytes of models and adapters by the configuration in force. A
// version that is not declared any more counts as large as the one that is.
type sizes struct{ models, adapters map[string]int64 }

func sizesOf(d *config.Document) sizes {
	s := sizes{models: make(map[string]int64, len(d.Models)), adapters: make(map[string]int64, len(d.Adapters))}
	for _, m := range d.Models {
		s.models[m.Name] = m.Bytes
	}
	for _, a := range d.Adapters {
		s.adapters[a.Name] = a.Bytes
	}
	return s
}

// of returns the bytes of an item, zero if it is not declared.
func (s sizes) of(i backend.Item) int64 {
	if i.Base != "" {
		return s.adapters[i.Name]
	}
	return s.models[i.Name]
}

// follow passes a plan on to the owner part.
func (n *Node) follow(m planMessage) {
	for server, items := range m.Plan {
		n.owner.SetPlan(server, items)
	}
}

// message takes in what other nodes tell besides membership.
func (n *Node) message(from string, f peer.Frame) {
	switch f.Kind {
	case cluster.KindDemand:
		var r demandReport
		if f.Decode(&r) == nil {
			n.planner.heard(from, r.Demand)
		}
	case cluster.KindSuspect:
		n.marked(f)
	case cluster.KindPlan:
		var m planMessage
		if f.Decode(&m) == nil {
			n.follow(m)
		}
	}
}

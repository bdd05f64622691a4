package planner

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
	defaultPeriod = time.Second
	planTimeout   = time.Second

	// planRest is how many times as long as a plan took the next one waits, so
	// that planning takes a hundredth of a processor at most.
	planRest       = 100
	planRepeat     = time.Minute     // until an owner is told again what it follows
	planUnfollowed = 2 * time.Second // until an owner is told again what it does not follow yet
)

type (
	// Views is what the node knows of backend servers.
	Views interface {
		All() []view.Server
		Get(server string) (view.Server, bool)
		Leaving(server string) bool
	}

	// Planner proposes the placement while this node is chosen for it. Its
	// exported fields are set before Run.
	Planner struct {
		Self    string // name of this node
		Policy  place.Planner
		Demand  *Demand
		Index   func() *config.Index // nil if there is no configuration
		Working func() []string      // names of the live nodes that do not leave
		Views   Views
		// Tell sends a message to another node, best effort.
		Tell func(ctx context.Context, node string, k peer.Kind, v any)
		// Follow tells this node's owner what a server should hold.
		Follow func(server string, want []backend.Item)
		// Time measures control work of a kind until what it returns is called.
		Time func(w metrics.Work) func()
		Log  *zap.Logger

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

	// demandMessage is what a node tells the planner.
	demandMessage struct {
		Demand []view.Demand `cbor:"1,keyasint"`
	}

	// message is what the planner tells an owner.
	message struct {
		Plan map[string][]backend.Item `cbor:"1,keyasint"`
	}
)

// Run plans and reports demand until ctx ends.
func (p *Planner) Run(ctx context.Context) {
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
		x := p.Index()
		if x == nil || p.chosen() != p.Self {
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
func (p *Planner) chosen() string {
	names := p.Working()
	if len(names) == 0 {
		return p.Self
	}
	return rendezvous.New(names, xxhash.Sum64String).Lookup(plannerKey)
}

// reportDemand tells the planner what callers of this node asked for.
func (p *Planner) reportDemand(ctx context.Context, since time.Duration) {
	d := p.Demand.report(since)
	to := p.chosen()
	if to == p.Self {
		p.heard(to, d)
		return
	}
	if len(d) > 0 {
		go p.Tell(ctx, to, cluster.KindDemand, demandMessage{Demand: d})
	}
}

// demandPeriod is the time between reports. It grows with the count of nodes, all
// of which report to one.
func (p *Planner) demandPeriod() time.Duration {
	return max(demandPeriod, time.Duration(len(p.Working()))*demandShare)
}

// heard takes in a node's demand.
func (p *Planner) heard(from string, d []view.Demand) {
	defer p.Time(metrics.Demand)()
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
func (p *Planner) plan(ctx context.Context, now time.Time, x *config.Index) {
	defer p.Time(metrics.Plans)()
	in := p.input(now, x)
	in.Previous = p.previous
	out := p.Policy.Plan(now, in)
	p.previous = out.Plan
	for _, m := range out.Moves {
		p.Log.Debug("proposed move", zap.String("server", m.Server), zap.String("item", m.Item.String()),
			zap.String("op", string(m.Op)), zap.String("reason", string(m.Reason)))
	}
	byOwner := map[string]message{}
	for _, v := range p.Views.All() {
		items, ok := out.Plan[v.Server]
		if !ok || v.Owner == "" || !p.due(now, v, items) {
			continue
		}
		m := byOwner[v.Owner]
		if m.Plan == nil {
			m.Plan = map[string][]backend.Item{}
		}
		m.Plan[v.Server] = items
		byOwner[v.Owner] = m
	}
	for owner, m := range byOwner {
		if owner == p.Self {
			p.follow(m)
			continue
		}
		tell, cancel := context.WithTimeout(ctx, planTimeout)
		go func() {
			defer cancel()
			p.Tell(tell, owner, cluster.KindPlan, m)
		}()
	}
}

// due tells whether a server's owner is to be told its plan: one that differs
// from what the owner was told last, or that the server does not yet follow, or
// that was told long ago, since messages get lost.
func (p *Planner) due(now time.Time, v view.Server, items []backend.Item) bool {
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

// follow passes a plan on to this node's owner.
func (p *Planner) follow(m message) {
	for server, items := range m.Plan {
		p.Follow(server, items)
	}
}

// Receive takes in a message of kind KindDemand or KindPlan. One that does not
// decode is passed over: the next one comes soon.
func (p *Planner) Receive(from string, f peer.Frame) {
	switch f.Kind {
	case cluster.KindDemand:
		var m demandMessage
		if f.Decode(&m) == nil {
			p.heard(from, m.Demand)
		}
	case cluster.KindPlan:
		var m message
		if f.Decode(&m) == nil {
			p.follow(m)
		}
	}
}

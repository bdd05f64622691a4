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
	plannerKey          = "planner"
	plannerTick         = time.Second
	demandPeriod        = time.Second           // minimum time between demand reports
	demandPeriodPerNode = 20 * time.Millisecond // time between demand reports per node
	demandExpiryPeriods = 5                     // periods after which a node's demand expires, since reports may get lost
	defaultPeriod       = time.Second
	planTimeout         = time.Second

	// planPauseRatio is the minimum time between plans as a multiple of the duration of
	// the last one. It limits planning to one hundredth of a processor.
	planPauseRatio     = 100
	planResendInterval = time.Minute     // resend interval of a plan that its owner follows
	planRetryInterval  = 2 * time.Second // resend interval of a plan that is not followed yet
)

type (
	// Views provides the node's views of backend servers.
	Views interface {
		All() []view.Server
		Get(server string) (view.Server, bool)
		Leaving(server string) bool
	}

	// Planner reports demand, and plans the placement while this node is the
	// planning node. Exported fields are set before Run.
	Planner struct {
		Self        string // name of this node
		Policy      place.Planner
		Demand      *Demand
		Index       func() *config.Index // returns nil if there is no configuration
		ActiveNodes func() []string      // returns the names of the live nodes that are not leaving
		Views       Views
		// Send sends a message to another node. Delivery is best effort.
		Send func(ctx context.Context, node string, k peer.Kind, v any)
		// SetPlan passes the planned items of a server to this node's owner.
		SetPlan func(server string, want []backend.Item)
		// Measure starts measuring control work of a kind and returns the function
		// that ends the measurement.
		Measure func(w metrics.Work) func()
		Log     *zap.Logger

		mu            sync.Mutex
		reports       map[string]report
		residentSince map[string]map[backend.Item]time.Time // start of residence by server, zero if unknown
		lastUsed      map[string]time.Time                  // last demand by model or adapter name

		previous  map[string][]backend.Item // this node's last plan, nil while another node plans
		sentPlans map[string]sentPlan       // by server
	}

	// sentPlan is the plan last sent for a server.
	sentPlan struct {
		owner string
		items []backend.Item
		at    time.Time
	}

	report struct {
		demand []view.Demand
		at     time.Time
	}

	// demandMessage is a node's demand report to the planning node.
	demandMessage struct {
		Demand []view.Demand `cbor:"1,keyasint"`
	}

	// planMessage carries the planned items of an owner's servers.
	planMessage struct {
		Plan map[string][]backend.Item `cbor:"1,keyasint"`
	}
)

// Run reports demand, and plans while this node is the planning node, until ctx
// ends.
func (p *Planner) Run(ctx context.Context) {
	t := time.NewTicker(plannerTick)
	defer t.Stop()
	var planned time.Time
	var took time.Duration // duration of the last plan
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
		if x == nil || p.planningNode() != p.Self {
			p.previous, p.sentPlans = nil, nil
			continue
		}
		if now := time.Now(); now.Sub(planned) >= max(period(x), took*planPauseRatio) {
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

// planningNode returns the name of the node that plans. Nodes may temporarily
// disagree; this causes unnecessary moves but never affects safety.
func (p *Planner) planningNode() string {
	names := p.ActiveNodes()
	if len(names) == 0 {
		return p.Self
	}
	return rendezvous.New(names, xxhash.Sum64String).Lookup(plannerKey)
}

// reportDemand sends this node's demand to the planning node.
func (p *Planner) reportDemand(ctx context.Context, since time.Duration) {
	d := p.Demand.report(since)
	to := p.planningNode()
	if to == p.Self {
		p.addReport(to, d)
		return
	}
	if len(d) > 0 {
		go p.Send(ctx, to, cluster.KindDemand, demandMessage{Demand: d})
	}
}

// demandPeriod returns the time between reports. It grows with the number of nodes,
// since all of them report to one.
func (p *Planner) demandPeriod() time.Duration {
	return max(demandPeriod, time.Duration(len(p.ActiveNodes()))*demandPeriodPerNode)
}

// addReport stores a node's demand report.
func (p *Planner) addReport(from string, d []view.Demand) {
	defer p.Measure(metrics.Demand)()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reports == nil {
		p.reports = map[string]report{}
		p.residentSince = map[string]map[backend.Item]time.Time{}
		p.lastUsed = map[string]time.Time{}
	}
	now := time.Now()
	p.reports[from] = report{demand: d, at: now}
	for _, item := range d {
		p.lastUsed[item.Name] = now
	}
}

// plan computes a plan and sends it to the owners.
func (p *Planner) plan(ctx context.Context, now time.Time, x *config.Index) {
	defer p.Measure(metrics.Plans)()
	in := p.input(now, x)
	in.Previous = p.previous
	out := p.Policy.Plan(now, in)
	p.previous = out.Plan
	for _, m := range out.Moves {
		p.Log.Debug("proposed move", zap.String("server", m.Server), zap.String("item", m.Item.String()),
			zap.String("op", string(m.Op)), zap.String("reason", string(m.Reason)))
	}
	byOwner := map[string]planMessage{}
	for _, v := range p.Views.All() {
		items, ok := out.Plan[v.Server]
		if !ok || v.Owner == "" || !p.shouldSend(now, v, items) {
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
			p.applyPlan(m)
			continue
		}
		sendCtx, cancel := context.WithTimeout(ctx, planTimeout)
		go func() {
			defer cancel()
			p.Send(sendCtx, owner, cluster.KindPlan, m)
		}()
	}
}

// shouldSend reports whether to send a server's plan to its owner, and if so, records
// it as sent. A plan is sent if it differs from the one last sent to that owner. It
// is resent, since messages may be lost, after planRetryInterval if the server
// does not follow it yet and after planResendInterval otherwise.
func (p *Planner) shouldSend(now time.Time, v view.Server, items []backend.Item) bool {
	last, ok := p.sentPlans[v.Server]
	interval := planResendInterval
	if slices.ContainsFunc(items, func(i backend.Item) bool { return !v.Holds(i) }) {
		interval = planRetryInterval
	}
	if ok && last.owner == v.Owner && now.Sub(last.at) < interval && slices.Equal(last.items, items) {
		return false
	}
	if p.sentPlans == nil {
		p.sentPlans = map[string]sentPlan{}
	}
	p.sentPlans[v.Server] = sentPlan{owner: v.Owner, items: items, at: now}
	return true
}

// applyPlan passes a plan to this node's owner.
func (p *Planner) applyPlan(m planMessage) {
	for server, items := range m.Plan {
		p.SetPlan(server, items)
	}
}

// Receive handles a message of kind KindDemand or KindPlan. Messages that can't be
// decoded are ignored, since the next one follows soon.
func (p *Planner) Receive(from string, f peer.Frame) {
	switch f.Kind {
	case cluster.KindDemand:
		var m demandMessage
		if f.Decode(&m) == nil {
			p.addReport(from, m.Demand)
		}
	case cluster.KindPlan:
		var m planMessage
		if f.Decode(&m) == nil {
			p.applyPlan(m)
		}
	}
}

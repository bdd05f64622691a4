package placer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"guavapaddle/core/fleet"
	"guavapaddle/core/leader"
	"guavapaddle/core/loads"
	"guavapaddle/core/poison"
	"guavapaddle/core/residency"
	"guavapaddle/core/revision"
	"guavapaddle/core/software"
	"guavapaddle/internal/hub"
	"guavapaddle/platform"
)

const (
	// planInterval is the time between two plans.
	planInterval = 250 * time.Millisecond
	// settleTime is the delay between the acquisition of the lease and the first plan: it
	// takes this long until the reports of all nodes have arrived.
	settleTime = 600 * time.Millisecond
	// demandDecay is the time in which recorded demand decays to a third.
	demandDecay = 3 * time.Second
	// minDemand is the demand, in prompt tokens per second, below which a model's record is
	// deleted.
	minDemand = 1.0
	// orderTimeout limits the wait for the reply to an order.
	orderTimeout = 700 * time.Millisecond
	// orderLifetime is how long an order without a reply may still be executed: engines
	// execute orders up to twelve seconds late.
	orderLifetime = 13 * time.Second
	// engineBackoff is how long an engine gets no orders after one failed.
	engineBackoff = 400 * time.Millisecond
	// minMeasuredLoad is the load, in slots, from which on measured demand replaces the
	// assumed load. It corresponds to half a dozen requests per second.
	minMeasuredLoad = 8.0
	// memoryMarginMB is kept free in addition to everything that is accounted for.
	memoryMarginMB = 1.0
)

type (
	// Store accesses the row of the lease.
	Store interface {
		ReadOne(ctx context.Context, table, key string) (platform.Row, error)
		Change(ctx context.Context, c platform.Change) (rows []platform.Row, at revision.Revision, ok bool, err error)
	}

	// Engines calls the model engines.
	Engines interface {
		SendOrder(ctx context.Context, s fleet.Server, o platform.Order) (platform.Verdict, error)
		Report(ctx context.Context, s fleet.Server) (platform.Report, error)
	}

	// Placer acquires the lease and sends orders while it is the leader. Its exported fields
	// are set before Run.
	Placer struct {
		Store           Store
		Engines         Engines
		Hub             *hub.Hub
		Elector         *leader.Elector
		Clock           func() time.Duration // monotonic, also runs while the machine is suspended
		Log             *zap.Logger
		Fencing         bool          // engines reject orders with an outdated epoch
		Window          time.Duration // over which loads from the weight store are counted
		LeaderReachable func() bool   // reports whether the leader replied recently
		Isolated        func() bool   // reports whether this node has lost its path to the engines, nil for never
		UsesRelay       func() bool   // reports whether another node passes the lease on to this one, nil for never
		OnVerdict       func(verdict string)
		OnElected       func() // called when the lease was acquired
		// Software returns the versions of the servers' software that have served lately, which the lease passes on, and
		// OnSoftware is called with those of another node's lease. They may be nil.
		Software   func() software.Ages
		OnSoftware func(software.Ages)
		// Blocks returns the blocks of requests that crash servers and the crashes that may lead to others, which the lease passes on,
		// and OnBlocks is called with those of another node's lease. They may be nil.
		Blocks   func() ([]poison.Block, []poison.Crash)
		OnBlocks func([]poison.Block, []poison.Crash)
		// WaitingWithoutCopy returns the number of requests that wait for a model without a copy, or without one at the software version
		// that they need, and OnUnplaceable is called with the models for which there is no place at such a version. It may be nil.
		WaitingWithoutCopy func() map[hub.Item]int
		OnUnplaceable      func([]hub.Item)
		LimitedModels      func() map[string]bool      // models all of whose servers are at their rate limit, nil for none
		OnResidency        func(n hub.ResidencyUpdate) // called when the content of an engine has changed

		mu           sync.Mutex
		writeSem     *semaphore.Weighted // serializes writes of the lease row; acquired before mu
		config       *fleet.Config
		servers      map[string]fleet.Server
		byModel      map[string][]string // IDs of the servers whose entries list a model
		engines      map[string]*engine
		demand       map[string]float64 // prompt tokens per second, by model
		priorLoad    map[string]float64 // load assumed before there is demand
		slotTimes    residency.SlotTimes
		waiting      map[string]int
		resuming     map[hub.Item]int // streams that wait for a model at servers of a software version
		limited      map[string]bool
		starvedSince map[string]map[string]time.Time // since when models without a copy have been requested, by service
		decayedAt    time.Time
		loads        *loads.Budget // of the weight store
		loadOrdered  bool          // a load from the store was ordered since this node became leader
		assumeLoads  bool          // the previous leader may have started more loads than it recorded
		termStart    time.Time
		renewedAt    time.Duration
		failedAt     time.Duration
		released     bool          // the lease is being released, or was by Release
		stopped      bool          // Release was called
		isolatedAt   time.Duration // since when this node has been isolated, zero if it isn't
		relays       leader.Lease  // the relays of this node's term as leader; its other fields are zero
		// relaysChanged means that the lease is to be written because of its relays.
		relaysChanged bool
		writes        int64 // number of attempted writes of the lease row
	}

	// engine is the leader's record of one engine, in addition to its entry in the store.
	engine struct {
		callSem *semaphore.Weighted // held during a call to the engine

		// The remaining fields are guarded by Placer.mu.
		sequence       int64 // number of accepted orders, negative if unknown
		loading        string
		inherited      bool // loading was recorded by the previous leader
		unloading      string
		reservedFor    string // model that memory was freed for
		reservedReason residency.Reason
		evicted        string // model that was unloaded for it
		changedAt      time.Time
		blockedUntil   time.Time
		unanswered     *residency.Move        // move whose order got no reply
		accepted       bool                   // the engine has accepted the order of the last move
		late           map[string]unackedLoad // models that the engine may still load by orders from before the record was renewed
		adapters       map[string]time.Time   // held or loading, with the time of the last use
		orderedAt      map[string]time.Time   // time of the last load order, by adapter
		unacked        map[string]unackedLoad // adapters whose load orders got no reply
		orderAccepted  bool                   // the engine has accepted an order of this leader
		adaptersKnown  bool                   // adapters were read from a report of the engine
		stale          bool                   // the record has to be read again
		reading        bool                   // a report is being read
		reads          int                    // number of reports read into this record
		plannedReads   int                    // value of reads when the last move was planned
	}
)

// Run maintains the lease and, while this node is the leader, manages the engines. It
// returns when ctx ends.
func (p *Placer) Run(ctx context.Context) {
	p.mu.Lock()
	p.loads = p.newBudget()
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.runLease(ctx) })
	wg.Go(func() { p.runPlans(ctx) })
	wg.Wait()
}

// newBudget returns an empty budget of loads from the weight store.
func (p *Placer) newBudget() *loads.Budget {
	return &loads.Budget{Window: p.Window, OrderLifetime: orderLifetime}
}

// SetConfig sets the configuration.
func (p *Placer) SetConfig(c *fleet.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = c
}

// SetServers sets the list of backend servers. Of a server that has restarted, or whose entry is gone, the record keeps
// what may still be executed late.
func (p *Placer) SetServers(list []fleet.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	previous := p.servers
	p.servers = make(map[string]fleet.Server, len(list))
	p.byModel = map[string][]string{}
	for _, s := range list {
		for _, h := range s.Resident {
			p.byModel[h.Model] = append(p.byModel[h.Model], s.ID)
		}
		if e := p.engines[s.ID]; e != nil && previous[s.ID].StartedAtMS != s.StartedAtMS {
			p.engines[s.ID] = e.renew(now)
		}
		p.servers[s.ID] = s
		if e := p.engines[s.ID]; e != nil {
			e.checkLost(previous[s.ID], s)
			e.reconcile(s)
		}
	}
	for id, e := range p.engines {
		if _, ok := p.servers[id]; ok {
			continue
		}
		if _, ok := previous[id]; ok {
			e = e.renew(now)
			p.engines[id] = e
		}
		if e.hasNoUnacked(now) && e.callSem.TryAcquire(1) { // no call is under way
			e.callSem.Release(1)
			delete(p.engines, id)
		}
	}
}

// checkLost has the record read again if the entry lacks a model that the one before listed, and which the engine wasn't ordered to
// unload: the store may have been restored from a copy, and the engine still holds the model.
func (e *engine) checkLost(before, s fleet.Server) {
	for _, h := range before.Resident {
		if h.Model != e.unloading && !s.Holds(h.Model, "") {
			e.stale = true
		}
	}
}

// reconcile clears the moves that the entry shows as completed.
func (e *engine) reconcile(s fleet.Server) {
	if e.loading != "" && s.Holds(e.loading, "") {
		e.loading, e.inherited = "", false
	}
	if e.reservedFor != "" && s.Holds(e.reservedFor, "") {
		e.reservedFor = ""
	}
	if e.unloading != "" && !s.Holds(e.unloading, "") {
		e.unloading = ""
	}
}

// leaderActive reports whether this node need not read the lease row: another node is leader
// and replies, or has renewed the lease recently. Without the second condition each node
// read the row two or three times after a start of all nodes, while the leader was still
// accepting their connections.
func (p *Placer) leaderActive() bool {
	if p.UsesRelay != nil && p.UsesRelay() {
		return true
	}
	p.mu.Lock()
	l, known := p.Elector.Leader()
	renewed := p.Elector.RecentlyRenewed(p.Clock())
	p.mu.Unlock()
	free := known && l.Node == ""
	return !free && (renewed || p.LeaderReachable())
}

// engine returns the record of an engine and creates it if necessary; p.mu is held.
func (p *Placer) engine(id string) *engine {
	if p.engines == nil {
		p.engines = map[string]*engine{}
	}
	e := p.engines[id]
	if e == nil {
		e = newEngine()
		p.engines[id] = e
	}
	return e
}

// newEngine returns the record of an engine of which nothing is known yet.
func newEngine() *engine {
	return &engine{callSem: semaphore.NewWeighted(1), sequence: -1,
		adapters: map[string]time.Time{}, orderedAt: map[string]time.Time{}, unacked: map[string]unackedLoad{}, late: map[string]unackedLoad{}}
}

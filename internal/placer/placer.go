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
	"guavapaddle/core/residency"
	"guavapaddle/internal/hub"
	"guavapaddle/platform"
)

const (
	// planEvery is how often a plan is made.
	planEvery = 250 * time.Millisecond
	// settle is how long after taking the lease the first plan is made: the
	// nodes' reports take that long to come.
	settle = 600 * time.Millisecond
	// demandLife is the time in which the memory of demand falls to a third.
	demandLife = 3 * time.Second
	// demandLeast is the demand, in prompt tokens a second, that is forgotten.
	demandLeast = 1.0
	// orderTimeout bounds the answer to an order.
	orderTimeout = 700 * time.Millisecond
	// unsettled is how long an order without an answer may still be carried
	// out: they come up to twelve seconds late.
	unsettled = 13 * time.Second
	// pause is how long an engine gets no orders after one failed.
	pause = 400 * time.Millisecond
	// priorUntil is the load, in slots, from which on demand is believed: half a
	// dozen requests a second.
	priorUntil = 8.0
	// slackMB is kept free beside all that is counted.
	slackMB = 1.0
)

type (
	// Store keeps the row of the lease.
	Store interface {
		ReadOne(ctx context.Context, table, key string) (platform.Row, error)
		Change(ctx context.Context, c platform.Change) (rows []platform.Row, version int64, ok bool, err error)
	}

	// Engines speaks to the model engines.
	Engines interface {
		Give(ctx context.Context, s fleet.Server, o platform.Order) (platform.Verdict, error)
		Report(ctx context.Context, s fleet.Server) (platform.Report, error)
	}

	// Placer takes the lease and gives orders while it holds it. Its exported
	// fields are set before Run.
	Placer struct {
		Store     Store
		Engines   Engines
		Hub       *hub.Hub
		Keeper    *leader.Elector
		Clock     func() time.Duration // never stands still
		Log       *zap.Logger
		Fencing   bool          // engines refuse orders with an old epoch
		Window    time.Duration // over which loads from the weight store are counted
		Reachable func() bool   // the holder answered of late
		Ordered   func(verdict string)
		Began     func()                 // the lease was won
		Lacking   func() map[string]int  // requests that wait for a model without a copy
		Limited   func() map[string]bool // models whose servers take no more requests, nil for none
		Noted     func(n hub.Note)       // what an engine holds has changed

		mu       sync.Mutex
		writing  *semaphore.Weighted // of the lease's row; taken before mu
		config   *fleet.Config
		servers  map[string]fleet.Server
		engines  map[string]*engine
		demand   map[string]float64 // prompt tokens a second, by model
		prior    map[string]float64 // load that is supposed before there is demand
		slots    residency.SlotTimes
		waiting  map[string]int
		limited  map[string]bool
		starved  map[string]map[string]time.Time // since when models are asked for that no server holds, by service
		decayed  time.Time
		loads    *loads.Budget // from the weight store
		loaded   bool          // one was ordered since this node took the lease
		silent   bool          // the holder before may have begun more than it told
		tookOver time.Time
		wonAt    time.Duration
		failedAt time.Duration
		released bool
	}

	// engine is what the holder knows of one engine beside its entry.
	engine struct {
		turn *semaphore.Weighted // held while a call to the engine is under way

		// The rest is guarded by the placer's.

		sequence  int64 // orders accepted, below zero if unknown
		coming    string
		inherited bool // coming was told by the holder before
		going     string
		kept      string // model that room was made for
		keptWhy   residency.Reason
		victim    string // model whose copy made the room
		since     time.Time
		blocked   time.Time
		open      *residency.Move      // an order without an answer
		adapters  map[string]time.Time // held or coming, with the last use
		ordered   map[string]time.Time // adapters, with the last order
		late      map[string]lateLoad  // adapters whose loads got no answer
		accepted  bool                 // the engine has accepted an order of this holder
		known     bool                 // adapters were read from a report
		stale     bool                 // and have to be again
		reading   bool                 // its report is being read
		reads     int                  // reports that the ledger was read from
		planned   int                  // reads when its last move was planned
	}
)

// Run looks after the lease and, while it is held, after the engines.
func (p *Placer) Run(ctx context.Context) {
	p.mu.Lock()
	p.loads = p.noLoads()
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.keepLease(ctx) })
	wg.Go(func() { p.plan(ctx) })
	wg.Wait()
}

// noLoads returns an empty count of loads.
func (p *Placer) noLoads() *loads.Budget {
	return &loads.Budget{Window: p.Window, OrderLifetime: unsettled}
}

// Config takes in a configuration.
func (p *Placer) Config(c *fleet.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config = c
}

// Servers takes in the list of backend servers. One that has started again holds
// nothing of what the ledger says, and counts its orders anew.
func (p *Placer) Servers(list []fleet.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.servers
	p.servers = make(map[string]fleet.Server, len(list))
	for _, s := range list {
		if before[s.ID].StartedAtMS != s.StartedAtMS {
			delete(p.engines, s.ID)
		}
		p.servers[s.ID] = s
		if e := p.engines[s.ID]; e != nil {
			e.follow(s)
		}
	}
	for id := range p.engines {
		if _, ok := p.servers[id]; !ok {
			delete(p.engines, id)
		}
	}
}

// follow settles what the entry shows as done.
func (e *engine) follow(s fleet.Server) {
	if e.coming != "" && s.Holds(e.coming, "") {
		e.coming, e.inherited = "", false
	}
	if e.kept != "" && s.Holds(e.kept, "") {
		e.kept = ""
	}
	if e.going != "" && !s.Holds(e.going, "") {
		e.going = ""
	}
}

// reachable tells whether this node needn't look for the lease: somebody holds it
// and answers, or has taken it just now. After a start of all nodes each read the row two
// or three times while the holder still took their connections.
func (p *Placer) reachable() bool {
	p.mu.Lock()
	l, known := p.Keeper.Leader()
	settled := p.Keeper.RecentlyRenewed(p.Clock())
	p.mu.Unlock()
	free := known && l.Node == ""
	return !free && (settled || p.Reachable())
}

// engine returns the ledger of an engine; p.mu is held.
func (p *Placer) engine(id string) *engine {
	if p.engines == nil {
		p.engines = map[string]*engine{}
	}
	e := p.engines[id]
	if e == nil {
		e = &engine{turn: semaphore.NewWeighted(1), sequence: -1,
			adapters: map[string]time.Time{}, ordered: map[string]time.Time{}, late: map[string]lateLoad{}}
		p.engines[id] = e
	}
	return e
}

package residency

import (
	"slices"
	"sort"
	"time"

	"guavapaddle/core/fleet"
)

const (
	// MinGain is the factor by which a move must increase the load that a copy serves, so that
	// two busy models do not replace each other whenever their load fluctuates.
	MinGain = 1.3
	// minActiveLoad is the load, in slots, below which a model counts as not in use. One
	// prompt token a second takes about a thousandth of a slot.
	minActiveLoad = 0.001
	// minLoadPerCopy is the minimum load, in slots, for a further copy. With a minimum near
	// zero, 40 of 90 engines were loading continuously without any requests for those
	// models.
	minLoadPerCopy = 0.3
	// declaredLoad is the load, in slots, assumed for a model without a copy before there is
	// demand. It exceeds the assumed load of two copies, so that a surplus copy is evicted
	// for the model.
	declaredLoad = 3 * priorLoadPerCopy
	// serversPerMove limits concurrent moves to one in serversPerMove servers: each of them
	// has one place less while its move lasts.
	serversPerMove = 2
)

// Reason is the reason for a move.
type Reason string

const (
	// Requested means that requests wait for a model without a copy.
	Requested Reason = "asked-for"
	// Limited means that all copies of a model are on servers that accept no more requests.
	Limited Reason = "limited"
	// Declared means that a declared model has no copy.
	Declared Reason = "declared"
	// Busy means that the load per copy of the model is far higher than that of others.
	Busy Reason = "busy"
	// MakeRoom means that the copy is evicted to make room for another model.
	MakeRoom Reason = "room"
	// Spread means that the copy moves from an engine with several busy models to one with
	// none.
	Spread Reason = "spread"
	// Undeclared means that the configuration no longer has the model.
	Undeclared Reason = "undeclared"
)

type (
	// Server is an engine with what is, or may be, in its memory.
	Server struct {
		fleet.Server
		Loading        string   // model that is, or may be, loading
		Unloading      string   // model that is, or may be, unloading
		Late           []string // models that may still be loaded by orders that an earlier process of the server got
		ReservedFor    string   // model that room is reserved, or being made, for
		ReservedReason Reason   // reason for the reservation: MakeRoom or Spread
		Evicted        string   // model that was evicted to make the room
		Blocked        bool     // cannot take orders now

		SinceLastMove time.Duration // time since its last move
	}

	// Input holds everything that a plan depends on.
	Input struct {
		Engine     fleet.Engine
		Servers    []Server
		Load       map[string]float64       // engine slots that the demand occupies, by model
		Waiting    map[string]int           // requests waiting, by model without a copy
		Starved    map[string]time.Duration // time for which a model has been requested without a copy
		Limited    map[string]bool          // models whose servers accept no more requests under the rate limits that they announce
		Resuming   map[ModelAt]int          // streams that wait for a model at servers of the software version that began them
		StoreLoads int                      // number of loads from the weight store that may start now

		LoadAssumed bool // there is no demand yet, and Load comes from PriorLoad
	}

	// Move is an order to load or unload a model.
	Move struct {
		Server fleet.Server
		Model  string
		Load   bool
		Store  bool // from the weight store
		Reason Reason
		For    string // for an unload: model that the room is for
	}

	planner struct {
		in                Input
		copies            map[string]int // held or loading, not unloading
		serving           map[string]int // copies that can serve requests now
		reserved          map[string]int // copies that room is reserved or being made for
		reservedFromStore int            // reserved copies that will come from the weight store
		moving            int
		localOnly         bool // order loads from memory or disk only
		moves             []Move

		sizes          Sizes
		serversByModel map[string][]*Server // servers that held each model when planning started
		overcommitted  bool                 // there are more models than places
		ranking        *ranking             // set while rebalance runs
		withRoom       []*Server            // superset of the servers with room
	}
)

// newPlanner returns a planner with the copies that the servers have.
func newPlanner(in Input) *planner {
	in.Servers = slices.Clone(in.Servers)
	p := &planner{in: in, copies: map[string]int{}, serving: map[string]int{}, reserved: map[string]int{}, sizes: NewSizes(in.Engine)}
	p.overcommitted = len(in.Engine.Models) > p.totalPlaces()
	p.serversByModel = make(map[string][]*Server, len(in.Engine.Models))
	for i := range in.Servers {
		s := &in.Servers[i]
		if s.Loading != "" {
			p.copies[s.Loading]++
		}
		if s.Loading != "" || s.Unloading != "" {
			p.moving++
		}
		for _, h := range s.Resident {
			if h.Model != s.Unloading && !s.Leaving {
				p.copies[h.Model]++
				p.serving[h.Model]++
				p.serversByModel[h.Model] = append(p.serversByModel[h.Model], s)
			}
		}
	}
	return p
}

// Plan returns the orders to give now, the most urgent first, at most one for each server.
func Plan(in Input) []Move {
	p := newPlanner(in)
	p.unloadUndeclared()
	p.reviewReservations()
	p.loadReserved()
	p.collectServersWithRoom()
	p.placeResuming()
	p.loadLocal()
	p.placeMissing()
	p.placeLimited()
	p.rebalance()
	if p.in.LoadAssumed {
		p.spreadBusyCopies()
	}
	return p.moves
}

// loadLocal fills free memory with models that are in host memory or on disk there: first
// models without a copy, then those with the highest load per copy. A restarted engine
// serves again after 0.8 s this way; a load from the weight store would block these loads
// for 4.2 s.
func (p *planner) loadLocal() {
	p.localOnly = true
	defer func() { p.localOnly = false }()
	for _, m := range p.missing() {
		p.load(m, p.reason(m))
	}
	rank := p.rank()
	for p.anyWithRoom() {
		m, ok := rank.top()
		if !ok {
			return
		}
		if !p.load(m.model, Busy) {
			rank.removeTop()
		}
	}
}

// reason returns the reason for loading a model.
func (p *planner) reason(model string) Reason {
	if p.copies[model] > 0 {
		return Busy
	}
	if p.in.Waiting[model] > 0 || p.in.Load[model] > minActiveLoad {
		return Requested
	}
	return Declared
}

// unloadUndeclared unloads models that the configuration no longer has.
func (p *planner) unloadUndeclared() {
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		for _, h := range s.Resident {
			if _, ok := p.in.Engine.Models[h.Model]; !ok && p.idle(s) {
				p.unload(s, h.Model, Undeclared, "")
			}
		}
	}
}

// missing returns the models without a copy, in descending order of starvedLoad.
func (p *planner) missing() []string {
	var names []string
	for n := range p.in.Engine.Models {
		if p.copies[n] == 0 {
			names = append(names, n)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if x, y := p.starvedLoad(a), p.starvedLoad(b); x != y {
			return x > y
		}
		if x, y := p.in.Waiting[a], p.in.Waiting[b]; x != y {
			return x > y
		}
		return a < b
	})
	return names
}

// placeMissing loads the models without a copy, or begins to make room for them. Room from
// unloads without a reservation is assigned to them in this order.
func (p *planner) placeMissing() {
	unplaced := 0
	for _, m := range p.missing() {
		p.placeModel(m, unplaced)
		if p.copies[m] == 0 && p.reserved[m] == 0 {
			unplaced++
		}
	}
}

// placeModel loads a model that has no copy, or begins to make room for it unless the
// pending unreserved unloads suffice for it and the unplaced models before it.
func (p *planner) placeModel(model string, unplacedBefore int) {
	reason := p.reason(model)
	if p.load(model, reason) {
		return
	}
	if p.reserved[model] > 0 || p.unreservedUnloads() > unplacedBefore {
		return
	}
	newCopyLoad := 0.0
	switch {
	case reason == Requested:
		newCopyLoad = p.starvedLoad(model)
	case p.in.LoadAssumed:
		newCopyLoad = declaredLoad
	}
	p.makeRoom(ModelAt{Model: model}, newCopyLoad, reason == Requested)
}

// load orders a load of a model wherever there is room. See loadAt.
func (p *planner) load(model string, reason Reason) bool {
	return p.loadAt(ModelAt{Model: model}, reason)
}

// loadAt orders a load on the preferred server with room, of any version if m names none, and reports whether there is such
// a server. It reports true as well if the load has to wait for the weight store, since no
// other room is needed then. With localOnly set it orders no loads from the weight store and
// reports false for them.
func (p *planner) loadAt(m ModelAt, reason Reason) bool {
	var best *Server
	model := m.Model
	size := p.sizes.Of(model)
	for _, s := range p.withRoom {
		if !p.available(s) || s.Holds(model, "") || p.freeMemory(s) < size || m.Software != "" && s.Software != m.Software {
			continue
		}
		if best == nil || p.preferredForLoad(s, best, model) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	if p.localOnly && loadSource(best, model) == fromStore {
		return false
	}
	p.orderLoad(best, model, reason) // if refused, the load waits for the weight store
	return true
}

// orderLoad orders a load on a server and reports whether it did; a load from the weight
// store needs budget in Input.StoreLoads.
func (p *planner) orderLoad(s *Server, model string, reason Reason) bool {
	store := loadSource(s, model) == fromStore
	if store && p.in.StoreLoads <= 0 {
		return false
	}
	if store {
		p.in.StoreLoads--
	}
	s.Loading = model
	p.copies[model]++
	p.moving++
	p.moves = append(p.moves, Move{Server: s.Server, Model: model, Load: true, Store: store, Reason: reason})
	return true
}

// preferredForLoad reports whether a is a better server than b for loading the model: one
// with a faster source, then one that is not left with only last copies, then one with less
// load.
func (p *planner) preferredForLoad(a, b *Server, model string) bool {
	if x, y := loadSource(a, model), loadSource(b, model); x != y {
		return x < y
	}
	if x, y := p.stuckAfterLoad(a, model), p.stuckAfterLoad(b, model); x != y {
		return y
	}
	return p.serverLoad(a) < p.serverLoad(b)
}

// serverLoad returns the load of a server: the sum over its models of load per copy.
func (p *planner) serverLoad(s *Server) float64 {
	l := 0.0
	for _, h := range s.Resident {
		l += p.in.Load[h.Model] / float64(max(1, p.copies[h.Model]))
	}
	return l
}

// unreservedUnloads returns the number of unloads in progress whose room is not reserved for
// a model.
func (p *planner) unreservedUnloads() int {
	unloads := 0
	for i := range p.in.Servers {
		if s := &p.in.Servers[i]; s.Unloading != "" && s.ReservedFor == "" {
			unloads++
		}
	}
	return unloads
}

// rebalance moves copies to the models with the highest load per copy while that is
// worthwhile.
func (p *planner) rebalance() {
	p.ranking = p.rank()
	for range p.in.Servers {
		m, ok := p.ranking.top()
		if !ok || !p.load(m.model, Busy) && !p.makeRoom(ModelAt{Model: m.model}, m.load, false) {
			return
		}
		p.reserved[m.model]++
	}
}

func (p *planner) unload(s *Server, model string, reason Reason, forModel string) {
	s.Unloading = model
	p.copies[model]--
	p.serving[model]--
	p.moving++
	p.moves = append(p.moves, Move{Server: s.Server, Model: model, Reason: reason, For: forModel})
	if p.ranking != nil {
		p.ranking.insert(model)
	}
}

// idle reports whether a server has no move in progress and can take orders.
func (p *planner) idle(s *Server) bool { return s.Loading == "" && s.Unloading == "" && !s.Blocked }

// available reports whether a server can take any order: it is idle, stays in the cluster
// and has no reservation.
func (p *planner) available(s *Server) bool { return p.idle(s) && !s.Leaving && s.ReservedFor == "" }

// collectServersWithRoom collects the servers with room for the smallest model. Planning
// only ever consumes room, and for most models there is none; scanning all servers for each
// model took most of the planning time.
func (p *planner) collectServersWithRoom() {
	for i := range p.in.Servers {
		if s := &p.in.Servers[i]; p.available(s) && p.freeMemory(s) >= p.sizes.Smallest() {
			p.withRoom = append(p.withRoom, s)
		}
	}
}

// anyWithRoom reports whether any server may have room, and removes the unavailable ones
// from the list.
func (p *planner) anyWithRoom() bool {
	p.withRoom = slices.DeleteFunc(p.withRoom, func(s *Server) bool { return !p.available(s) })
	return len(p.withRoom) > 0
}

// freeMemory returns the memory of a server in MB that neither its models nor a full set of
// adapters can use.
func (p *planner) freeMemory(s *Server) float64 {
	freeMemory := p.in.Engine.WeightsMB
	for _, h := range s.Resident {
		freeMemory -= p.sizes.Of(h.Model)
	}
	if s.Loading != "" {
		freeMemory -= p.sizes.Of(s.Loading)
	}
	for _, m := range s.Late {
		if m != s.Loading && !s.Holds(m, "") {
			freeMemory -= p.sizes.Of(m)
		}
	}
	return freeMemory - p.sizes.Adapters()
}

const (
	fromMemory = iota
	fromDisk
	fromStore
)

// loadSource returns the fastest source from which a server can load a model.
func loadSource(s *Server, model string) int {
	for _, m := range s.InMemory {
		if m == model {
			return fromMemory
		}
	}
	for _, m := range s.OnDisk {
		if m == model {
			return fromDisk
		}
	}
	return fromStore
}

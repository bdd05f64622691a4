package residency

import (
	"slices"
	"sort"
	"time"

	"guavapaddle/core/fleet"
)

const (
	// Gain is how much more load a copy must serve after a move than before, so
	// that two busy models don't trade places as their load wobbles.
	Gain = 1.3
	// quiet is the load, in slots, below which a model counts as not in use: a
	// prompt token a second takes about a thousandth of a slot.
	quiet = 0.001
	// worthACopy is the load, in slots, that a further copy must get: with next
	// to none 40 of 90 engines were loading all the time while nobody asked.
	worthACopy = 0.3
	// declaredWorth is the load, in slots, that a model counts as while it has no
	// copy and there is no demand: more than two copies are supposed to have.
	declaredWorth = 3 * priorCopy
	// movesAtOnce bounds the servers that change at the same time to one in so
	// many: each has a place less for the seconds of its move.
	movesAtOnce = 2
)

// Why tells what a move is for.
type Why string

const (
	// Asked means that requests wait for a model without a copy.
	Asked Why = "asked-for"
	// Limited means that all copies of a model are at servers that take no more requests.
	Limited Why = "limited"
	// Declared means that a declared model has no copy.
	Declared Why = "declared"
	// Busy means that the model's copies have far more load than others.
	Busy Why = "busy"
	// Room means that the copy makes room for another.
	Room Why = "room"
	// Spread means that the copy goes from an engine with several busy models to
	// one with none.
	Spread Why = "spread"
	// Undeclared means that the configuration no longer has the model.
	Undeclared Why = "undeclared"
)

type (
	// Server is an engine with what is known to be, or may be, in its memory.
	Server struct {
		fleet.Server
		Coming  string // model that is being loaded or may be
		Going   string // model that is being unloaded or may be
		Kept    string // model that room is, or is being, made for
		KeptWhy Why    // why the room was made: Room or Spread
		Victim  string // model whose copy made the room
		Blocked bool   // takes no orders now

		Settled time.Duration // since the last move there
	}

	// Input is all that a plan depends on.
	Input struct {
		Engine  fleet.Engine
		Servers []Server
		Load    map[string]float64       // slots of engines that the demand takes, by model
		Waiting map[string]int           // requests that wait for a model without a copy
		Starved map[string]time.Duration // for how long models were asked for without a copy
		Limited map[string]bool          // models whose servers take no more requests by the rates that they name
		Stores  int                      // loads from the weight store that may begin now

		Supposed bool // there is no demand yet, and Load is that of Prior
	}

	// Move is one order.
	Move struct {
		Server fleet.Server
		Model  string
		Load   bool
		Store  bool // from the weight store
		Why    Why
		For    string // the model that an unload makes room for
	}

	planner struct {
		in       Input
		copies   map[string]int // held or coming, not going
		anywhere map[string]int // copies that take requests now
		promised map[string]int // copies that room is kept or made for
		queued   int            // those of them that come from the weight store
		moving   int
		quick    bool // only loads from memory or disk
		moves    []Move

		sizes   Sizes
		holders map[string][]*Server // by model, as the plan began
		scarce  bool                 // models outnumber places
		ranking *ranking             // while busy models get further copies
		roomy   []*Server            // all that may have room, and perhaps some that don't any more
	}
)

// Plan returns the orders to give now, the most urgent first. It gives each
// server at most one.
func Plan(in Input) []Move {
	in.Servers = slices.Clone(in.Servers)
	p := &planner{in: in, copies: map[string]int{}, anywhere: map[string]int{}, promised: map[string]int{}, sizes: NewSizes(in.Engine)}
	p.scarce = len(in.Engine.Models) > p.places()
	p.holders = make(map[string][]*Server, len(in.Engine.Models))
	for i := range in.Servers {
		s := &in.Servers[i]
		if s.Coming != "" {
			p.copies[s.Coming]++
		}
		if s.Coming != "" || s.Going != "" {
			p.moving++
		}
		for _, h := range s.Held {
			if h.Model != s.Going && !s.Leaving {
				p.copies[h.Model]++
				p.anywhere[h.Model]++
				p.holders[h.Model] = append(p.holders[h.Model], s)
			}
		}
	}
	p.dropUndeclared()
	p.keep()
	p.fillKept()
	p.findRoom()
	p.fillQuickly()
	p.placeMissing()
	p.placeLimited()
	p.rebalance()
	if in.Supposed {
		p.spread()
	}
	return p.moves
}

// fillQuickly loads into free room what is in memory or on disk there: first
// models without a copy, then those with the most load. An engine that has
// started again serves after 0.8 s so; a load from the weight store would keep
// all others from it for 4.2 s.
func (p *planner) fillQuickly() {
	p.quick = true
	defer func() { p.quick = false }()
	for _, m := range p.missing() {
		p.load(m, p.why(m))
	}
	rank := p.rank()
	for p.hasRoom() {
		m, ok := rank.first()
		if !ok {
			return
		}
		if !p.load(m.model, Busy) {
			rank.drop()
		}
	}
}

// why tells why a model is loaded.
func (p *planner) why(model string) Why {
	if p.copies[model] > 0 {
		return Busy
	}
	if p.in.Waiting[model] > 0 || p.in.Load[model] > quiet {
		return Asked
	}
	return Declared
}

// dropUndeclared unloads models that the configuration no longer has.
func (p *planner) dropUndeclared() {
	for i := range p.in.Servers {
		s := &p.in.Servers[i]
		for _, h := range s.Held {
			if _, ok := p.in.Engine.Models[h.Model]; !ok && p.free(s) {
				p.unload(s, h.Model, Undeclared, "")
			}
		}
	}
}

// missing returns the models without a copy, those that claim most first.
func (p *planner) missing() []string {
	var names []string
	for n := range p.in.Engine.Models {
		if p.copies[n] == 0 {
			names = append(names, n)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if x, y := p.claim(a), p.claim(b); x != y {
			return x > y
		}
		if x, y := p.in.Waiting[a], p.in.Waiting[b]; x != y {
			return x > y
		}
		return a < b
	})
	return names
}

// placeMissing gives the models without a copy one, or begins to make room for them.
// Room that is being made for no model in particular goes to them in their order.
func (p *planner) placeMissing() {
	ahead := 0
	for _, m := range p.missing() {
		p.place(m, ahead)
		if p.copies[m] == 0 && p.promised[m] == 0 {
			ahead++
		}
	}
}

// place gives a model without a copy one, or begins to make room for it beyond what
// the models ahead of it will take.
func (p *planner) place(model string, ahead int) {
	why := p.why(model)
	if p.load(model, why) {
		return
	}
	if p.promised[model] > 0 || p.placesComing() > ahead {
		return
	}
	least := 0.0
	switch {
	case why == Asked:
		least = p.claim(model)
	case p.in.Supposed:
		least = declaredWorth
	}
	p.makeRoom(model, least, why == Asked)
}

// load orders a load where there is room, the quickest first.
func (p *planner) load(model string, why Why) bool {
	var best *Server
	size := p.sizes.Of(model)
	for _, s := range p.roomy {
		if !p.open(s) || s.Holds(model, "") || p.room(s) < size {
			continue
		}
		if best == nil || p.quicker(s, best, model) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	if p.quick && source(best, model) == fromStore {
		return false
	}
	p.begin(best, model, why) // else it waits for the weight store, and needs no other room
	return true
}

// begin orders a load at a server, unless the weight store has none to spare.
func (p *planner) begin(s *Server, model string, why Why) bool {
	store := source(s, model) == fromStore
	if store && p.in.Stores <= 0 {
		return false
	}
	if store {
		p.in.Stores--
	}
	s.Coming = model
	p.copies[model]++
	p.moving++
	p.moves = append(p.moves, Move{Server: s.Server, Model: model, Load: true, Store: store, Why: why})
	return true
}

// quicker tells whether a loads the model faster than b, or as fast without being filled
// with last copies, or with less load beside it.
func (p *planner) quicker(a, b *Server, model string) bool {
	if x, y := source(a, model), source(b, model); x != y {
		return x < y
	}
	if x, y := p.stuckWith(a, model), p.stuckWith(b, model); x != y {
		return y
	}
	return p.shared(a) < p.shared(b)
}

// shared returns the load of a server's models, each divided by its copies.
func (p *planner) shared(s *Server) float64 {
	l := 0.0
	for _, h := range s.Held {
		l += p.in.Load[h.Model] / float64(max(1, p.copies[h.Model]))
	}
	return l
}

// placesComing returns how many unloads under way free a place for whatever model
// is without a copy.
func (p *planner) placesComing() int {
	places := 0
	for i := range p.in.Servers {
		if s := &p.in.Servers[i]; s.Going != "" && s.Kept == "" {
			places++
		}
	}
	return places
}

// rebalance moves copies towards the models with the most load for a copy,
// while that pays.
func (p *planner) rebalance() {
	p.ranking = p.rank()
	for range p.in.Servers {
		m, ok := p.ranking.first()
		if !ok || !p.load(m.model, Busy) && !p.makeRoom(m.model, m.load, false) {
			return
		}
		p.promised[m.model]++
	}
}

func (p *planner) unload(s *Server, model string, why Why, wanted string) {
	s.Going = model
	p.copies[model]--
	p.anywhere[model]--
	p.moving++
	p.moves = append(p.moves, Move{Server: s.Server, Model: model, Why: why, For: wanted})
	if p.ranking != nil {
		p.ranking.add(model)
	}
}

// free tells whether a server can be given an order.
func (p *planner) free(s *Server) bool { return s.Coming == "" && s.Going == "" && !s.Blocked }

// open tells whether a server can be given any order that the plan likes.
func (p *planner) open(s *Server) bool { return p.free(s) && !s.Leaving && s.Kept == "" }

// findRoom finds the servers with room for the smallest model. A plan only ever takes
// room, and for most models there is none: looking at all servers for each of them was
// most of the time that a plan took.
func (p *planner) findRoom() {
	for i := range p.in.Servers {
		if s := &p.in.Servers[i]; p.open(s) && p.room(s) >= p.sizes.Smallest() {
			p.roomy = append(p.roomy, s)
		}
	}
}

// hasRoom tells whether any server may have room, and forgets those that don't.
func (p *planner) hasRoom() bool {
	p.roomy = slices.DeleteFunc(p.roomy, func(s *Server) bool { return !p.open(s) })
	return len(p.roomy) > 0
}

// room returns the memory in MB that neither models nor adapters may need.
func (p *planner) room(s *Server) float64 {
	room := p.in.Engine.WeightsMB
	for _, h := range s.Held {
		room -= p.sizes.Of(h.Model)
	}
	if s.Coming != "" {
		room -= p.sizes.Of(s.Coming)
	}
	return room - p.sizes.Adapters()
}

const (
	fromMemory = iota
	fromDisk
	fromStore
)

// source returns where a server would load a model from.
func source(s *Server, model string) int {
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

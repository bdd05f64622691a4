package balance

import (
	"iter"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"guavapaddle/core/fleet"
	"guavapaddle/core/throttle"
)

const (
	// othersLife is how long a digest of other nodes counts.
	othersLife = 1500 * time.Millisecond
	// reportLife is how long a server's own count counts.
	reportLife = 700 * time.Millisecond
	// noteLife is how long an overlay on a server's entry counts: the entry
	// follows within a heartbeat of 1.2 s and a report's lag.
	noteLife = 3 * time.Second
	// vanishedMost bounds the servers remembered that the list has lost.
	vanishedMost = 256
)

type (
	// Count is what one or more nodes have at a server.
	Count struct {
		Pending int // requests without a first byte of their answer
		Running int
		Tokens  int // prompt tokens of the pending ones
		Granted int // running ones that the granter in office counts itself
	}

	// Picture is what a node knows of all backend servers.
	Picture struct {
		rng     *rand.Rand
		pace    map[string]float64 // by model: time to read a prompt, relative to promptRate
		servers map[string]*server
		groups  map[string][]*server          // by service, in order of ids
		holders map[model]map[string]*holders // found of late, by model and adapter
		fitting []*server                     // reused by each pick
		nodes   int                           // that pick by themselves, 0 if unknown

		ratePart float64 // of the rates that servers name, that is used

		// vanished are servers that the list has lost, the oldest first. Their entries come
		// back when the store has lost them and the servers live.
		vanished []*server
	}

	server struct {
		fleet.Server
		own      Count
		granted  map[int64]int // of the own running ones, by granter
		others   Count
		othersAt time.Time
		report   Count
		reportAt time.Time
		failures int
		avoid    time.Time
		slowness float64
		base     time.Duration // learned time to the first byte, plain services
		notes    map[held]note
		parts    map[string]time.Time
		throttle throttle.Throttle
		rest     time.Time // until when it wants no request from this node
	}

	// held names a model, or an adapter of it.
	held struct{ model, adapter string }

	// holders is the servers of a service that hold an item, as of a time.
	holders struct {
		list []*server
		at   time.Time
		why  Why // there are none
	}

	// model names a model of a service.
	model struct{ service, name string }

	// note overlays the server's entry for one model or adapter.
	note struct {
		held  bool
		until time.Time
	}
)

// New returns an empty picture that draws from rng.
func New(rng *rand.Rand) *Picture {
	return &Picture{rng: rng, pace: map[string]float64{}, servers: map[string]*server{}, groups: map[string][]*server{},
		holders: map[model]map[string]*holders{}, ratePart: 1}
}

// Update replaces the list of servers and keeps what is known of those that
// stay, or come back. One that has started again under its id is new.
func (p *Picture) Update(list []fleet.Server) {
	servers := make(map[string]*server, len(list))
	groups := map[string][]*server{}
	for _, f := range list {
		s := p.servers[f.ID]
		if s == nil {
			s = p.reappeared(f.ID)
		}
		if s == nil || s.Born != f.Born {
			s = &server{slowness: 1, granted: map[int64]int{}, notes: map[held]note{}, parts: map[string]time.Time{},
				throttle: throttle.New(p.rng.Float64())}
		}
		s.Server = f
		servers[f.ID] = s
		if !f.Leaving {
			groups[f.Service] = append(groups[f.Service], s)
		}
	}
	for _, g := range groups {
		sort.Slice(g, func(i, j int) bool { return g[i].ID < g[j].ID })
	}
	for id, s := range p.servers {
		if servers[id] == nil {
			p.vanished = append(p.vanished, s)
		}
	}
	if n := len(p.vanished) - vanishedMost; n > 0 {
		p.vanished = slices.Delete(p.vanished, 0, n)
	}
	p.servers, p.groups = servers, groups
	clear(p.holders)
}

// reappeared returns a server that the list had lost, nil if there is none of that id.
func (p *Picture) reappeared(id string) *server {
	i := slices.IndexFunc(p.vanished, func(s *server) bool { return s.ID == id })
	if i < 0 {
		return nil
	}
	s := p.vanished[i]
	p.vanished = slices.Delete(p.vanished, i, i+1)
	return s
}

// Server returns a server by its id.
func (p *Picture) Server(id string) (fleet.Server, bool) {
	s := p.servers[id]
	if s == nil {
		return fleet.Server{}, false
	}
	return s.Server, true
}

// Models yields the models that a server may hold, by its entry or by what was noted
// since, some of them perhaps twice.
func (p *Picture) Models(id string) iter.Seq[string] {
	return func(yield func(string) bool) {
		s := p.servers[id]
		if s == nil {
			return
		}
		for _, h := range s.Held {
			if !yield(h.Model) {
				return
			}
		}
		for h := range s.notes {
			if h.adapter == "" && !yield(h.model) {
				return
			}
		}
	}
}

// Holds tells whether a server holds a model or adapter, by its entry and by
// what was noted since.
func (p *Picture) Holds(now time.Time, id, model, adapter string) bool {
	s := p.servers[id]
	return s != nil && s.holds(now, held{model, ""}) && (adapter == "" || s.holds(now, held{model, adapter}))
}

// count returns the larger of what the nodes and the server itself tell.
func (s *server) count(now time.Time) Count {
	n := s.own
	if now.Sub(s.othersAt) < othersLife {
		n.Pending += s.others.Pending
		n.Running += s.others.Running
		n.Tokens += s.others.Tokens
	}
	if now.Sub(s.reportAt) < reportLife {
		if s.report.Pending > n.Pending {
			n.Tokens += (s.report.Pending - n.Pending) * 1000
			n.Pending = s.report.Pending
		}
		n.Running = max(n.Running, s.report.Running)
	}
	return n
}

// age returns the age of what other nodes said.
func (s *server) age(now time.Time) time.Duration {
	if s.othersAt.IsZero() {
		return -1
	}
	return now.Sub(s.othersAt)
}

// holds tells whether the server has a model or adapter, by its entry and by
// what was noted since.
func (s *server) holds(now time.Time, h held) bool {
	if n, ok := s.notes[h]; ok && now.Before(n.until) {
		return n.held
	}
	return s.Holds(h.model, h.adapter)
}

// Note overlays a server's entry: it holds, or lacks, a model or adapter.
func (p *Picture) Note(now time.Time, id, name, adapter string, has bool) {
	if s := p.servers[id]; s != nil {
		s.notes[held{name, adapter}] = note{held: has, until: now.Add(noteLife)}
		delete(p.holders, model{s.Service, name})
	}
}

// Report notes a server's own count of its requests.
func (p *Picture) Report(now time.Time, id string, running, waiting int) {
	if s := p.servers[id]; s != nil {
		s.report = Count{Pending: waiting, Running: running}
		s.reportAt = now
	}
}

// LearnLimit takes in what a server said of the rate that it takes. It returns whether that
// changes its limit.
func (p *Picture) LearnLimit(id string, l throttle.Limit) bool {
	l.Rate *= p.ratePart
	s := p.servers[id]
	return s != nil && s.throttle.Learn(l)
}

// Rest notes that a server wants no request from this node until a time.
func (p *Picture) Rest(id string, until time.Time) {
	if s := p.servers[id]; s != nil && until.After(s.rest) {
		s.rest = until
	}
}

// Resting returns the servers of a service that want no request from this node now.
func (p *Picture) Resting(now time.Time, service string) []string {
	var out []string
	for _, s := range p.groups[service] {
		if now.Before(s.rest) {
			out = append(out, s.ID)
		}
	}
	return out
}

// Withheld tells whether a server that was picked must get no request any more, and why:
// it has begun to leave, or wants rest.
func (p *Picture) Withheld(now time.Time, id string) (Why, bool) {
	s := p.servers[id]
	switch {
	case s == nil:
		return Picked, false
	case s.Leaving:
		return Leaving, true
	case now.Before(s.rest):
		return Resting, true
	default:
		return Picked, false
	}
}

// KnownLimits returns what servers said of their rates that name one, or did so since a time.
func (p *Picture) KnownLimits(since time.Time) map[string]throttle.Limit {
	out := map[string]throttle.Limit{}
	for id, s := range p.servers {
		if l := s.throttle.Limit(); l.Active || l.At.After(since) {
			out[id] = l
		}
	}
	return out
}

// SetRatePart sets which part of the rates that servers name from now on is used, above
// zero; all of them if it isn't set.
func (p *Picture) SetRatePart(part float64) { p.ratePart = part }

// SetNodes sets how many nodes pick servers by themselves, which share the rates that
// servers name.
func (p *Picture) SetNodes(nodes int) { p.nodes = nodes }

// Own returns what this node has at each server where it has anything, and what
// of it the granter in office counts itself.
func (p *Picture) Own(granter int64) map[string]Count {
	out := map[string]Count{}
	for id, s := range p.servers {
		if s.own != (Count{}) {
			c := s.own
			c.Granted = s.granted[granter]
			out[id] = c
		}
	}
	return out
}

// Others notes what the other nodes have at the servers together.
func (p *Picture) Others(now time.Time, counts map[string]Count) {
	for id, s := range p.servers {
		s.others = counts[id]
		s.othersAt = now
	}
}

package hub

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/deputy"
	"guavapaddle/core/grant"
	"guavapaddle/internal/follow"
	"guavapaddle/platform"
)

const (
	// reportLife is how long a node's last report counts.
	reportLife = 1500 * time.Millisecond
	// markLife is how long a request that crashed servers is remembered.
	markLife = 60 * time.Second
	// marksMost bounds the marks remembered.
	marksMost = 512
)

type (
	// Item is a model, or an adapter of it, of a service.
	Item = grant.Item

	// Demand is what a node was asked for since its last report.
	Demand struct {
		Item
		Tokens  int // of prompts
		Waiting int // requests that wait for it now
		Ran     Ran // streams that ended
	}

	// Ran sums streams that ended well.
	Ran struct {
		Tokens int           // of their prompts
		Time   time.Duration // in which they took a slot of an engine
	}

	// Note tells that a server holds, or lacks, a model or adapter, before its
	// entry in the store says so.
	Note struct {
		Server  string
		Model   string
		Adapter string
		Held    bool
	}

	// Mark counts the servers that ended while they ran a request.
	Mark struct {
		Fingerprint uint64
		Server      string // incarnation that ended
	}

	// Report is what a node tells the holder.
	Report struct {
		Node   string
		Counts map[string]balance.Count // by server
		Demand []Demand
		Marks  []Mark // new ones
		Known  follow.Known
		Update *follow.Update // what this node has read that the holder hasn't

		Contact time.Duration // since the store last answered this node
		Heard   Heard         // up to where this node was told notes and marks
		Lease   int64         // version of the lease's row that this node has
	}

	// Heard says up to which number a node was told what a hub has taken in.
	Heard struct {
		Hub    uint64 // that counted
		Number uint64
	}

	// Picture is what the holder answers.
	Picture struct {
		Leading bool // the answering node holds the lease
		Deputy  bool // the asking node shall follow the store
		Nodes   int  // that reported of late, the asking one included
		Counts  map[string]balance.Count
		Notes   []Note // those that the asking node wasn't told yet
		Marks   []Mark // likewise
		Heard   Heard
		Update  follow.Update // of the store's tables
		Lease   platform.Row  // as the holder last wrote it, unless the asking node has it
	}

	// Hub merges the reports. The zero value is ready and safe for concurrent
	// use. Self is set before the first report.
	Hub struct {
		Self string // the own node's name

		mu     sync.Mutex
		deputy deputy.Chooser
		nodes  map[string]entry
		notes  []dated[Note]
		marks  []dated[Mark]
		demand []Demand // since the last Demand call
		id     uint64   // of this hub, not zero once it is used
		number uint64   // notes and marks taken in
	}

	entry struct {
		report Report
		at     time.Time
	}

	dated[T any] struct {
		value  T
		at     time.Time
		number uint64
	}
)

// Take takes in a node's report and returns what the others have.
func (h *Hub) Take(now time.Time, r Report) Picture {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.nodes == nil {
		h.nodes = map[string]entry{}
	}
	h.demand = append(h.demand, r.Demand...)
	for _, m := range r.Marks {
		h.marks = append(h.marks, dated[Mark]{m, now, h.next()})
	}
	r.Demand, r.Marks, r.Update = nil, nil, nil
	h.nodes[r.Node] = entry{r, now}
	h.forget(now)
	p := Picture{Leading: true, Nodes: len(h.nodes), Counts: map[string]balance.Count{}, Deputy: h.choose(now) == r.Node}
	for name, e := range h.nodes {
		if name == r.Node {
			continue
		}
		add(p.Counts, e.report.Counts)
	}
	if h.id == 0 {
		h.id = 1 + rand.Uint64N(math.MaxUint64)
	}
	p.Heard = Heard{h.id, h.number}
	after := uint64(0)
	if r.Heard.Hub == h.id {
		after = r.Heard.Number
	}
	p.Notes = since(h.notes, after)
	p.Marks = since(h.marks, after)
	return p
}

// next returns the number of the next note or mark; h.mu is held.
func (h *Hub) next() uint64 {
	h.number++
	return h.number
}

// since returns the values with a higher number. Each node is told each of them
// once: told again for as long as they last, marks and notes were 35 of 95 MB that
// a holder sent to 77 nodes in 20 s.
func since[T any](list []dated[T], number uint64) []T {
	var out []T
	for _, d := range list {
		if d.number > number {
			out = append(out, d.value)
		}
	}
	return out
}

// choose returns the node that follows the store beside this one; h.mu is held.
func (h *Hub) choose(now time.Time) string {
	list := make([]deputy.Candidate, 0, len(h.nodes))
	for name, e := range h.nodes {
		if name != h.Self {
			list = append(list, deputy.Candidate{Node: name, Age: e.report.Contact + now.Sub(e.at)})
		}
	}
	return h.deputy.Choose(now, list)
}

// Note adds a note that all nodes are told for a while.
func (h *Hub) Note(now time.Time, n Note) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notes = append(h.notes, dated[Note]{n, now, h.next()})
}

// Demand returns what was asked for since the last call.
func (h *Hub) Demand() []Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.demand
	h.demand = nil
	return d
}

// Counts returns what all nodes have at each server.
func (h *Hub) Counts() map[string]balance.Count {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]balance.Count{}
	for _, e := range h.nodes {
		add(out, e.report.Counts)
	}
	return out
}

// add adds one node's counts to a sum by server.
func add(sum, counts map[string]balance.Count) {
	for id, c := range counts {
		n := sum[id]
		n.Pending += c.Pending
		n.Running += c.Running
		n.Tokens += c.Tokens
		n.Granted += c.Granted
		sum[id] = n
	}
}

// forget drops what is too old.
func (h *Hub) forget(now time.Time) {
	for name, e := range h.nodes {
		if now.Sub(e.at) > reportLife {
			delete(h.nodes, name)
		}
	}
	h.notes = younger(h.notes, now.Add(-reportLife))
	h.marks = younger(h.marks, now.Add(-markLife))
	if n := len(h.marks) - marksMost; n > 0 {
		h.marks = h.marks[n:]
	}
}

// younger returns the values that are not older than at; they are in order.
func younger[T any](list []dated[T], at time.Time) []dated[T] {
	for len(list) > 0 && list[0].at.Before(at) {
		list = list[1:]
	}
	return list
}

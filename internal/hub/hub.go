package hub

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/departure"
	"guavapaddle/core/deputy"
	"guavapaddle/core/grant"
	"guavapaddle/core/quota"
	"guavapaddle/core/throttle"
	"guavapaddle/internal/follow"
	"guavapaddle/platform"
)

const (
	// reportLife is how long a node's last report counts.
	reportLife = 1500 * time.Millisecond
	// LimitLife is how long nodes tell each other what a server said of its rate.
	LimitLife = 10 * time.Second
	// markLife is how long a request that crashed servers is remembered.
	markLife = 60 * time.Second
	// marksMost bounds the marks remembered.
	marksMost = 512
	// tidyEvery is how often old reports are dropped and the deputy is looked at, which
	// takes a look at all nodes.
	tidyEvery = 50 * time.Millisecond
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

	// Contact is where a node is reached, the fingerprint of its certificate, and the
	// processor that it may use.
	Contact struct {
		Address string
		Key     string
		Cores   float64
	}

	// Report is what a node tells the holder.
	Report struct {
		Node   string
		At     Contact
		Counts map[string]balance.Count // by server
		Demand []Demand
		Marks  []Mark // new ones
		Known  follow.Known
		Update *follow.Update // what this node has read that the holder hasn't

		Contact  time.Duration // since the store last answered this node
		Heard    Heard         // up to where this node was told notes and marks
		Lease    int64         // version of the lease's row that this node has
		Roster   uint64        // up to where this node was told who reports
		Echo     Echo
		Quotas   quota.UsageReport
		Limits   []Limit                 // that servers named to this node, or withdrew of late
		Departed []departure.Incarnation // servers that have said that they leave while their entries don't
	}

	// Limit is what a server said of the rate that it takes.
	Limit struct {
		Server string
		Rate   float64 // requests a second
		Active bool    // the server names it
		Age    time.Duration
	}

	// Echo places what a node read of the store on the clock of the node to which it
	// reports, whatever time the report takes: it names the last answer that came.
	Echo struct {
		Hub   uint64        // that answered, 0 for none
		Stamp time.Duration // of its answer
		After time.Duration // from the answer's arrival until the configuration was the newest for certain
	}

	// Heard says up to which number a node was told what a hub has taken in.
	Heard struct {
		Hub    uint64 // that counted
		Number uint64
	}

	// Picture is what the holder answers.
	Picture struct {
		Leading  bool     // the answering node holds the lease
		Acting   bool     // the answering node is the deputy, and grants places while nobody holds the lease
		Deputy   bool     // the asking node shall follow the store
		DeputyAt Contact  // of the deputy
		Keys     []string // of all nodes that report, told to the deputy when they have changed
		Roster   uint64   // up to where they are told
		Nodes    int      // that reported of late, the asking one included
		Counts   map[string]balance.Count
		Notes    []Note // those that the asking node wasn't told yet
		Marks    []Mark // likewise
		Heard    Heard
		Stamp    time.Duration           // boot time of the answering node
		Quotas   map[string]quota.State  // by team
		Limits   []Limit                 // that servers named to any node, or withdrew of late
		Departed []departure.Incarnation // that have said so to any node
		Update   follow.Update           // of the store's tables
		Lease    platform.Row            // as the holder last wrote it, unless the asking node has it
	}

	// Hub merges the reports. The zero value is ready and safe for concurrent
	// use. Its exported fields are set before the first report.
	Hub struct {
		Self string // the own node's name
		// Granted tells of a server that requests begin at it where a granter has them
		// begin, so that nodes needn't know what others have there; nil for none.
		Granted func(server string) bool

		mu     sync.Mutex
		deputy deputy.Selector
		chosen string // the deputy
		tidied time.Time
		nodes  map[string]entry
		sum    map[string]balance.Count // of all nodes, by server
		notes  []dated[Note]
		marks  []dated[Mark]
		demand []Demand                  // since the last Demand call
		limits map[string]throttle.Limit // by server
		named  map[string]time.Time      // when a node last reported what is in limits
		id     uint64                    // of this hub, not zero once it is used
		number uint64                    // notes and marks taken in
		roster uint64                    // changes of who reports
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
		h.sum = map[string]balance.Count{}
	}
	h.demand = append(h.demand, r.Demand...)
	for _, m := range r.Marks {
		h.marks = append(h.marks, dated[Mark]{m, now, h.next()})
	}
	h.learn(now, r.Limits)
	r.Demand, r.Marks, r.Update, r.Limits = nil, nil, nil, nil
	before, known := h.nodes[r.Node]
	if !known || before.report.At.Key != r.At.Key {
		h.roster++
	}
	h.drop(r.Node)
	h.nodes[r.Node] = entry{r, now}
	h.add(r.Counts, 1)
	if !known || now.Sub(h.tidied) >= tidyEvery {
		h.tidied = now
		h.forget(now)
		h.choose(now)
	}
	p := Picture{Leading: true, Nodes: len(h.nodes), Counts: h.others(r.Counts), Deputy: h.chosen == r.Node,
		DeputyAt: h.nodes[h.chosen].report.At}
	if h.id == 0 {
		h.id = 1 + rand.Uint64N(math.MaxUint64)
		h.roster += h.id // another hub counts from elsewhere
	}
	if p.Roster = h.roster; p.Deputy && r.Roster != h.roster {
		p.Keys = h.keys()
	}
	p.Heard = Heard{h.id, h.number}
	after := uint64(0)
	if r.Heard.Hub == h.id {
		after = r.Heard.Number
	}
	p.Notes = since(h.notes, after)
	p.Marks = since(h.marks, after)
	p.Limits = Limits(now, h.limits)
	return p
}

// Limits returns what servers said of their rates, as it goes to another node.
func Limits(now time.Time, said map[string]throttle.Limit) []Limit {
	out := make([]Limit, 0, len(said))
	for id, l := range said {
		out = append(out, Limit{Server: id, Rate: l.Rate, Active: l.Active, Age: now.Sub(l.At)})
	}
	return out
}

// Said returns a limit on the clock of the node that it came to.
func (l Limit) Said(now time.Time) throttle.Limit {
	return throttle.Limit{Rate: l.Rate, Active: l.Active, At: now.Add(-l.Age)}
}

// learn takes in what servers said to a node; h.mu is held. A rate is forgotten once no
// node reports it any more, however long ago the server named it.
func (h *Hub) learn(now time.Time, list []Limit) {
	if h.limits == nil {
		h.limits, h.named = map[string]throttle.Limit{}, map[string]time.Time{}
	}
	for _, l := range list {
		if said := l.Said(now); said.At.After(h.limits[l.Server].At) {
			h.limits[l.Server] = said
		}
		h.named[l.Server] = now
	}
}

// keys returns the keys of all nodes that report; h.mu is held. The deputy has to know them
// before it is asked: the store may be out of reach then.
func (h *Hub) keys() []string {
	out := make([]string, 0, len(h.nodes))
	for _, e := range h.nodes {
		out = append(out, e.report.At.Key)
	}
	return out
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

// choose looks for the node that follows the store beside this one; h.mu is held.
func (h *Hub) choose(now time.Time) {
	list := make([]deputy.Candidate, 0, len(h.nodes))
	for name, e := range h.nodes {
		if name != h.Self {
			list = append(list, deputy.Candidate{Node: name, Age: e.report.Contact + now.Sub(e.at), Cores: e.report.At.Cores})
		}
	}
	h.chosen = h.deputy.Select(now, list)
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
	return maps.Clone(h.sum)
}

// others returns what all nodes have but for one, at the servers where no granter says
// where requests begin; h.mu is held. With hundreds of servers the counts of all of them
// were most of what each node was sent.
func (h *Hub) others(own map[string]balance.Count) map[string]balance.Count {
	out := map[string]balance.Count{}
	for id, c := range h.sum {
		if h.Granted != nil && h.Granted(id) {
			continue
		}
		if c = plus(c, own[id], -1); c != (balance.Count{}) {
			out[id] = c
		}
	}
	return out
}

// drop forgets a node's last report; h.mu is held.
func (h *Hub) drop(node string) {
	h.add(h.nodes[node].report.Counts, -1)
	delete(h.nodes, node)
}

// add adds one node's counts to the sum so many times; h.mu is held. The sum is kept,
// since to make it anew for each report takes the product of nodes and servers.
func (h *Hub) add(counts map[string]balance.Count, times int) {
	for id, c := range counts {
		if c = plus(h.sum[id], c, times); c == (balance.Count{}) {
			delete(h.sum, id)
			continue
		}
		h.sum[id] = c
	}
}

// plus returns a sum of counts, the second so many times.
func plus(a, b balance.Count, times int) balance.Count {
	return balance.Count{Pending: a.Pending + times*b.Pending, Running: a.Running + times*b.Running,
		Tokens: a.Tokens + times*b.Tokens, Granted: a.Granted + times*b.Granted}
}

// forget drops what is too old.
func (h *Hub) forget(now time.Time) {
	for name, e := range h.nodes {
		if now.Sub(e.at) > reportLife {
			h.drop(name)
		}
	}
	h.notes = younger(h.notes, now.Add(-reportLife))
	maps.DeleteFunc(h.named, func(_ string, at time.Time) bool { return now.Sub(at) > LimitLife })
	maps.DeleteFunc(h.limits, func(id string, _ throttle.Limit) bool { return h.named[id].IsZero() })
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

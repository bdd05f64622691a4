package ledger_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/lease"
	"guavapaddle/core/ledger"
	"guavapaddle/core/row"
)

const (
	server      = "e1"
	capacity    = 100
	lifetime    = 30 * time.Second
	callTimeout = 2 * time.Second
	loadTime    = 2 * time.Second
)

var items = []backend.Item{
	{Name: "a", Version: "1"}, {Name: "b", Version: "1"}, {Name: "c", Version: "1"}, {Name: "b", Version: "2"},
}

// cost makes any two of the items fit, never three, nor two that load at once.
func cost(backend.Item) ledger.Cost { return ledger.Cost{Bytes: 40, Peak: 15} }

// TestMain fixes rapid's seed unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("4"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

type (
	// world is a table, an engine and two nodes on one clock.
	world struct {
		now      time.Duration
		events   []event
		table    modelTable
		engine   modelEngine
		nodes    []*node
		lifetime time.Duration // stated for the server
		traced   bool
		trace    []string
	}

	event struct {
		at time.Duration
		do func()
	}

	modelTable struct {
		rows     map[string]row.Row
		revision uint64
		down     bool
	}

	// modelEngine never refuses for want of memory: it measures.
	modelEngine struct {
		checks bool
		boot   int
		fence  uint64
		items  map[backend.Item]*held
		done   map[string]bool
		peak   int64
		loads  int
		stale  int
	}

	held struct{ state backend.ItemState }

	// node does what internal/owner does, one call at a time.
	node struct {
		w      *world
		name   string
		starts int
		busy   time.Duration // paused or in a call until then
		book   *lease.Book
		ledger *ledger.Ledger
	}

	// fate is what happens to one call.
	fate struct {
		unsent, transit time.Duration // from the lease check to the send, and then to the effect
		lost, mute      bool          // the call, its answer
		again           time.Duration // a second copy so much later, if not zero
	}
)

func newWorld(checks bool) *world {
	w := &world{lifetime: lifetime}
	w.table.rows = map[string]row.Row{}
	w.engine = modelEngine{checks: checks, items: map[backend.Item]*held{}, done: map[string]bool{}}
	for i := range 2 {
		n := &node{w: w, name: fmt.Sprintf("n%d", i)}
		n.start()
		w.nodes = append(w.nodes, n)
	}
	return w
}

// note adds to the trace that a failure prints.
func (w *world) note(format string, args ...any) {
	if !w.traced {
		return
	}
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{at: w.now + d, do: do})
}

// advance passes time and does what is due, in order.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for {
		next := -1
		for i, e := range w.events {
			if e.at <= end && (next < 0 || e.at < w.events[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		e := w.events[next]
		w.events = slices.Delete(w.events, next, next+1)
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = end
}

func (t *modelTable) commit(tx row.Tx) row.Result {
	var r row.Result
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Revision != c.Revision {
			have := t.rows[c.Key]
			have.Key = c.Key
			r.Conflicts = append(r.Conflicts, have)
		}
	}
	if len(r.Conflicts) > 0 {
		return r
	}
	t.revision++
	for _, x := range tx.Writes {
		delete(t.rows, x.Key)
		if !x.Delete {
			t.rows[x.Key] = row.Row{Key: x.Key, Value: x.Value, Revision: t.revision}
		}
	}
	return row.Result{Committed: true, Revision: t.revision}
}

func (t *modelTable) read(keys ...string) []row.Row {
	out := make([]row.Row, len(keys))
	for i, k := range keys {
		out[i] = t.rows[k]
		out[i].Key = k
	}
	return out
}

func (e *modelEngine) measure() {
	var used int64
	for i, h := range e.items {
		used += cost(i).Bytes
		if h.state == backend.Loading {
			used += cost(i).Peak
		}
	}
	e.peak = max(e.peak, used)
}

func (e *modelEngine) inventory() backend.Inventory {
	inv := backend.Inventory{Server: server, BootID: fmt.Sprint("boot", e.boot), Fence: e.fence, MemoryBytes: capacity}
	for i, h := range e.items {
		inv.Items = append(inv.Items, backend.ItemStatus{Item: i, State: h.state, Bytes: cost(i).Bytes})
	}
	return inv
}

// raise returns false for an old fencing number on an engine that checks.
func (e *modelEngine) raise(fence uint64) bool {
	if !e.checks {
		return true
	}
	if fence < e.fence {
		e.stale++
		return false
	}
	e.fence = fence
	return true
}

func (e *modelEngine) restart() {
	e.boot++
	e.fence, e.items, e.done = 0, map[backend.Item]*held{}, map[string]bool{}
}

// order takes effect now.
func (w *world) order(o backend.Order) ledger.Answer {
	e := &w.engine
	if e.done[o.OrderID] {
		return ledger.Accepted
	}
	if !e.raise(o.Fence) {
		return ledger.NotDone
	}
	w.note("engine does %s %s %s, has %d", o.OrderID, o.Op, o.Item, len(e.items))
	e.done[o.OrderID] = true
	_, there := e.items[o.Item]
	switch {
	case o.Op == backend.Unload:
		delete(e.items, o.Item)
	case !there:
		h := &held{state: backend.Loading}
		e.items[o.Item] = h
		e.loads++
		e.measure()
		fails := e.loads%9 == 0
		w.after(loadTime, func() {
			if e.items[o.Item] != h {
				return
			}
			h.state = backend.Resident
			if fails { // and is forgotten, so that a second copy would load again
				delete(e.items, o.Item)
				delete(e.done, o.OrderID)
			}
		})
	}
	return ledger.Accepted
}

// start makes the node new, as after a crash.
func (n *node) start() {
	n.starts++
	n.book = lease.NewBook(lease.Settings{Node: n.name, Incarnation: fmt.Sprint(n.starts)})
	n.reset()
	n.busy = 0
}

func (n *node) reset() {
	n.ledger = ledger.New(ledger.Settings{Server: server, Capacity: capacity, Checks: n.w.engine.checks,
		Lifetime: n.w.lifetime, Cost: cost})
}

// transact commits a transaction with a fate; late ones commit after their
// answer was given up.
func (n *node) transact(tx row.Tx, f fate) {
	t := &n.w.table
	if t.down || f.lost {
		return
	}
	if f.transit > callTimeout {
		n.w.after(f.transit, func() { t.commit(tx) })
		n.pause(callTimeout)
		n.w.after(callTimeout, n.alive(func() {
			if !t.down {
				n.book.Observe(n.w.now, t.read(n.book.Keys(tx)...)...)
			}
		}))
		return
	}
	r := t.commit(tx)
	switch {
	case f.mute:
		n.book.Observe(n.w.now, t.read(n.book.Keys(tx)...)...)
	case r.Committed:
		n.book.Committed(n.w.now, tx, r.Revision)
	default:
		n.book.Observe(n.w.now, r.Conflicts...)
	}
}

// alive returns f bound to this start of the node.
func (n *node) alive(f func()) func() {
	starts := n.starts
	return func() {
		if n.starts == starts {
			f()
		}
	}
}

func (n *node) pause(d time.Duration) { n.busy = max(n.busy, n.w.now+d) }

func (n *node) renew(f fate) { n.transact(n.book.Renew(n.w.now), f) }

func (n *node) take(f fate) {
	if n.w.table.down {
		return
	}
	n.book.Observe(n.w.now, n.w.table.read(n.book.Watch(server)...)...)
	_, held := n.book.Held(server)
	if tx, ok := n.book.Take(n.w.now, server, 0); ok && (!held || f.mute) { // now and then the next epoch
		n.transact(tx, f)
	}
}

// poll adopts the server under a new epoch or reads its inventory.
func (n *node) poll() {
	epoch, held := n.book.Held(server)
	if !held {
		return
	}
	if n.ledger.Epoch() == epoch {
		e := &n.w.engine
		_, running := n.book.MaySend(n.w.now, server)
		if inv := e.inventory(); n.ledger.Observe(n.w.now, n.w.now, inv) && running {
			e.raise(epoch)
		}
		return
	}
	// The fence is raised only under a running lease: an engine that restarted
	// has forgotten that a rival raised it.
	if _, running := n.book.MaySend(n.w.now, server); !running || epoch < n.ledger.Epoch() || !n.w.engine.raise(epoch) {
		return
	}
	r, _ := n.book.Row(server)
	var records []ledger.Record
	if len(r.Orders) > 0 && json.Unmarshal(r.Orders, &records) != nil {
		panic("orders in row")
	}
	n.w.note("%s adopts %d with %v", n.name, epoch, records)
	n.ledger.Adopt(n.w.now, epoch, n.w.engine.inventory(), records)
}

// give orders an item, or sends its unsettled order again.
func (n *node) give(item backend.Item, f fate) {
	entry := n.ledger.Entry(item)
	op := backend.Load
	if entry.State == ledger.Resident {
		op = backend.Unload
	}
	order, again := n.ledger.Resend(item)
	if !again {
		var err error
		if order, err = n.ledger.Reserve(n.w.now, op, item, cost(item), nil); err != nil {
			return
		}
	}
	if !n.w.engine.checks && !n.record() || !n.permit() {
		n.ledger.Cancel(n.w.now, order.OrderID)
		return
	}
	n.send(order, f)
}

// permit is the check immediately before a send. In an outage of the table the
// owner of a server that checks goes on.
func (n *node) permit() bool {
	epoch, running := n.book.MaySend(n.w.now, server)
	if running {
		return epoch == n.ledger.Epoch()
	}
	epoch, held := n.book.Held(server)
	e := &n.w.engine
	return n.w.table.down && e.checks && held && epoch == n.ledger.Epoch() && e.fence == epoch && e.inventory().BootID == n.ledger.Boot()
}

func (n *node) record() bool {
	var orders json.RawMessage
	if records := n.ledger.Records(); len(records) > 0 {
		orders, _ = json.Marshal(records)
	}
	tx, ok := n.book.Record(server, orders)
	if !ok || n.w.table.down {
		return false
	}
	n.transact(tx, fate{})
	r, _ := n.book.Row(server)
	_, held := n.book.Held(server)
	return held && bytes.Equal(r.Orders, orders)
}

// send puts an order on its way.
func (n *node) send(o backend.Order, f fate) {
	n.w.note("%s sends %s %s %s %+v", n.name, o.OrderID, o.Op, o.Item, f)
	n.ledger.Sending(n.w.now, o.OrderID)
	done := false
	l := n.ledger
	answer := func(a ledger.Answer) func() {
		return n.alive(func() {
			if !done && n.ledger == l {
				done = true
				l.Answered(n.w.now, o.OrderID, a)
			}
		})
	}
	n.w.after(f.unsent, func() {
		if f.lost {
			return
		}
		boot := n.w.engine.boot // the connection dies with it
		arrive := func() {
			if boot != n.w.engine.boot {
				return
			}
			if a := n.w.order(o); !f.mute {
				answer(a)()
			}
		}
		n.w.after(f.transit, arrive)
		if f.again > 0 {
			n.w.after(f.transit+f.again, arrive)
		}
	})
	n.pause(f.unsent + min(f.transit, callTimeout))
	n.w.after(f.unsent+callTimeout, answer(ledger.Unknown))
}

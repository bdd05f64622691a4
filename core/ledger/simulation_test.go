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

// cost lets any two items fit, but neither three items nor two that load at the
// same time.
func cost(backend.Item) ledger.Cost { return ledger.Cost{Bytes: 40, Peak: 15} }

// TestMain sets a fixed seed for the property tests unless one is given.
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
	// simulation models a table, an engine and two nodes with a common clock.
	simulation struct {
		now      time.Duration
		events   []event
		table    modelTable
		engine   modelEngine
		nodes    []*node
		lifetime time.Duration // of orders, as configured for the server
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

	// modelEngine measures its memory use and never refuses an order because
	// memory is short.
	modelEngine struct {
		checks      bool
		boot        int
		fence       uint64
		items       map[backend.Item]*loadedItem
		done        map[string]bool
		peak        int64
		loads       int
		staleOrders int
	}

	loadedItem struct{ state backend.ItemState }

	// node does what package internal/owner does, but one call at a time.
	node struct {
		w         *simulation
		name      string
		starts    int
		busyUntil time.Duration // the node is paused or in a call until then
		registry  *lease.Registry
		ledger    *ledger.Ledger
	}

	// fault is the set of faults that affect one call. The zero value is none.
	fault struct {
		sendDelay, transitDelay time.Duration // from the lease check to the send, and from there to the effect
		callLost, replyLost     bool          // whether the call or its reply is lost
		duplicateAfter          time.Duration // delay of a duplicate of the call; zero means none
	}
)

func newSimulation(checks bool) *simulation {
	w := &simulation{lifetime: lifetime}
	w.table.rows = map[string]row.Row{}
	w.engine = modelEngine{checks: checks, items: map[backend.Item]*loadedItem{}, done: map[string]bool{}}
	for i := range 2 {
		n := &node{w: w, name: fmt.Sprintf("n%d", i)}
		n.start()
		w.nodes = append(w.nodes, n)
	}
	return w
}

// tracef adds a line to the trace, which is printed if the test fails.
func (w *simulation) tracef(format string, args ...any) {
	if !w.traced {
		return
	}
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.events = append(w.events, event{at: w.now + d, do: do})
}

// advance advances the clock and runs the events that become due, in order.
func (w *simulation) advance(d time.Duration) {
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

// raiseFence raises the fence. It returns false if the engine checks fencing
// numbers and this one is outdated.
func (e *modelEngine) raiseFence(fence uint64) bool {
	if !e.checks {
		return true
	}
	if fence < e.fence {
		e.staleOrders++
		return false
	}
	e.fence = fence
	return true
}

func (e *modelEngine) restart() {
	e.boot++
	e.fence, e.items, e.done = 0, map[backend.Item]*loadedItem{}, map[string]bool{}
}

// order executes o at the engine.
func (w *simulation) order(o backend.Order) ledger.CallResult {
	e := &w.engine
	if e.done[o.OrderID] {
		return ledger.Accepted
	}
	if !e.raiseFence(o.Fence) {
		return ledger.NotDone
	}
	w.tracef("engine executes %s %s %s, holds %d items", o.OrderID, o.Op, o.Item, len(e.items))
	e.done[o.OrderID] = true
	_, present := e.items[o.Item]
	switch {
	case o.Op == backend.Unload:
		delete(e.items, o.Item)
	case !present:
		h := &loadedItem{state: backend.Loading}
		e.items[o.Item] = h
		e.loads++
		e.measure()
		fails := e.loads%9 == 0
		w.schedule(loadTime, func() {
			if e.items[o.Item] != h {
				return
			}
			h.state = backend.Resident
			if fails { // the engine forgets the order id, so that a duplicate loads again
				delete(e.items, o.Item)
				delete(e.done, o.OrderID)
			}
		})
	}
	return ledger.Accepted
}

// start resets the node to its initial state, as after a crash.
func (n *node) start() {
	n.starts++
	n.registry = lease.NewRegistry(lease.Settings{Node: n.name, Incarnation: fmt.Sprint(n.starts)})
	n.reset()
	n.busyUntil = 0
}

func (n *node) reset() {
	n.ledger = ledger.New(ledger.Settings{Server: server, Capacity: capacity, Checks: n.w.engine.checks,
		Lifetime: n.w.lifetime, Cost: cost})
}

// transact commits a transaction, subject to the fault f. A delayed transaction
// commits after the node has stopped waiting for its reply.
func (n *node) transact(tx row.Tx, f fault) {
	t := &n.w.table
	if t.down || f.callLost {
		return
	}
	if f.transitDelay > callTimeout {
		n.w.schedule(f.transitDelay, func() { t.commit(tx) })
		n.pause(callTimeout)
		n.w.schedule(callTimeout, n.whileRunning(func() {
			if !t.down {
				n.registry.Observe(n.w.now, t.read(n.registry.WriteKeys(tx)...)...)
			}
		}))
		return
	}
	r := t.commit(tx)
	switch {
	case f.replyLost:
		n.registry.Observe(n.w.now, t.read(n.registry.WriteKeys(tx)...)...)
	case r.Committed:
		n.registry.Committed(n.w.now, tx, r.Revision)
	default:
		n.registry.Observe(n.w.now, r.Conflicts...)
	}
}

// whileRunning returns a function that calls f unless the node has restarted.
func (n *node) whileRunning(f func()) func() {
	starts := n.starts
	return func() {
		if n.starts == starts {
			f()
		}
	}
}

func (n *node) pause(d time.Duration) { n.busyUntil = max(n.busyUntil, n.w.now+d) }

func (n *node) renew(f fault) { n.transact(n.registry.Renew(n.w.now), f) }

func (n *node) acquire(f fault) {
	if n.w.table.down {
		return
	}
	n.registry.Observe(n.w.now, n.w.table.read(n.registry.KeysToWatch(server)...)...)
	_, held := n.registry.Held(server)
	if tx, ok := n.registry.Acquire(n.w.now, server, 0); ok && (!held || f.replyLost) { // sometimes moves to the next epoch
		n.transact(tx, f)
	}
}

// poll adopts the server if the epoch is new, or else reads its inventory.
func (n *node) poll() {
	epoch, held := n.registry.Held(server)
	if !held {
		return
	}
	if n.ledger.Epoch() == epoch {
		e := &n.w.engine
		_, running := n.registry.MaySend(n.w.now, server)
		if inv := e.inventory(); n.ledger.Observe(n.w.now, n.w.now, inv) && running {
			e.raiseFence(epoch)
		}
		return
	}
	// The fence may be raised only under a valid lease: an engine that restarted
	// no longer has the fence that another owner raised.
	if _, running := n.registry.MaySend(n.w.now, server); !running || epoch < n.ledger.Epoch() || !n.w.engine.raiseFence(epoch) {
		return
	}
	r, _ := n.registry.Row(server)
	var records []ledger.Record
	if len(r.Orders) > 0 && json.Unmarshal(r.Orders, &records) != nil {
		panic("malformed orders in the server's row")
	}
	n.w.tracef("%s adopts %d with %v", n.name, epoch, records)
	n.ledger.Adopt(n.w.now, epoch, n.w.engine.inventory(), records)
}

// orderItem orders an item to be loaded, or to be unloaded if it is resident, or
// sends its unsettled order again.
func (n *node) orderItem(item backend.Item, f fault) {
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
	if !n.w.engine.checks && !n.record() || !n.maySend() {
		n.ledger.Cancel(n.w.now, order.OrderID)
		return
	}
	n.send(order, f)
}

// maySend checks whether the node may send, immediately before it does. During an
// outage of the table the owner of a server that checks fencing numbers may
// continue to send.
func (n *node) maySend() bool {
	epoch, running := n.registry.MaySend(n.w.now, server)
	if running {
		return epoch == n.ledger.Epoch()
	}
	epoch, held := n.registry.Held(server)
	e := &n.w.engine
	return n.w.table.down && e.checks && held && epoch == n.ledger.Epoch() && e.fence == epoch && e.inventory().BootID == n.ledger.BootID()
}

func (n *node) record() bool {
	var orders json.RawMessage
	if records := n.ledger.Records(); len(records) > 0 {
		orders, _ = json.Marshal(records)
	}
	tx, ok := n.registry.RecordOrders(server, orders)
	if !ok || n.w.table.down {
		return false
	}
	n.transact(tx, fault{})
	r, _ := n.registry.Row(server)
	_, held := n.registry.Held(server)
	return held && bytes.Equal(r.Orders, orders)
}

// send sends an order, subject to the fault f.
func (n *node) send(o backend.Order, f fault) {
	n.w.tracef("%s sends %s %s %s %+v", n.name, o.OrderID, o.Op, o.Item, f)
	n.ledger.RecordSend(n.w.now, o.OrderID)
	done := false
	l := n.ledger
	answer := func(a ledger.CallResult) func() {
		return n.whileRunning(func() {
			if !done && n.ledger == l {
				done = true
				l.RecordResult(n.w.now, o.OrderID, a)
			}
		})
	}
	n.w.schedule(f.sendDelay, func() {
		if f.callLost {
			return
		}
		boot := n.w.engine.boot // a connection ends with the engine's process
		arrive := func() {
			if boot != n.w.engine.boot {
				return
			}
			if a := n.w.order(o); !f.replyLost {
				answer(a)()
			}
		}
		n.w.schedule(f.transitDelay, arrive)
		if f.duplicateAfter > 0 {
			n.w.schedule(f.transitDelay+f.duplicateAfter, arrive)
		}
	})
	n.pause(f.sendDelay + min(f.transitDelay, callTimeout))
	n.w.schedule(f.sendDelay+callTimeout, answer(ledger.Unknown))
}

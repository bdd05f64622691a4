package owner_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/row"
	"guavapaddle/core/view"
	"guavapaddle/internal/owner"
	"guavapaddle/io/engine"
	"guavapaddle/io/table"
)

const loadTime = 2 * time.Second

var errDown = errors.New("down")

type (
	// fakeTable is an in-memory table service.
	fakeTable struct {
		mu          sync.Mutex
		rows        map[string]row.Row
		revision    uint64
		down        bool
		lostReplies int // number of next transactions that commit but lose their reply
		writes      int
	}

	// fakeEngine records its peak memory use and never refuses a load for lack of
	// memory.
	fakeEngine struct {
		name   string
		checks bool
		bytes  func(backend.Item) (bytes, peak int64)

		mu            sync.Mutex
		boot          int
		fence         uint64
		items         map[backend.Item]backend.ItemState
		done          map[string]bool
		used          int64
		lostOrders    int // number of next orders that are accepted but never carried out
		leaving       bool
		peak          int64
		loading       int
		staleOrders   int
		orderDelay    time.Duration // delay until orders take effect
		onFence       func(uint64)  // called after the fence is raised
		stateDelay    time.Duration // delay between reading the state and returning it
		unloadedItems []backend.Item
		onChange      func() // called after each change
	}

	// cluster is a table service with engines and nodes.
	cluster struct {
		t          *testing.T
		table      *fakeTable
		engines    map[string]*fakeEngine
		doc        config.Document
		nodes      []*node
		staleViews []view.Server // stale views returned by known, if not nil
	}

	node struct {
		*owner.Owner
		c              *cluster
		cancel         context.CancelFunc
		ended          chan struct{}
		mu             sync.Mutex
		frozen         chan struct{} // calls block while it is not nil
		live           []string
		tableCut       bool          // calls to the table fail
		enginesCut     bool          // calls to the engines fail
		freezeAtOrder  chan struct{} // closed by the next order, which freezes the node
		freezeAtRecord chan struct{} // closed by the next order recorded in a row, which freezes the node
	}

	nodeTable struct{ n *node }

	nodeEngine struct {
		n *node
		e *fakeEngine
	}
)

// wait blocks while the node is frozen.
func (n *node) wait() {
	n.mu.Lock()
	ch := n.frozen
	n.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

// freeze blocks all calls of the node until thaw.
func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = make(chan struct{})
}

func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
}

func (n *node) isTableCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.tableCut
}

func (n *node) areEnginesCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.enginesCut
}

// isolate makes the node's calls to the table, the engines or both fail.
func (n *node) isolate(table, engines bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tableCut, n.enginesCut = table, engines
}

// freezeBeforeOrder makes the node freeze immediately before it sends its next order. The
// returned channel is closed at that moment.
func (n *node) freezeBeforeOrder() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freezeAtOrder = make(chan struct{})
	return n.freezeAtOrder
}

func (n *node) freezeIfArmed(armed *chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if *armed != nil {
		close(*armed)
		*armed, n.frozen = nil, make(chan struct{})
	}
}

func (f *fakeTable) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes
}

func (c *cluster) setDown(down bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.down = down
}

func (t nodeTable) Transact(_ context.Context, tx row.Tx) (row.Result, error) {
	t.n.wait()
	r, err := t.n.c.table.transact(t.n, tx)
	if strings.Contains(string(tx.Writes[0].Value), `"order-id"`) {
		t.n.freezeIfArmed(&t.n.freezeAtRecord)
		t.n.wait()
	}
	return r, err
}

func (f *fakeTable) transact(n *node, tx row.Tx) (row.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || n.isTableCut() {
		return row.Result{}, &table.Error{Kind: table.Unavailable, Err: errDown}
	}
	r := f.commit(tx)
	if f.lostReplies > 0 {
		f.lostReplies--
		return row.Result{}, &table.Error{Kind: table.Uncertain, Err: errDown}
	}
	return r, nil
}

func (f *fakeTable) commit(tx row.Tx) row.Result {
	var r row.Result
	for _, c := range tx.Conditions {
		if current := f.rows[c.Key]; current.Revision != c.Revision {
			current.Key = c.Key
			r.Conflicts = append(r.Conflicts, current)
		}
	}
	if len(r.Conflicts) > 0 {
		return r
	}
	f.revision++
	f.writes++
	for _, w := range tx.Writes {
		delete(f.rows, w.Key)
		if !w.Delete {
			f.rows[w.Key] = row.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
		}
	}
	return row.Result{Committed: true, Revision: f.revision}
}

func (t nodeTable) Read(_ context.Context, keys ...string) ([]row.Row, error) {
	t.n.wait()
	f := t.n.c.table
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || t.n.isTableCut() {
		return nil, &table.Error{Kind: table.Unavailable, Err: errDown}
	}
	out := make([]row.Row, len(keys))
	for i, k := range keys {
		out[i] = f.rows[k]
		out[i].Key = k
	}
	return out, nil
}

func (e nodeEngine) State(context.Context) (backend.State, error) {
	e.n.wait()
	if e.n.areEnginesCut() {
		return backend.State{}, &engine.Error{Kind: engine.NotSent}
	}
	e.e.mu.Lock()
	s, stateDelay := backend.State{Inventory: e.e.inventory(), Leaving: e.e.leaving}, e.e.stateDelay
	e.e.mu.Unlock()
	time.Sleep(stateDelay)
	return s, nil
}

func (e nodeEngine) Fence(_ context.Context, fence uint64) (backend.Inventory, error) {
	e.n.wait()
	if e.n.areEnginesCut() {
		return backend.Inventory{}, &engine.Error{Kind: engine.NotSent}
	}
	e.e.mu.Lock()
	defer e.e.mu.Unlock()
	if !e.e.raise(fence) {
		return backend.Inventory{}, &engine.Error{Kind: engine.StaleFence, Fence: e.e.fence}
	}
	if e.e.onFence != nil {
		e.e.onFence(fence)
	}
	return e.e.inventory(), nil
}

func (e nodeEngine) Order(_ context.Context, o backend.Order) (bool, error) {
	e.n.freezeIfArmed(&e.n.freezeAtOrder)
	e.n.wait()
	e.e.mu.Lock()
	orderDelay := e.e.orderDelay
	e.e.mu.Unlock()
	if orderDelay > 0 {
		go func() { time.Sleep(orderDelay); _, _ = e.e.do(o) }()
		return false, &engine.Error{Kind: engine.Lost}
	}
	return e.e.do(o)
}

func (e *fakeEngine) do(o backend.Order) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.done[o.OrderID]:
		return true, nil
	case e.leaving:
		return false, &engine.Error{Kind: engine.Leaving}
	case !e.raise(o.Fence):
		e.staleOrders++
		return false, &engine.Error{Kind: engine.StaleFence, Fence: e.fence}
	case e.lostOrders > 0:
		e.lostOrders--
		return false, nil
	}
	e.done[o.OrderID] = true
	bytes, peak := e.bytes(o.Item)
	if o.Op == backend.Unload {
		if _, present := e.items[o.Item]; present {
			e.used -= bytes
			e.unloadedItems = append(e.unloadedItems, o.Item)
		}
		delete(e.items, o.Item)
		e.onChange()
		return true, nil
	}
	if _, present := e.items[o.Item]; present {
		return true, nil
	}
	e.items[o.Item] = backend.Loading
	e.used += bytes + peak
	e.peak = max(e.peak, e.used)
	e.loading++
	boot := e.boot
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if boot == e.boot {
			e.items[o.Item] = backend.Resident
			e.used -= peak
			e.loading--
			e.onChange()
		}
	})
	return false, nil
}

func (e *fakeEngine) raise(fence uint64) bool {
	if !e.checks {
		return true
	}
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

func (e *fakeEngine) inventory() backend.Inventory {
	inv := backend.Inventory{Server: e.name, BootID: fmt.Sprint("boot", e.boot), Fence: e.fence}
	for i, s := range e.items {
		b, _ := e.bytes(i)
		inv.Items = append(inv.Items, backend.ItemStatus{Item: i, State: s, Bytes: b})
	}
	return inv
}

func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.fence, e.used, e.loading = 0, 0, 0
	e.items, e.done = map[backend.Item]backend.ItemState{}, map[string]bool{}
}

// set calls f with the engine's lock held.
func (e *fakeEngine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// refused returns how many orders were refused for a stale fencing number.
func (e *fakeEngine) refused() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.staleOrders
}

// unloaded returns how many items the engine has unloaded.
func (e *fakeEngine) unloaded() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.unloadedItems)
}

// has reports whether an item is resident.
func (e *fakeEngine) has(i backend.Item) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.items[i] == backend.Resident
}

// newCluster declares servers with 100 bytes for models, and models a to f of 40
// bytes that need 10 more while loading. Any two models fit, three don't.
func newCluster(t *testing.T, checks bool, servers int) *cluster {
	c := &cluster{t: t, table: &fakeTable{rows: map[string]row.Row{}}, engines: map[string]*fakeEngine{}}
	c.doc.Limits.WeightLoads = 2
	for i := range servers {
		name := fmt.Sprintf("e%d", i)
		c.doc.Servers = append(c.doc.Servers, config.BackendServer{Name: name, Address: name, Type: config.Engine,
			MemoryBytes: 110, KVReserveBytes: 10, ChecksOrders: checks, OrderLifetimeMS: 30000, Slots: 4})
		c.engines[name] = &fakeEngine{name: name, checks: checks, items: map[backend.Item]backend.ItemState{},
			done: map[string]bool{}, bytes: func(backend.Item) (int64, int64) { return 40, 10 }, onChange: func() {}}
	}
	for _, m := range strings.Split("abcdef", "") {
		c.doc.Models = append(c.doc.Models, config.Model{Name: m, Version: "1", Bytes: 40, LoadPeakBytes: 10})
	}
	return c
}

func model(name string) backend.Item { return backend.Item{Name: name, Version: "1"} }

// start starts a node with the given list of live nodes.
func (c *cluster) start(name string, live ...string) *node {
	n := &node{c: c, ended: make(chan struct{}), live: live}
	n.Owner = &owner.Owner{
		Node: name, Incarnation: fmt.Sprint(len(c.nodes)), Table: nodeTable{n},
		Engine: func(a string) owner.Engine { return nodeEngine{n, c.engines[a]} },
		Live: func() []string {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.live
		},
		Known: c.known, Metrics: owner.NewMetrics(),
	}
	n.SetDocument(c.doc, 1)
	ctx, cancel := context.WithCancel(c.t.Context())
	n.cancel = cancel
	go func() {
		defer close(n.ended)
		n.Run(ctx)
	}()
	c.nodes = append(c.nodes, n)
	return n
}

// setLive sets the node's list of live nodes.
func (n *node) setLive(live ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.live = live
}

func (n *node) stop() { n.cancel(); <-n.ended }

func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.thaw()
		n.stop()
	}
}

// known returns the newest view of each server.
func (c *cluster) known() []view.Server {
	if c.staleViews != nil {
		return c.staleViews
	}
	newest := map[string]view.Server{}
	for _, n := range c.nodes {
		for _, v := range n.Views() {
			if v.Newer(newest[v.Server]) {
				newest[v.Server] = v
			}
		}
	}
	var out []view.Server
	for _, v := range newest {
		out = append(out, v)
	}
	return out
}

// owns returns the names of the servers that the node publishes views of.
func (n *node) owns() []string {
	var out []string
	for _, v := range n.Views() {
		out = append(out, v.Server)
	}
	return out
}

// plan sets the plan of a server on all nodes.
func (c *cluster) plan(server string, items ...backend.Item) {
	for _, n := range c.nodes {
		n.SetPlan(server, items)
	}
}

// requirePeaksFit requires that no engine ever exceeded its memory.
func (c *cluster) requirePeaksFit() {
	c.t.Helper()
	for _, e := range c.engines {
		e.set(func() { require.LessOrEqual(c.t, e.peak, int64(100), e.name) })
	}
}

// requireResident requires that an engine serves exactly the given items.
func (c *cluster) requireResident(server string, items ...backend.Item) {
	c.t.Helper()
	e := c.engines[server]
	e.mu.Lock()
	defer e.mu.Unlock()
	var have []string
	for i, s := range e.items {
		require.Equal(c.t, backend.Resident, s, i.String())
		have = append(have, i.String())
	}
	var want []string
	for _, i := range items {
		want = append(want, i.String())
	}
	slices.Sort(have)
	slices.Sort(want)
	require.Equal(c.t, want, have, server)
}

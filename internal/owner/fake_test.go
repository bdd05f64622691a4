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
	// fakeTable is the table service in memory.
	fakeTable struct {
		mu       sync.Mutex
		rows     map[string]row.Row
		revision uint64
		down     bool
		mute     int // so many next transactions take effect and lose their answer
		writes   int
	}

	// fakeEngine never refuses for want of memory: it measures.
	fakeEngine struct {
		name   string
		checks bool
		bytes  func(backend.Item) (bytes, peak int64)

		mu      sync.Mutex
		boot    int
		fence   uint64
		items   map[backend.Item]backend.ItemState
		done    map[string]bool
		used    int64
		lose    int // so many next orders are accepted and never done
		leaving bool
		peak    int64
		loading int
		stale   int
		late    time.Duration // orders take effect so much later
		raised  func(uint64)  // called when the fence was raised
		slow    time.Duration // from taking an inventory to its arrival
		unloads []backend.Item
		served  func() // called after each change
	}

	// cluster is a table, engines and nodes.
	cluster struct {
		t       *testing.T
		table   *fakeTable
		engines map[string]*fakeEngine
		doc     config.Document
		nodes   []*node
		old     []view.Server // what nodes know of servers, if not nil
	}

	node struct {
		*owner.Owner
		c      *cluster
		cancel context.CancelFunc
		ended  chan struct{}
		mu     sync.Mutex
		frozen chan struct{} // calls wait while it is not nil
		live   []string
		cut    bool          // from the table
		apart  bool          // from the engines
		trap   chan struct{} // closed by the next order, which freezes the node
		record chan struct{} // closed by the next order kept in a row, likewise
	}

	nodeTable struct{ n *node }

	nodeEngine struct {
		n *node
		e *fakeEngine
	}
)

// wait returns when the node is not frozen.
func (n *node) wait() {
	n.mu.Lock()
	ch := n.frozen
	n.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

// freeze stops all calls of the node until it is thawed.
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

func (n *node) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

func (n *node) isApart() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.apart
}

// isolate cuts the node off from the table, the engines or both.
func (n *node) isolate(table, engines bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut, n.apart = table, engines
}

// setTrap lets the node's next order freeze it before it is sent; the returned
// channel is closed then.
func (n *node) setTrap() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.trap = make(chan struct{})
	return n.trap
}

func (n *node) spring(trap *chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if *trap != nil {
		close(*trap)
		*trap, n.frozen = nil, make(chan struct{})
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
		t.n.spring(&t.n.record)
		t.n.wait()
	}
	return r, err
}

func (f *fakeTable) transact(n *node, tx row.Tx) (row.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || n.isCut() {
		return row.Result{}, &table.Error{Kind: table.Unavailable, Err: errDown}
	}
	r := f.commit(tx)
	if f.mute > 0 {
		f.mute--
		return row.Result{}, &table.Error{Kind: table.Uncertain, Err: errDown}
	}
	return r, nil
}

func (f *fakeTable) commit(tx row.Tx) row.Result {
	var r row.Result
	for _, c := range tx.Conditions {
		if have := f.rows[c.Key]; have.Revision != c.Revision {
			have.Key = c.Key
			r.Conflicts = append(r.Conflicts, have)
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
	if f.down || t.n.isCut() {
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
	if e.n.isApart() {
		return backend.State{}, &engine.Error{Kind: engine.NotSent}
	}
	e.e.mu.Lock()
	s, slow := backend.State{Inventory: e.e.inventory(), Leaving: e.e.leaving}, e.e.slow
	e.e.mu.Unlock()
	time.Sleep(slow)
	return s, nil
}

func (e nodeEngine) Fence(_ context.Context, fence uint64) (backend.Inventory, error) {
	e.n.wait()
	if e.n.isApart() {
		return backend.Inventory{}, &engine.Error{Kind: engine.NotSent}
	}
	e.e.mu.Lock()
	defer e.e.mu.Unlock()
	if !e.e.raise(fence) {
		return backend.Inventory{}, &engine.Error{Kind: engine.StaleFence, Fence: e.e.fence}
	}
	if e.e.raised != nil {
		e.e.raised(fence)
	}
	return e.e.inventory(), nil
}

func (e nodeEngine) Order(_ context.Context, o backend.Order) (bool, error) {
	e.n.spring(&e.n.trap)
	e.n.wait()
	e.e.mu.Lock()
	late := e.e.late
	e.e.mu.Unlock()
	if late > 0 {
		go func() { time.Sleep(late); _, _ = e.e.do(o) }()
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
		e.stale++
		return false, &engine.Error{Kind: engine.StaleFence, Fence: e.fence}
	case e.lose > 0:
		e.lose--
		return false, nil
	}
	e.done[o.OrderID] = true
	bytes, peak := e.bytes(o.Item)
	if o.Op == backend.Unload {
		if _, there := e.items[o.Item]; there {
			e.used -= bytes
			e.unloads = append(e.unloads, o.Item)
		}
		delete(e.items, o.Item)
		e.served()
		return true, nil
	}
	if _, there := e.items[o.Item]; there {
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
			e.served()
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

// set changes the engine under its lock.
func (e *fakeEngine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// refused returns how many orders carried an old fencing number.
func (e *fakeEngine) refused() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stale
}

// unloaded returns how many items were unloaded.
func (e *fakeEngine) unloaded() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.unloads)
}

// has tells whether an item serves.
func (e *fakeEngine) has(i backend.Item) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.items[i] == backend.Resident
}

// newCluster declares servers of 100 bytes, and models a to f of 40 bytes with
// a peak of 10 on top, so that any two fit, and three don't.
func newCluster(t *testing.T, checks bool, servers int) *cluster {
	c := &cluster{t: t, table: &fakeTable{rows: map[string]row.Row{}}, engines: map[string]*fakeEngine{}}
	c.doc.Limits.WeightLoads = 2
	for i := range servers {
		name := fmt.Sprintf("e%d", i)
		c.doc.Servers = append(c.doc.Servers, config.BackendServer{Name: name, Address: name, Type: config.Engine,
			MemoryBytes: 110, KVReserveBytes: 10, ChecksOrders: checks, OrderLifetimeMS: 30000, Slots: 4})
		c.engines[name] = &fakeEngine{name: name, checks: checks, items: map[backend.Item]backend.ItemState{},
			done: map[string]bool{}, bytes: func(backend.Item) (int64, int64) { return 40, 10 }, served: func() {}}
	}
	for _, m := range strings.Split("abcdef", "") {
		c.doc.Models = append(c.doc.Models, config.Model{Name: m, Version: "1", Bytes: 40, LoadPeakBytes: 10})
	}
	return c
}

func model(name string) backend.Item { return backend.Item{Name: name, Version: "1"} }

// start starts a node that believes in the given live nodes.
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

// setLive changes whom the node believes to live.
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
	if c.old != nil {
		return c.old
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

// owns returns the names of the servers of which the node has a view.
func (n *node) owns() []string {
	var out []string
	for _, v := range n.Views() {
		out = append(out, v.Server)
	}
	return out
}

// plan gives all nodes the plan of a server.
func (c *cluster) plan(server string, items ...backend.Item) {
	for _, n := range c.nodes {
		n.SetPlan(server, items)
	}
}

// peaksFit demands that no engine was ever over its bytes.
func (c *cluster) peaksFit() {
	c.t.Helper()
	for _, e := range c.engines {
		e.set(func() { require.LessOrEqual(c.t, e.peak, int64(100), e.name) })
	}
}

// resident demands that an engine serves exactly these items.
func (c *cluster) resident(server string, items ...backend.Item) {
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

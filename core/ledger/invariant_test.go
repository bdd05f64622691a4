package ledger_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/backend"
	"guavapaddle/core/ledger"
	"guavapaddle/core/row"
)

const steps = 2500

// TestInvariantMemoryNeverOvercommitted simulates two nodes that compete for one
// server under random faults. The model engine measures its own memory use and
// never refuses an order because memory is short.
func TestInvariantMemoryNeverOvercommitted(t *testing.T) {
	for name, checks := range map[string]bool{"checks": true, "does not check": false} {
		t.Run(name, func(t *testing.T) {
			loads, epochs := 0, uint64(0)
			rapid.Check(t, func(t *rapid.T) {
				seed := rapid.Uint64().Draw(t, "seed")
				w := simulate(checks, seed, false)
				if w.engine.peak > capacity {
					w = simulate(checks, seed, true)
					t.Fatalf("%d of %d bytes in use; trace:\n%s", w.engine.peak, capacity, strings.Join(w.trace, "\n"))
				}
				loads += w.engine.loads
				epochs += max(w.nodes[0].ledger.Epoch(), w.nodes[1].ledger.Epoch())
			})
			t.Logf("%d loads, %d epochs", loads, epochs)
			require.Greater(t, loads, 1000, "too few loads")
			require.Greater(t, epochs, uint64(1000), "the owner changed too rarely")
		})
	}
}

// simulate runs a simulation until its last step or until memory is
// overcommitted.
func simulate(checks bool, seed uint64, traced bool) *simulation {
	w := newSimulation(checks)
	w.traced = traced
	r := rand.New(rand.NewPCG(seed, 1))
	for i := 0; i < steps && w.engine.peak <= capacity; i++ {
		w.step(r)
	}
	return w
}

// step advances the time and performs one random action.
func (w *simulation) step(r *rand.Rand) {
	w.advance(upTo(r, 500*time.Millisecond))
	for _, n := range w.nodes {
		if n.busyUntil <= w.now {
			n.registry.Tick(w.now, time.Time{})
			if n.registry.RenewDue(w.now) {
				n.renew(tableFault(r))
			}
		}
	}
	n := w.nodes[r.IntN(len(w.nodes))]
	choice := r.IntN(100)
	if n.busyUntil > w.now && choice < 93 {
		return
	}
	switch {
	case choice < 20:
		n.acquire(tableFault(r))
	case choice < 40:
		n.poll()
	case choice < 90:
		n.poll()
		n.orderItem(items[r.IntN(len(items))], w.orderFault(r, n))
	case choice < 93:
		n.pause(upTo(r, 20*time.Second))
		w.tracef("%s pauses until %v", n.name, n.busyUntil)
	case choice < 94:
		w.tracef("%s crashes", n.name)
		n.start()
	case choice < 95:
		w.tracef("engine restarts")
		w.engine.restart()
	case choice < 97:
		w.table.down = !w.table.down && r.IntN(3) == 0
		w.tracef("table down: %v", w.table.down)
	default:
		w.advance(upTo(r, 9*time.Second))
	}
}

func upTo(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }

func tableFault(r *rand.Rand) fault {
	switch r.IntN(10) {
	case 0:
		return fault{callLost: true}
	case 1, 2:
		return fault{replyLost: true}
	case 3:
		return fault{transitDelay: callTimeout + 1 + upTo(r, 20*time.Second)}
	}
	return fault{}
}

// orderFault draws faults within the package's assumptions. To a server that
// checks fencing numbers, orders are sent at most the lease's margin after the
// lease was checked. On a server that doesn't, orders take effect within their
// lifetime or never.
func (w *simulation) orderFault(r *rand.Rand, n *node) fault {
	f := fault{callLost: r.IntN(8) == 0, replyLost: r.IntN(3) == 0}
	if r.IntN(3) == 0 {
		f.transitDelay = upTo(r, 14*time.Second)
	}
	if r.IntN(3) == 0 {
		f.duplicateAfter = upTo(r, 7*time.Second)
	}
	if _, running := n.registry.MaySend(w.now, server); running && r.IntN(4) == 0 {
		f.sendDelay = upTo(r, 900*time.Millisecond)
		if !w.engine.checks {
			f.sendDelay *= 9
		}
	}
	return f
}

// newOwnedServer returns a simulation in which the first node owns the server,
// and the two nodes.
func newOwnedServer(t *testing.T, checks bool) (*simulation, *node, *node) {
	w := newSimulation(checks)
	a, b := w.nodes[0], w.nodes[1]
	a.renew(fault{})
	a.acquire(fault{})
	a.poll()
	require.Equal(t, uint64(1), a.ledger.Epoch())
	return w, a, b
}

// takeOver lets the second node wait until the first node's session has expired
// and then acquire the server.
func (w *simulation) takeOver(t *testing.T, b *node) {
	b.renew(fault{})
	b.acquire(fault{}) // observes the owner of the server
	b.acquire(fault{}) // observes the owner's session
	w.advance(8 * time.Second)
	b.renew(fault{})
	b.acquire(fault{})
	b.poll()
	require.Equal(t, uint64(2), b.ledger.Epoch())
}

// fill loads every item that the node's ledger allows.
func (w *simulation) fill(n *node) {
	for _, item := range items[1:] {
		n.renew(fault{})
		n.orderItem(item, fault{})
		w.advance(3 * time.Second)
		n.renew(fault{})
		n.poll()
	}
}

func withAndWithoutFencing(t *testing.T, f func(t *testing.T, checks bool)) {
	t.Run("checks", func(t *testing.T) { f(t, true) })
	t.Run("does not check", func(t *testing.T) { f(t, false) })
}

// TestInvariantMemoryNeverOvercommittedPausedOwner guards against an owner that
// pauses between its lease check and the send for longer than its lease, and
// sends after another owner has filled the server.
func TestInvariantMemoryNeverOvercommittedPausedOwner(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, checks bool) {
		w, a, b := newOwnedServer(t, checks)
		a.orderItem(items[0], fault{sendDelay: 25 * time.Second})
		w.takeOver(t, b)
		w.fill(b)
		w.advance(20 * time.Second) // the paused owner resumes and sends
		require.LessOrEqual(t, w.engine.peak, int64(capacity))
		require.Equal(t, checks, w.engine.items[items[0]] == nil, "refused only if the server checks fencing numbers")

		a.poll() // after the pause it sends another order
		loads := w.engine.loads
		a.orderItem(items[0], fault{})
		a.orderItem(items[3], fault{})
		w.advance(time.Second)
		require.Equal(t, loads, w.engine.loads, "an order was executed after the lease was lost")
	})
}

// TestInvariantMemoryNeverOvercommittedLateOrder guards against freeing memory
// too early when a call times out: its load order arrives after 29.9 s, within
// its lifetime of 30 s.
func TestInvariantMemoryNeverOvercommittedLateOrder(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, checks bool) {
		w, a, _ := newOwnedServer(t, checks)
		a.orderItem(items[0], fault{transitDelay: 29900 * time.Millisecond})
		w.advance(callTimeout)
		a.renew(fault{})
		a.poll()
		require.Equal(t, ledger.Uncertain, a.ledger.Entry(items[0]).State)
		require.Equal(t, int64(capacity-55), a.ledger.Free(), "the call timed out, but the memory stays reserved")
		if checks { // a new epoch invalidates the order immediately
			a.acquire(fault{replyLost: true})
			a.poll()
			require.Equal(t, int64(capacity), a.ledger.Free())
		}
		w.fill(a)
		w.advance(30 * time.Second)
		require.LessOrEqual(t, w.engine.peak, int64(capacity))
		require.Equal(t, checks, w.engine.staleOrders > 0)
		require.Positive(t, w.engine.loads)
	})
}

// TestInvariantMemoryNeverOvercommittedRestartWhileOwnerPaused guards against
// settling an order because of a new boot id: the engine restarts between an
// earlier owner's lease check and its send, so the order reaches the new boot.
func TestInvariantMemoryNeverOvercommittedRestartWhileOwnerPaused(t *testing.T) {
	w, a, b := newOwnedServer(t, false)
	a.orderItem(items[0], fault{sendDelay: 29 * time.Second})
	w.takeOver(t, b)
	w.advance(time.Second)
	b.poll()
	w.engine.restart()
	w.fill(b)
	w.advance(20 * time.Second)
	require.NotNil(t, w.engine.items[items[0]])
	require.LessOrEqual(t, w.engine.peak, int64(capacity))
}

// TestUnsettledOrderKeepsMemory covers orders that seem settled but may still
// take effect, next to similar ones that are settled.
func TestUnsettledOrderKeepsMemory(t *testing.T) {
	item := items[0]
	inventory := func(states ...backend.ItemState) backend.Inventory {
		inv := backend.Inventory{BootID: "b"}
		for _, s := range states {
			inv.Items = append(inv.Items, backend.ItemStatus{Item: item, State: s, Bytes: 40})
		}
		return inv
	}
	sent := func() (*ledger.Ledger, string) {
		l := ledger.New(ledger.Settings{Server: server, Capacity: capacity, Lifetime: lifetime, Cost: cost})
		l.Adopt(0, 1, inventory(), nil)
		o, err := l.Reserve(1, backend.Load, item, cost(item), nil)
		require.NoError(t, err)
		l.RecordSend(2, o.OrderID)
		return l, o.OrderID
	}
	t.Run("refused the second time", func(t *testing.T) {
		l, id := sent()
		l.RecordResult(3, id, ledger.Unknown)
		_, ok := l.Resend(item)
		require.True(t, ok)
		l.RecordSend(4, id)
		l.RecordResult(5, id, ledger.NotDone)
		require.Equal(t, int64(45), l.Free(), "the first call may still arrive")
	})
	t.Run("refused the first time", func(t *testing.T) {
		l, id := sent()
		l.RecordResult(3, id, ledger.NotDone)
		require.Equal(t, int64(capacity), l.Free())
	})
	t.Run("resident while a call is open", func(t *testing.T) {
		l, id := sent()
		l.Observe(3, 4, inventory(backend.Resident))
		require.Equal(t, int64(45), l.Free(), "after a restart the open call could load the item again")
		_, err := l.Reserve(5, backend.Unload, item, ledger.Cost{}, nil)
		require.ErrorContains(t, err, string(ledger.Unsettled))
		l.RecordResult(6, id, ledger.Accepted)
		l.Observe(7, 8, inventory(backend.Resident))
		require.Equal(t, int64(60), l.Free())
	})
	t.Run("call that may have reached the new boot", func(t *testing.T) {
		l, id := sent()
		l.Observe(3, 4, inventory())
		l.RecordResult(5, id, ledger.Unknown)
		require.True(t, l.Observe(6, 7, backend.Inventory{BootID: "c"}))
		require.Equal(t, int64(45), l.Free())
	})
	t.Run("call that ended before the restart", func(t *testing.T) {
		l, id := sent()
		l.RecordResult(3, id, ledger.Unknown)
		l.Observe(4, 5, inventory())
		require.True(t, l.Observe(6, 7, backend.Inventory{BootID: "c"}))
		require.Equal(t, int64(capacity), l.Free())
	})
	t.Run("inherited and sent twice", func(t *testing.T) {
		l, id := sent()
		l.RecordResult(3, id, ledger.Unknown)
		l.Resend(item)
		records := l.Records()
		require.True(t, records[0].Resent)
		next := ledger.New(ledger.Settings{Server: server, Capacity: capacity, Lifetime: lifetime, Cost: cost})
		next.Adopt(10, 2, inventory(backend.Resident), records)
		next.Observe(11, 11, inventory(backend.Resident))
		_, err := next.Reserve(12, backend.Unload, item, ledger.Cost{}, nil)
		require.ErrorContains(t, err, string(ledger.Unsettled))
		next.Observe(10+lifetime, 11+lifetime, inventory(backend.Resident))
		_, err = next.Reserve(12+lifetime, backend.Unload, item, ledger.Cost{}, nil)
		require.NoError(t, err)
	})
}

// TestUncertainOrderEnds checks that a lost order's memory is freed when the
// order's lifetime has passed, and not earlier.
func TestUncertainOrderEnds(t *testing.T) {
	w, a, _ := newOwnedServer(t, false)
	a.orderItem(items[0], fault{callLost: true})
	advancePolling := func(d time.Duration) {
		for end := w.now + d; w.now < end; {
			w.advance(time.Second)
			a.renew(fault{})
			a.poll()
		}
	}
	advancePolling(callTimeout + lifetime - 2*time.Second)
	require.Equal(t, ledger.Uncertain, a.ledger.Entry(items[0]).State)
	advancePolling(3 * time.Second)
	require.Equal(t, ledger.Absent, a.ledger.Entry(items[0]).State)
}

// TestReserveRefuses covers each reason for which an order is refused.
func TestReserveRefuses(t *testing.T) {
	model, old := backend.Item{Name: "m", Version: "2"}, backend.Item{Name: "m", Version: "1"}
	adapter := backend.Item{Name: "x", Version: "1", Base: "m"}
	resident := func(items ...backend.Item) backend.Inventory {
		inv := backend.Inventory{BootID: "b"}
		for _, i := range items {
			inv.Items = append(inv.Items, backend.ItemStatus{Item: i, State: backend.Resident, Bytes: 40})
		}
		return inv
	}
	tests := []struct {
		name string
		inv  backend.Inventory
		op   backend.Op
		item backend.Item
		last bool
		want ledger.Reason
	}{
		{"fits", resident(old), backend.Load, model, false, ""},
		{"not enough memory", resident(old, adapter), backend.Load, model, false, ledger.NoMemory},
		{"already present", resident(model), backend.Load, model, false, ledger.Present},
		{"adapter without model", resident(), backend.Load, adapter, false, ledger.NoBase},
		{"adapter with model", resident(old), backend.Load, adapter, false, ""},
		{"model with adapter", resident(old, adapter), backend.Unload, old, false, ledger.BaseInUse},
		{"old model with adapter", resident(old, model, adapter), backend.Unload, old, false, ""},
		{"last copy", resident(model), backend.Unload, model, true, ledger.LastCopy},
		{"nothing to unload", resident(), backend.Unload, model, false, ledger.NotResident},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := ledger.New(ledger.Settings{Server: server, Capacity: capacity, Checks: true})
			_, err := l.Reserve(0, tt.op, tt.item, ledger.Cost{}, nil)
			require.ErrorContains(t, err, string(ledger.NotAdopted))
			l.Adopt(0, 1, tt.inv, nil)
			_, err = l.Reserve(0, tt.op, tt.item, ledger.Cost{Bytes: 40, Peak: 15}, func(backend.Item) bool { return tt.last })
			if tt.want == "" {
				require.NoError(t, err)
				_, err = l.Reserve(0, tt.op, tt.item, ledger.Cost{}, nil)
				require.ErrorContains(t, err, string(ledger.Unsettled))
				return
			}
			var refusal *ledger.RefusalError
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, tt.want, refusal.Reason)
		})
	}
}

// TestSessionEndsAsAWhole checks that after another node has acquired one server,
// no renewal of the previous owner's session is committed, not even one that was
// sent earlier.
func TestSessionEndsAsAWhole(t *testing.T) {
	w, a, b := newOwnedServer(t, true)
	var late row.Tx
	w.advance(time.Second)
	late = a.registry.Renew(w.now)
	w.takeOver(t, b)
	require.False(t, w.table.commit(late).Committed)
	a.renew(fault{})
	_, held := a.registry.Held(server)
	require.False(t, held)
}

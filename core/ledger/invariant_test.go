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

// TestInvariantMemoryNeverOvercommitted drives two owners of one server through
// random failures. The model engine measures its memory itself and never
// refuses an order for want of it.
func TestInvariantMemoryNeverOvercommitted(t *testing.T) {
	for name, checks := range map[string]bool{"checks": true, "does not check": false} {
		t.Run(name, func(t *testing.T) {
			loads, epochs := 0, uint64(0)
			rapid.Check(t, func(t *rapid.T) {
				seed := rapid.Uint64().Draw(t, "seed")
				w := live(checks, seed, false)
				if w.engine.peak > capacity {
					w = live(checks, seed, true)
					t.Fatalf("%d of %d bytes in use; trace:\n%s", w.engine.peak, capacity, strings.Join(w.trace, "\n"))
				}
				loads += w.engine.loads
				epochs += max(w.nodes[0].ledger.Epoch(), w.nodes[1].ledger.Epoch())
			})
			t.Logf("%d loads, %d epochs", loads, epochs)
			require.Greater(t, loads, 1000, "the engine was hardly used")
			require.Greater(t, epochs, uint64(1000), "the server hardly changed hands")
		})
	}
}

// live runs a world until it ends or memory is overcommitted.
func live(checks bool, seed uint64, traced bool) *world {
	w := newWorld(checks)
	w.traced = traced
	r := rand.New(rand.NewPCG(seed, 1))
	for i := 0; i < steps && w.engine.peak <= capacity; i++ {
		w.step(r)
	}
	return w
}

// step does one thing at random and passes some time.
func (w *world) step(r *rand.Rand) {
	w.advance(upTo(r, 500*time.Millisecond))
	for _, n := range w.nodes {
		if n.busy <= w.now {
			n.book.Tick(w.now, time.Time{})
			if n.book.RenewDue(w.now) {
				n.renew(tableFate(r))
			}
		}
	}
	n := w.nodes[r.IntN(len(w.nodes))]
	what := r.IntN(100)
	if n.busy > w.now && what < 93 {
		return
	}
	switch {
	case what < 20:
		n.take(tableFate(r))
	case what < 40:
		n.poll()
	case what < 90:
		n.poll()
		n.give(items[r.IntN(len(items))], w.orderFate(r, n))
	case what < 93:
		n.pause(upTo(r, 20*time.Second))
		w.note("%s pauses until %v", n.name, n.busy)
	case what < 94:
		w.note("%s crashes", n.name)
		n.start()
	case what < 95:
		w.note("engine restarts")
		w.engine.restart()
	case what < 97:
		w.table.down = !w.table.down && r.IntN(3) == 0
		w.note("table down: %v", w.table.down)
	default:
		w.advance(upTo(r, 9*time.Second))
	}
}

func upTo(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }

func tableFate(r *rand.Rand) fate {
	switch r.IntN(10) {
	case 0:
		return fate{lost: true}
	case 1, 2:
		return fate{mute: true}
	case 3:
		return fate{transit: callTimeout + 1 + upTo(r, 20*time.Second)}
	}
	return fate{}
}

// orderFate keeps to the assumptions in the package's comment: a server that
// checks gets no order sent later than the lease's margin after the check; on
// one that doesn't, orders take effect within their lifetime or never.
func (w *world) orderFate(r *rand.Rand, n *node) fate {
	f := fate{lost: r.IntN(8) == 0, mute: r.IntN(3) == 0}
	if r.IntN(3) == 0 {
		f.transit = upTo(r, 14*time.Second)
	}
	if r.IntN(3) == 0 {
		f.again = upTo(r, 7*time.Second)
	}
	if _, running := n.book.MaySend(w.now, server); running && r.IntN(4) == 0 {
		f.unsent = upTo(r, 900*time.Millisecond)
		if !w.engine.checks {
			f.unsent *= 9
		}
	}
	return f
}

// owned returns a world in which the first node owns the server.
func owned(t *testing.T, checks bool) (*world, *node, *node) {
	w := newWorld(checks)
	a, b := w.nodes[0], w.nodes[1]
	a.renew(fate{})
	a.take(fate{})
	a.poll()
	require.Equal(t, uint64(1), a.ledger.Epoch())
	return w, a, b
}

// takeOver lets the second node wait out the first one's session, then own.
func (w *world) takeOver(t *testing.T, b *node) {
	b.renew(fate{})
	b.take(fate{}) // sees who owns the server
	b.take(fate{}) // sees the session
	w.advance(8 * time.Second)
	b.renew(fate{})
	b.take(fate{})
	b.poll()
	require.Equal(t, uint64(2), b.ledger.Epoch())
}

// fill loads all that fits with the node's ledger.
func (w *world) fill(n *node) {
	for _, item := range items[1:] {
		n.renew(fate{})
		n.give(item, fate{})
		w.advance(3 * time.Second)
		n.renew(fate{})
		n.poll()
	}
}

func both(t *testing.T, f func(t *testing.T, checks bool)) {
	t.Run("checks", func(t *testing.T) { f(t, true) })
	t.Run("does not check", func(t *testing.T) { f(t, false) })
}

// TestInvariantMemoryNeverOvercommittedPausedOwner: an owner passes its lease
// check, is paused for longer than its lease, and sends when it wakes; by then
// another owner has filled the server.
func TestInvariantMemoryNeverOvercommittedPausedOwner(t *testing.T) {
	both(t, func(t *testing.T, checks bool) {
		w, a, b := owned(t, checks)
		a.give(items[0], fate{unsent: 25 * time.Second})
		w.takeOver(t, b)
		w.fill(b)
		w.advance(20 * time.Second) // the paused owner wakes and sends
		require.LessOrEqual(t, w.engine.peak, int64(capacity))
		require.Equal(t, checks, w.engine.items[items[0]] == nil, "refused only where numbers are checked")

		a.poll() // awake, it orders once more
		loads := w.engine.loads
		a.give(items[0], fate{})
		a.give(items[3], fate{})
		w.advance(time.Second)
		require.Equal(t, loads, w.engine.loads, "an order after the lease was lost")
	})
}

// TestInvariantMemoryNeverOvercommittedLateOrder: a load order arrives 29.9 s
// after its item was given up, of the 30 s that are its lifetime.
func TestInvariantMemoryNeverOvercommittedLateOrder(t *testing.T) {
	both(t, func(t *testing.T, checks bool) {
		w, a, _ := owned(t, checks)
		a.give(items[0], fate{transit: 29900 * time.Millisecond})
		w.advance(callTimeout)
		a.renew(fate{})
		a.poll()
		require.Equal(t, ledger.Uncertain, a.ledger.Entry(items[0]).State)
		require.Equal(t, int64(capacity-55), a.ledger.Free(), "given up, not given back")
		if checks { // a new epoch makes the order void at once
			a.take(fate{mute: true})
			a.poll()
			require.Equal(t, int64(capacity), a.ledger.Free())
		}
		w.fill(a)
		w.advance(30 * time.Second)
		require.LessOrEqual(t, w.engine.peak, int64(capacity))
		require.Equal(t, checks, w.engine.stale > 0)
		require.Positive(t, w.engine.loads)
	})
}

// TestInvariantMemoryNeverOvercommittedRestartWhileOwnerPaused: the engine
// restarts while an earlier owner's order is checked and not sent; the new boot
// proves nothing about it.
func TestInvariantMemoryNeverOvercommittedRestartWhileOwnerPaused(t *testing.T) {
	w, a, b := owned(t, false)
	a.give(items[0], fate{unsent: 29 * time.Second})
	w.takeOver(t, b)
	w.advance(time.Second)
	b.poll()
	w.engine.restart()
	w.fill(b)
	w.advance(20 * time.Second)
	require.NotNil(t, w.engine.items[items[0]])
	require.LessOrEqual(t, w.engine.peak, int64(capacity))
}

// TestHoldsWhatIsNotProved: cases in which an entry looks settled and isn't.
func TestHoldsWhatIsNotProved(t *testing.T) {
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
		l.Sending(2, o.OrderID)
		return l, o.OrderID
	}
	t.Run("refused the second time", func(t *testing.T) {
		l, id := sent()
		l.Answered(3, id, ledger.Unknown)
		_, ok := l.Resend(item)
		require.True(t, ok)
		l.Sending(4, id)
		l.Answered(5, id, ledger.NotDone)
		require.Equal(t, int64(45), l.Free(), "the first call may yet arrive")
	})
	t.Run("refused the first time", func(t *testing.T) {
		l, id := sent()
		l.Answered(3, id, ledger.NotDone)
		require.Equal(t, int64(capacity), l.Free())
	})
	t.Run("resident while a call is open", func(t *testing.T) {
		l, id := sent()
		l.Observe(3, 4, inventory(backend.Resident))
		require.Equal(t, int64(45), l.Free(), "a restart now could bring the load's peak again")
		_, err := l.Reserve(5, backend.Unload, item, ledger.Cost{}, nil)
		require.ErrorContains(t, err, string(ledger.Unsettled))
		l.Answered(6, id, ledger.Accepted)
		l.Observe(7, 8, inventory(backend.Resident))
		require.Equal(t, int64(60), l.Free())
	})
	t.Run("call that may have reached the new boot", func(t *testing.T) {
		l, id := sent()
		l.Observe(3, 4, inventory())
		l.Answered(5, id, ledger.Unknown)
		require.True(t, l.Observe(6, 7, backend.Inventory{BootID: "c"}))
		require.Equal(t, int64(45), l.Free())
	})
	t.Run("call that ended before the restart", func(t *testing.T) {
		l, id := sent()
		l.Answered(3, id, ledger.Unknown)
		l.Observe(4, 5, inventory())
		require.True(t, l.Observe(6, 7, backend.Inventory{BootID: "c"}))
		require.Equal(t, int64(capacity), l.Free())
	})
	t.Run("inherited and sent twice", func(t *testing.T) {
		l, id := sent()
		l.Answered(3, id, ledger.Unknown)
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

// TestUncertainOrderEnds: what the lifetime settles is free again after it, and
// not before.
func TestUncertainOrderEnds(t *testing.T) {
	w, a, _ := owned(t, false)
	a.give(items[0], fate{lost: true})
	keep := func(d time.Duration) {
		for end := w.now + d; w.now < end; {
			w.advance(time.Second)
			a.renew(fate{})
			a.poll()
		}
	}
	keep(callTimeout + lifetime - 2*time.Second)
	require.Equal(t, ledger.Uncertain, a.ledger.Entry(items[0]).State)
	keep(3 * time.Second)
	require.Equal(t, ledger.Absent, a.ledger.Entry(items[0]).State)
}

// TestReserveRefuses: each reason for which the ledger allows no order.
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
		{"too much", resident(old, adapter), backend.Load, model, false, ledger.NoMemory},
		{"there already", resident(model), backend.Load, model, false, ledger.Present},
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
			var refusal *ledger.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, tt.want, refusal.Reason)
		})
	}
}

// TestSessionEndsAsAWhole: after a rival has taken one server, no renewal of
// the old session can succeed, not even one sent before.
func TestSessionEndsAsAWhole(t *testing.T) {
	w, a, b := owned(t, true)
	var late row.Tx
	w.advance(time.Second)
	late = a.book.Renew(w.now)
	w.takeOver(t, b)
	require.False(t, w.table.commit(late).Committed)
	a.renew(fate{})
	_, held := a.book.Held(server)
	require.False(t, held)
}

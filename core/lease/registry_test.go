package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/lease"
	"guavapaddle/core/row"
)

const server = "e1"

type (
	table struct {
		rows     map[string]row.Row
		revision uint64
	}

	// contender is a node that competes for the server. Its transactions may be
	// committed at any time after they were created, and replies may be lost.
	contender struct {
		registry    *lease.Registry
		tx          *row.Tx // in transit
		arrivesAt   time.Duration
		pausedUntil time.Duration // the node is paused until then
	}
)

func (t *table) commit(tx row.Tx) row.Result {
	var r row.Result
	for _, c := range tx.Conditions {
		if have := t.rows[c.Key]; have.Revision != c.Revision {
			have.Key = c.Key
			r.Conflicts = append(r.Conflicts, have)
		}
	}
	if len(r.Conflicts) > 0 {
		return r
	}
	t.revision++
	for _, w := range tx.Writes {
		delete(t.rows, w.Key)
		if !w.Delete {
			t.rows[w.Key] = row.Row{Key: w.Key, Value: w.Value, Revision: t.revision}
		}
	}
	return row.Result{Committed: true, Revision: t.revision}
}

func (t *table) read(keys ...string) []row.Row {
	var out []row.Row
	for _, k := range keys {
		r := t.rows[k]
		r.Key = k
		out = append(out, r)
	}
	return out
}

func newRegistry(name string) *lease.Registry {
	return lease.NewRegistry(lease.Settings{Node: name, Incarnation: "1"})
}

// transact commits a transaction and updates the registry with the result.
func (t *table) transact(now time.Duration, b *lease.Registry, tx row.Tx) {
	if r := t.commit(tx); r.Committed {
		b.Committed(now, tx, r.Revision)
	} else {
		b.Observe(now, r.Conflicts...)
	}
}

// TestInvariantLeaseHasOneHolder checks that at most one of three nodes may send
// to a server at any time and that epochs never decrease, although nodes pause,
// transactions are delayed and replies are lost.
func TestInvariantLeaseHasOneHolder(t *testing.T) {
	acquisitions := uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		tab := &table{rows: map[string]row.Row{}}
		var nodes []*contender
		for i := range 3 {
			nodes = append(nodes, &contender{registry: newRegistry(fmt.Sprint("n", i))})
		}
		now, epoch := time.Duration(0), uint64(0)
		for range 1500 {
			now += time.Duration(r.Int64N(int64(400 * time.Millisecond)))
			for _, v := range nodes {
				v.step(r, now, tab)
			}
			holders := 0
			for _, v := range nodes {
				if e, ok := v.registry.MaySend(now, server); ok {
					holders++
					require.GreaterOrEqual(t, e, epoch)
					epoch = e
				}
			}
			require.LessOrEqual(t, holders, 1, "holders at %v", now)
		}
		acquisitions += epoch
	})
	require.Greater(t, acquisitions, uint64(500), "the owner changed too rarely")
}

// step performs one action of a node unless it is paused or waits for a reply.
func (v *contender) step(r *rand.Rand, now time.Duration, t *table) {
	if v.pausedUntil > now {
		return
	}
	if v.tx != nil {
		if now >= v.arrivesAt {
			v.deliver(r, now, t)
		}
		return
	}
	v.registry.Tick(now, time.Time{})
	tx, ok := row.Tx{}, false
	switch {
	case v.registry.RenewDue(now):
		tx, ok = v.registry.Renew(now), true
	case r.IntN(60) == 0:
		tx, ok = v.registry.Release(server)
	case r.IntN(120) == 0:
		tx, ok = v.registry.EndSession()
	case r.IntN(60) == 0:
		v.pausedUntil = now + time.Duration(r.Int64N(int64(15*time.Second)))
	default:
		v.registry.Observe(now, t.read(v.registry.KeysToWatch(server)...)...)
		if _, held := v.registry.Held(server); !held || r.IntN(20) == 0 {
			tx, ok = v.registry.Acquire(now, server, 0)
		}
	}
	if !ok {
		return
	}
	v.tx, v.arrivesAt = &tx, now
	if r.IntN(4) == 0 {
		v.arrivesAt += time.Duration(r.Int64N(int64(8 * time.Second)))
	}
}

// deliver commits the transaction in transit; the transaction or its reply may
// be lost.
func (v *contender) deliver(r *rand.Rand, now time.Duration, t *table) {
	tx := *v.tx
	v.tx = nil
	switch r.IntN(8) {
	case 0: // the transaction is lost
		v.registry.Observe(now, t.read(v.registry.WriteKeys(tx)...)...)
	case 1: // the transaction is committed, its reply is lost
		t.commit(tx)
		v.registry.Observe(now, t.read(v.registry.WriteKeys(tx)...)...)
	case 2: // as before, and the table can't be read back
		t.commit(tx)
	default:
		t.transact(now, v.registry, tx)
	}
}

// heldServer returns the registry of a node that has held the server since second 1,
// and the table.
func heldServer(t *testing.T) (*lease.Registry, *table) {
	tab := &table{rows: map[string]row.Row{}}
	b := newRegistry("n1")
	tab.transact(time.Second, b, b.Renew(time.Second))
	b.Observe(time.Second, tab.read(b.KeysToWatch(server)...)...)
	tx, ok := b.Acquire(time.Second, server, 0)
	require.True(t, ok)
	tab.transact(time.Second, b, tx)
	return b, tab
}

// TestLeaseStartsBeforeRenewalIsSent checks that a renewal whose reply took 3 s
// extends the lease from the moment the renewal was sent, not from the reply.
func TestLeaseStartsBeforeRenewalIsSent(t *testing.T) {
	b, tab := heldServer(t)
	tx := b.Renew(2 * time.Second)
	tab.transact(5*time.Second, b, tx)
	_, ok := b.MaySend(7*time.Second-1, server)
	require.True(t, ok)
	_, ok = b.MaySend(7*time.Second, server)
	require.False(t, ok, "2 s + 6 s less the margin of 1 s")
}

// TestGapInTicksLosesLease checks that no order may be sent after a gap between
// ticks until the session is renewed. The gap shows on the monotonic clock or, if
// that clock stopped during a suspension, only on the wall clock.
func TestGapInTicksLosesLease(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, step := range map[string]struct{ mono, wall time.Duration }{
		"process stopped": {1100 * time.Millisecond, 1100 * time.Millisecond},
		"VM suspended":    {100 * time.Millisecond, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			b, tab := heldServer(t)
			require.False(t, b.Tick(time.Second, start))
			_, ok := b.MaySend(time.Second, server)
			require.True(t, ok)
			now := time.Second + step.mono
			require.True(t, b.Tick(now, start.Add(step.wall)))
			_, ok = b.MaySend(now, server)
			require.False(t, ok)
			require.True(t, b.RenewDue(now))
			tab.transact(now, b, b.Renew(now))
			_, ok = b.MaySend(now, server)
			require.True(t, ok)
		})
	}
}

// TestAcquireRequiresUnchangedSession checks that a node can't acquire a server if
// the owner's session was renewed after the node last read its row.
func TestAcquireRequiresUnchangedSession(t *testing.T) {
	b, tab := heldServer(t)
	c := newRegistry("n2")
	tab.transact(0, c, c.Renew(0))
	for range 2 {
		c.Observe(time.Second, tab.read(c.KeysToWatch(server)...)...)
	}
	wait, known := c.FreeIn(time.Second, server)
	require.True(t, known)
	require.Equal(t, lease.DefaultTTL+lease.DefaultMargin, wait)
	_, ok := c.Acquire(8*time.Second-1, server, 0)
	require.False(t, ok)
	tab.transact(8*time.Second, b, b.Renew(8*time.Second))
	tx, ok := c.Acquire(8*time.Second, server, 0)
	require.True(t, ok)
	tab.transact(8*time.Second, c, tx)
	_, taken := c.Held(server)
	require.False(t, taken)
}

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

	// rival is a node; its transactions may commit at any time after they were
	// made, and their answers may be lost.
	rival struct {
		book   *lease.Book
		tx     *row.Tx // on its way
		arrive time.Duration
		sleeps time.Duration // paused until then
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

func newBook(name string) *lease.Book {
	return lease.NewBook(lease.Settings{Node: name, Incarnation: "1"})
}

// run commits a transaction and tells the book the result.
func (t *table) run(now time.Duration, b *lease.Book, tx row.Tx) {
	if r := t.commit(tx); r.Committed {
		b.Committed(now, tx, r.Revision)
	} else {
		b.Observe(now, r.Conflicts...)
	}
}

// TestInvariantLeaseHasOneHolder: three nodes that are paused, whose
// transactions are late and whose answers are lost never may send to the same
// server at the same time, and epochs never go back.
func TestInvariantLeaseHasOneHolder(t *testing.T) {
	takes := uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		tab := &table{rows: map[string]row.Row{}}
		var rivals []*rival
		for i := range 3 {
			rivals = append(rivals, &rival{book: newBook(fmt.Sprint("n", i))})
		}
		now, epoch := time.Duration(0), uint64(0)
		for range 1500 {
			now += time.Duration(r.Int64N(int64(400 * time.Millisecond)))
			for _, v := range rivals {
				v.step(r, now, tab)
			}
			holders := 0
			for _, v := range rivals {
				if e, ok := v.book.MaySend(now, server); ok {
					holders++
					require.GreaterOrEqual(t, e, epoch)
					epoch = e
				}
			}
			require.LessOrEqual(t, holders, 1, "holders at %v", now)
		}
		takes += epoch
	})
	require.Greater(t, takes, uint64(500), "the lease hardly changed hands")
}

// step lets a node do one thing unless it is paused or waits for an answer.
func (v *rival) step(r *rand.Rand, now time.Duration, t *table) {
	if v.sleeps > now {
		return
	}
	if v.tx != nil {
		if now >= v.arrive {
			v.deliver(r, now, t)
		}
		return
	}
	v.book.Tick(now, time.Time{})
	tx, ok := row.Tx{}, false
	switch {
	case v.book.RenewDue(now):
		tx, ok = v.book.Renew(now), true
	case r.IntN(60) == 0:
		tx, ok = v.book.Release(server)
	case r.IntN(120) == 0:
		tx, ok = v.book.End()
	case r.IntN(60) == 0:
		v.sleeps = now + time.Duration(r.Int64N(int64(15*time.Second)))
	default:
		v.book.Observe(now, t.read(v.book.Watch(server)...)...)
		if _, held := v.book.Held(server); !held || r.IntN(20) == 0 {
			tx, ok = v.book.Take(now, server, 0)
		}
	}
	if !ok {
		return
	}
	v.tx, v.arrive = &tx, now
	if r.IntN(4) == 0 {
		v.arrive += time.Duration(r.Int64N(int64(8 * time.Second)))
	}
}

// deliver commits the transaction on its way; its answer may be lost.
func (v *rival) deliver(r *rand.Rand, now time.Duration, t *table) {
	tx := *v.tx
	v.tx = nil
	switch r.IntN(8) {
	case 0: // never arrived
		v.book.Observe(now, t.read(v.book.Keys(tx)...)...)
	case 1: // took effect, answer lost
		t.commit(tx)
		v.book.Observe(now, t.read(v.book.Keys(tx)...)...)
	case 2: // the same, and the table can't be read either
		t.commit(tx)
	default:
		t.run(now, v.book, tx)
	}
}

// held returns a book that holds the server since second 1 and the table.
func held(t *testing.T) (*lease.Book, *table) {
	tab := &table{rows: map[string]row.Row{}}
	b := newBook("n1")
	tab.run(time.Second, b, b.Renew(time.Second))
	b.Observe(time.Second, tab.read(b.Watch(server)...)...)
	tx, ok := b.Take(time.Second, server, 0)
	require.True(t, ok)
	tab.run(time.Second, b, tx)
	return b, tab
}

// TestLeaseCountsFromBeforeTheSend: a renewal whose answer took 3 s extends the
// lease from the moment it was sent.
func TestLeaseCountsFromBeforeTheSend(t *testing.T) {
	b, tab := held(t)
	tx := b.Renew(2 * time.Second)
	tab.run(5*time.Second, b, tx)
	_, ok := b.MaySend(7*time.Second-1, server)
	require.True(t, ok)
	_, ok = b.MaySend(7*time.Second, server)
	require.False(t, ok, "2 s + 6 s less the margin of 1 s")
}

// TestGapInTicksLosesLease: by the monotonic clock, and by the wall clock while
// the monotonic one stood still.
func TestGapInTicksLosesLease(t *testing.T) {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, step := range map[string]struct{ mono, wall time.Duration }{
		"process stopped": {1100 * time.Millisecond, 1100 * time.Millisecond},
		"VM suspended":    {100 * time.Millisecond, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			b, tab := held(t)
			require.False(t, b.Tick(time.Second, start))
			_, ok := b.MaySend(time.Second, server)
			require.True(t, ok)
			now := time.Second + step.mono
			require.True(t, b.Tick(now, start.Add(step.wall)))
			_, ok = b.MaySend(now, server)
			require.False(t, ok)
			require.True(t, b.RenewDue(now))
			tab.run(now, b, b.Renew(now))
			_, ok = b.MaySend(now, server)
			require.True(t, ok)
		})
	}
}

// TestTakeDemandsThatTheSessionIsUnchanged: a renewal that arrives after the
// rival's last look stops the rival.
func TestTakeDemandsThatTheSessionIsUnchanged(t *testing.T) {
	b, tab := held(t)
	c := newBook("n2")
	tab.run(0, c, c.Renew(0))
	for range 2 {
		c.Observe(time.Second, tab.read(c.Watch(server)...)...)
	}
	wait, known := c.Free(time.Second, server)
	require.True(t, known)
	require.Equal(t, lease.DefaultTTL+lease.DefaultMargin, wait)
	_, ok := c.Take(8*time.Second-1, server, 0)
	require.False(t, ok)
	tab.run(8*time.Second, b, b.Renew(8*time.Second))
	tx, ok := c.Take(8*time.Second, server, 0)
	require.True(t, ok)
	tab.run(8*time.Second, c, tx)
	_, taken := c.Held(server)
	require.False(t, taken)
}

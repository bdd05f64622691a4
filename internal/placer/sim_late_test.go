package placer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
	"guavapaddle/platform"
)

// lateModel sends orders to simulated engines, but the first load of a model with a number of at least minSequence gets no reply.
type lateModel struct {
	simEngines

	minSequence int64

	mu     sync.Mutex
	order  platform.Order
	lostAt time.Time // zero before
}

// SendOrder implements placer.Engines.
func (l *lateModel) SendOrder(ctx context.Context, s fleet.Server, o platform.Order) (platform.Verdict, error) {
	if l.loses(o) {
		return 0, errNoReply
	}
	return l.simEngines.SendOrder(ctx, s, o)
}

// loses reports whether an order gets no reply.
func (l *lateModel) loses(o platform.Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostAt.IsZero() && o.Load && o.Adapter == "" && o.Sequence >= l.minSequence {
		l.lostAt, l.order = time.Now(), o
	}
	return !l.lostAt.IsZero() && o == l.order
}

// lost returns the order that got no reply, and when it was sent, zero before.
func (l *lateModel) lost() (platform.Order, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.order, l.lostAt
}

// TestUnansweredModelLoadOutlastsRestart guards against a model that is loaded beyond the memory of an engine: its load gets no reply, the engine
// starts again under its ID and is filled by as many orders as the load requires, and the load is executed late.
func TestUnansweredModelLoadOutlastsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newSimWorld(ctx, 1, 1)
		l := &lateModel{simEngines: simEngines{w}, minSequence: 3}
		n := w.start(l)
		e := w.pick(w.newRand())
		demand := func() {
			r := hub.Report{Node: "entry"}
			for _, m := range []string{"m4", "m9", "m10", "m11", "m12"} {
				r.Demand = append(r.Demand, hub.Demand{Item: hub.Item{Service: simService, Model: m}, Tokens: 2000, Waiting: 1})
			}
			n.Report(r)
			clock.Sleep(ctx, 50*time.Millisecond)
		}
		order, lostAt := l.lost()
		for ; lostAt.IsZero() && time.Since(w.origin) < 5*time.Minute; order, lostAt = l.lost() {
			demand()
		}
		require.Equal(t, int64(3), order.Sequence, "a load that an engine with three accepted orders executes")
		e.restart()
		executed := platform.Conflict
		for time.Since(lostAt) < simMaxDelay && executed == platform.Conflict {
			demand()
			if e.count() == order.Sequence {
				executed = e.execute(order)
			}
		}
		for time.Since(lostAt) < 2*simMaxDelay {
			demand()
		}
		require.Empty(t, w.faults)
		require.Greater(t, e.count(), int64(0), "the engine gets orders again")
		cancel()
		w.wg.Wait()
		clock.Sleep(t.Context(), simMaxDelay+simFromStore)
	})
}

package placer_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/placer"
	"guavapaddle/platform"
)

// loadLimit is how many loads from the weight store may start within a window: its rate plus
// a tenth, and three more.
const loadLimit = 14 // 2.1 * 5 * 1.1 + 3, rounded down

// delayedLoads sends orders to simulated engines, but no load of a model gets a reply: all
// are executed at the same time, as far as their sequence numbers are still valid then.
type delayedLoads struct {
	simEngines
	at time.Time
}

// SendOrder implements placer.Engines.
func (l *delayedLoads) SendOrder(ctx context.Context, s fleet.Server, o platform.Order) (platform.Verdict, error) {
	if !o.Load || time.Now().After(l.at) {
		return l.simEngines.SendOrder(ctx, s, o)
	}
	time.AfterFunc(time.Until(l.at), func() { l.world.engine(s.ID).execute(o) })
	<-ctx.Done()
	return 0, errNoReply
}

// runLoads runs f in a simulated deployment whose engines hold few models, so that many
// loads are due.
func runLoads(t *testing.T, f func(ctx context.Context, t *testing.T, w *simWorld)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newSimWorld(ctx, 1, simEngineN)
		w.requested = nil
		for _, e := range w.engines {
			clear(e.disk)
			e.restart()
		}
		f(ctx, t, w)
		cancel()
		w.wg.Wait()
		clock.Sleep(t.Context(), simMaxDelay+simFromStore) // all timers have fired
		most, at := w.worstWindow()
		require.LessOrEqual(t, most, loadLimit, "from %v on\n%s", at, strings.Join(w.events, "\n"))
		require.Greater(t, most, 5, "loads were due")
	})
}

// waitUntilLeader waits until a node is the leader.
func (n *simNode) waitUntilLeader(ctx context.Context) {
	for !n.IsLeading() && clock.Sleep(ctx, 10*time.Millisecond) {
	}
}

// TestUnackedLoadsCountUntilResolved guards against more loads within five seconds than the
// weight store has capacity for. Load orders had got no reply; the leader counted each for
// five seconds from its order and ordered others instead, and then all the late ones started
// at the same time.
func TestUnackedLoadsCountUntilResolved(t *testing.T) {
	runLoads(t, func(ctx context.Context, t *testing.T, w *simWorld) {
		w.start(&delayedLoads{simEngines{w}, time.Now().Add(9 * time.Second)})
		clock.Sleep(ctx, 20*time.Second)
	})
}

// TestLeaderSendsNoOrdersAfterRelease guards against a leader that hands over the number of
// loads it has started, and keeps ordering more until its lease would have expired.
func TestLeaderSendsNoOrdersAfterRelease(t *testing.T) {
	runLoads(t, func(ctx context.Context, t *testing.T, w *simWorld) {
		a := w.start(nil)
		a.waitUntilLeader(ctx)
		clock.Sleep(ctx, 800*time.Millisecond)
		b := w.start(nil)
		clock.Sleep(ctx, time.Second)
		a.Release(ctx)
		require.False(t, a.IsLeading(), "it has released the lease")
		released := time.Now()
		b.waitUntilLeader(ctx)
		require.Less(t, time.Since(released), time.Second, "the next leader needn't wait for the lease to expire")
		clock.Sleep(ctx, 5*time.Second)
	})
}

// TestLoadsOfAllPreviousLeadersCount guards against a handover that omits loads of earlier
// leaders: after two changes of leader within five seconds, the third leader knew the loads
// of the second, but not those of the first.
func TestLoadsOfAllPreviousLeadersCount(t *testing.T) {
	runLoads(t, func(ctx context.Context, t *testing.T, w *simWorld) {
		a := w.start(nil)
		a.waitUntilLeader(ctx)
		clock.Sleep(ctx, 1200*time.Millisecond)
		b := w.start(nil)
		clock.Sleep(ctx, 100*time.Millisecond)
		a.Release(ctx)
		w.remove(a)
		b.waitUntilLeader(ctx)
		c := w.start(nil)
		clock.Sleep(ctx, 100*time.Millisecond)
		b.Release(ctx)
		w.remove(b)
		c.waitUntilLeader(ctx)
		clock.Sleep(ctx, 5*time.Second)
	})
}

// TestKilledLeaderIsAssumedToHaveUsedItsWindow guards against a new leader that
// underestimates its predecessor's loads. A leader was killed just after it had started as
// many loads as allowed, without having recorded them; the next one started half a window's
// loads.
func TestKilledLeaderIsAssumedToHaveUsedItsWindow(t *testing.T) {
	runLoads(t, func(ctx context.Context, t *testing.T, w *simWorld) {
		a := w.start(nil)
		a.waitUntilLeader(ctx)
		b := w.start(nil)
		clock.Sleep(ctx, 900*time.Millisecond)
		w.remove(a)
		b.waitUntilLeader(ctx)
		clock.Sleep(ctx, 5*time.Second)
	})
}

// TestLoadsOfLostTermCount guards against a new leader that knows nothing of the loads of a term that the
// store has lost: the restored row says that nobody held the lease.
func TestLoadsOfLostTermCount(t *testing.T) {
	runLoads(t, func(ctx context.Context, t *testing.T, w *simWorld) {
		a := w.start(nil)
		for w.leader() != a && clock.Sleep(ctx, time.Millisecond) {
		}
		a.Release(ctx)
		w.remove(a)
		w.copyStore()
		b := w.start(nil)
		b.waitUntilLeader(ctx)
		clock.Sleep(ctx, time.Second)
		w.restoreFrom(time.Now(), 0)
		w.remove(b)
		c := w.start(nil)
		c.waitUntilLeader(ctx)
		clock.Sleep(ctx, 5*time.Second)
	})
}

var _ placer.Engines = (*delayedLoads)(nil)

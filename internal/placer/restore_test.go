package placer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform/standin"
)

// leading returns the placers that act as leader.
func leading(list ...*testPlacer) []*testPlacer {
	var out []*testPlacer
	for _, h := range list {
		if h.IsLeading() {
			out = append(out, h)
		}
	}
	return out
}

// TestLeaseIsRenewedAfterRestore guards against a lease that nobody can write any more after the
// store was restored from a copy, because its versions are lower than those that the nodes know.
func TestLeaseIsRenewedAfterRestore(t *testing.T) {
	t.Parallel()
	for name, outage := range map[string]time.Duration{"at once": 0, "after the lease has lapsed": 2 * ttl} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := standin.NewStore(t)
			a := startPlacer(t, s, "a", leaderUnreachable)
			eventually(t, "the first is leader", a.IsLeading)
			b := startPlacer(t, s, "b", leaderUnreachable)
			copied := s.Backup()
			before := s.Row("lease", "orders").Version
			eventually(t, "renewed", func() bool { return s.Row("lease", "orders").Version >= before+3 })
			s.Outage(outage > 0)
			<-time.After(outage)
			s.Restore(copied)
			s.Outage(false)
			eventually(t, "the lease is written", func() bool { return s.Row("lease", "orders").Version > before })
			eventually(t, "one node is leader", func() bool { return len(leading(a, b)) == 1 })
			began := time.Now()
			for time.Since(began) < 3*ttl {
				require.Len(t, leading(a, b), 1)
				<-time.After(5 * time.Millisecond)
			}
		})
	}
}

// TestEpochIsNotReusedAfterRestore guards against two leaders with one epoch: the store has lost the
// acquisition by the current leader, and its row names the previous one again.
func TestEpochIsNotReusedAfterRestore(t *testing.T) {
	t.Parallel()
	s := standin.NewStore(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	eventually(t, "the first is leader", a.IsLeading)
	copied := s.Backup()
	b := startPlacer(t, s, "b", leaderUnreachable)
	eventually(t, "the second knows the first", func() bool { l, ok := b.Leader(); return ok && l.Node == "a" })
	a.Release(context.Background())
	eventually(t, "the second is leader", b.IsLeading)
	lost, _ := b.Leader()
	s.Restore(copied)
	c := startPlacer(t, s, "c", leaderUnreachable)
	row := s.Row("lease", "orders").Version
	began := time.Now()
	for time.Since(began) < 4*ttl {
		require.LessOrEqual(t, len(leading(a, b, c)), 1)
		for _, h := range leading(a, c) {
			l, _ := h.Leader()
			require.Greater(t, l.Epoch, lost.Epoch, "the epoch of the lost acquisition was given out again")
		}
		<-time.After(5 * time.Millisecond)
	}
	require.Greater(t, s.Row("lease", "orders").Version, row, "the lease is held again")
	require.Len(t, leading(a, b, c), 1)
}

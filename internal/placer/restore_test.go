package placer_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/leader"
	"guavapaddle/core/revision"
	"guavapaddle/internal/placer"
	"guavapaddle/io/jsonhttp"
	"guavapaddle/platform"
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

// gatedStore is a store that a node can't reach while it is closed.
type gatedStore struct {
	placer.Store

	closed atomic.Bool
}

func (g *gatedStore) ReadOne(ctx context.Context, table, key string) (platform.Row, error) {
	if g.closed.Load() {
		return platform.Row{}, errNoReply
	}
	return g.Store.ReadOne(ctx, table, key)
}

func (g *gatedStore) Change(ctx context.Context, c platform.Change) ([]platform.Row, revision.Revision, bool, error) {
	if g.closed.Load() {
		return nil, revision.Revision{}, false, errNoReply
	}
	return g.Store.Change(ctx, c)
}

// TestRenewalDoesNotReplaceRowOfSameVersion guards against a leader that overwrites another node's lease
// because the restored store has assigned the expected version again.
func TestRenewalDoesNotReplaceRowOfSameVersion(t *testing.T) {
	t.Parallel()
	s := standin.NewStore(t)
	gate := &gatedStore{Store: &platform.Store{Client: &jsonhttp.Client{Address: s.Address()}}}
	a := startPlacerWith(t, gate, "a", leaderUnreachable)
	eventually(t, "the first is leader", a.IsLeading)
	copied := s.Backup()
	before := s.Row("lease", "orders").Version
	eventually(t, "renewed", func() bool { return s.Row("lease", "orders").Version >= before+3 })
	gate.closed.Store(true)
	<-time.After(2 * ttl) // the lease has lapsed
	expected := s.Row("lease", "orders").Version
	s.Restore(copied)
	for s.Put("other", "x", nil) < expected-1 {
	}
	value, err := json.Marshal(leader.Lease{Node: "b", Incarnation: "b", Key: "b", Cores: 1, Epoch: 1<<20 + 1})
	require.NoError(t, err)
	require.Equal(t, expected, s.Put("lease", "orders", value))
	gate.closed.Store(false)
	eventually(t, "the first knows the second", func() bool { l, ok := a.Leader(); return ok && l.Node == "b" })
	require.Equal(t, value, s.Row("lease", "orders").Value)
}

// TestEntryThatGoesBackDoesNotFreeMemory guards against an engine that is ordered to load more than it holds, since a copy from which
// the store was restored lacks a model that it has loaded meanwhile.
func TestEntryThatGoesBackDoesNotFreeMemory(t *testing.T) {
	t.Parallel()
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Hold("m1").Start(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	a.SetConfig(configWith(fleet.Engine{WeightsMB: 230000, LoadsPerS: 50}, 4, 0))
	old := entryOf(w)
	a.SetServers([]fleet.Server{old})
	eventually(t, "the third model is loaded", func() bool { return len(w.Models()) == 3 })
	a.SetServers([]fleet.Server{entryOf(w)})
	a.mu.Lock()
	a.waiting = map[string]int{"m2": 1, "m3": 5}
	a.mu.Unlock()
	a.SetServers([]fleet.Server{old}) // as the store was restored
	require.Never(t, func() bool { return w.MaxModels() > 3 }, 2*time.Second, 5*time.Millisecond)
}

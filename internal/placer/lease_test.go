package placer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/leader"
	"guavapaddle/platform/standin"
)

func TestLeasePassesToAnotherNodeOnRelease(t *testing.T) {
	s := standin.NewStore(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	eventually(t, "the first is leader", a.IsLeading)
	b := startPlacer(t, s, "b", leaderUnreachable)
	eventually(t, "the second knows the first", func() bool { l, ok := b.Leader(); return ok && l.Node == "a" })
	require.False(t, b.IsLeading())
	a.Release(context.Background())
	eventually(t, "released", b.IsLeading)
	l, _ := b.Leader()
	require.EqualValues(t, 2, l.Epoch)
	eventually(t, "the first is no longer leader", func() bool { return !a.IsLeading() })
}

// TestIsolatedLeaderGivesUpLease guards against a leader that has lost its path to the engines and keeps the lease
// though its orders fail.
func TestIsolatedLeaderGivesUpLease(t *testing.T) {
	s := standin.NewStore(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	eventually(t, "the first is leader", a.IsLeading)
	b := startPlacer(t, s, "b", leaderUnreachable)
	eventually(t, "the second knows the first", func() bool { l, ok := b.Leader(); return ok && l.Node == "a" })
	a.isolated.Store(true)
	eventually(t, "the second is leader", b.IsLeading)
	require.False(t, a.IsLeading())
	a.isolated.Store(false)
	b.Release(context.Background())
	eventually(t, "the first is leader again", a.IsLeading)
}

// TestReleaseDuringRenewal stops a leader after the store has executed its renewal but
// before it has replied.
func TestReleaseDuringRenewal(t *testing.T) {
	s := standin.NewStore(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	eventually(t, "the first is leader", a.IsLeading)
	b := startPlacer(t, s, "b", leaderUnreachable)
	eventually(t, "the second knows the first", func() bool { l, ok := b.Leader(); return ok && l.Node == "a" })
	before := s.Row("lease", "orders").Version
	s.DropReplies(1)
	eventually(t, "a renewal is done", func() bool { return s.Row("lease", "orders").Version > before })
	a.Release(context.Background())
	eventually(t, "the second is leader", b.IsLeading)
}

func TestLeaseSurvivesLostRenewalReply(t *testing.T) {
	s := standin.NewStore(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	eventually(t, "the first is leader", a.IsLeading)
	before := s.Row("lease", "orders").Version
	s.DropReplies(2)
	eventually(t, "renewed", func() bool { return s.Row("lease", "orders").Version >= before+4 })
	eventually(t, "still leader", a.IsLeading)
	l, _ := a.Leader()
	require.EqualValues(t, 1, l.Epoch)
	require.Equal(t, 1, a.terms)
}

func TestLeadershipEndsInOutageWithoutFencing(t *testing.T) {
	s := standin.NewStore(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	a.Fencing = false
	eventually(t, "the first is leader", a.IsLeading)
	s.Outage(true)
	eventually(t, "is no longer leader", func() bool { return !a.IsLeading() })
	s.Outage(false)
	eventually(t, "is leader again", a.IsLeading)
}

// TestLoadsOfPreviousLeaderCount has a leader start all loads that a window allows and
// release the lease: the next leader has to wait before it starts more.
func TestLoadsOfPreviousLeaderCount(t *testing.T) {
	s := standin.NewStore(t)
	c := configWith(fleet.Engine{WeightsMB: 2300000, LoadsPerS: 1}, 9, 0)
	var list []*standin.Worker
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8", "i-9"} {
		list = append(list, (&standin.Worker{ID: id}).Start(t))
	}
	loaded := func() int {
		n := 0
		for _, w := range list {
			n += len(w.Models())
		}
		return n
	}
	configure := func(h *testPlacer) {
		var servers []fleet.Server
		for _, w := range list {
			servers = append(servers, entryOf(w))
		}
		h.SetConfig(c)
		h.SetServers(servers)
	}
	a := startPlacer(t, s, "a", leaderUnreachable)
	configure(a)
	eventually(t, "a window's loads", func() bool { return loaded() == 5 })
	a.Release(context.Background())
	b := startPlacer(t, s, "b", leaderUnreachable)
	configure(b)
	eventually(t, "released", b.IsLeading)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		require.LessOrEqual(t, loaded(), 6, "a new leader may start one")
	}
	require.Equal(t, 6, loaded())
}

// TestLeaseRowIsBounded guards against a row that the store refuses because it names the loads in progress of
// thousands of engines: the leader could not renew the lease.
func TestLeaseRowIsBounded(t *testing.T) {
	const rowBytes = 64 << 10
	s := standin.NewStore(t)
	previous := leader.Lease{Node: "ghost", Incarnation: "1", Epoch: 1, Cores: 1, Loading: map[string]string{}}
	for i := range 4000 {
		previous.Loading[fmt.Sprintf("i-%010x", i)] = "model-0001"
	}
	value, err := json.Marshal(previous)
	require.NoError(t, err)
	s.Put("lease", "orders", value)
	h := startPlacer(t, s, "n1", leaderUnreachable)
	var list []fleet.Server
	for i := range 4000 {
		list = append(list, fleet.Server{ID: fmt.Sprintf("i-%010x", i), Service: "llm", Address: "127.0.0.1:1", Slots: 8, OnDisk: []string{"m0"}})
	}
	h.SetServers(list)
	eventually(t, "leading", h.IsLeading)
	before := s.Row("lease", "orders").Version
	eventually(t, "renewed", func() bool { return s.Row("lease", "orders").Version > before+2 })
	require.Less(t, len(s.Row("lease", "orders").Value), rowBytes)
}

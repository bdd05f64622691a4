package placer_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/hub"
	"guavapaddle/platform/standin"
)

// TestLoadOfPreviousLeaderKeepsItsMemory guards against an order that was planned without a
// model which a previous leader had ordered. The engine completes that load between the next
// leader's plan and its report, so that the report and the newest entry agree; the planned
// order must not be sent.
func TestLoadOfPreviousLeaderKeepsItsMemory(t *testing.T) {
	s := standin.NewStore(t)
	c := configWith(fleet.Engine{WeightsMB: 230000, LoadsPerS: 1}, 4, 0)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Hold("m1").SlowLoads().Start(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	a.SetConfig(c)
	a.SetServers([]fleet.Server{entryOf(w)})
	eventually(t, "a load is in progress", func() bool { return w.Loading() != "" })
	a.Release(context.Background())
	b := startPlacer(t, s, "b", leaderUnreachable)
	b.mu.Lock()
	b.waiting = map[string]int{"m3": 5}
	b.mu.Unlock()
	b.SetConfig(c)
	b.SetServers([]fleet.Server{entryOf(w)})
	busy := w.Reports() + 2
	w.OnReport(func() {
		if w.Reports() > busy {
			w.FinishLoad()
			b.SetServers([]fleet.Server{entryOf(w)})
		}
	})
	eventually(t, "the load has ended", func() bool { return w.Loading() == "" })
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		require.LessOrEqual(t, w.MaxModels(), 3, "three models fit")
		time.Sleep(time.Millisecond)
	}
}

// TestSequenceIsReadAgainAfterConflict has an engine accept an order from elsewhere that the
// leader doesn't know of.
func TestSequenceIsReadAgainAfterConflict(t *testing.T) {
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Hold("m1").Start(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	a.SetConfig(twoModelConfig())
	a.SetServers([]fleet.Server{entryOf(w)})
	eventually(t, "is leader", a.IsLeading)
	request := func(adapter string) bool {
		return a.RequestLoad(context.Background(), hub.LoadRequest{Item: hub.Item{Service: "llm", Model: "m0", Adapter: adapter}}).Found
	}
	eventually(t, "the record is read", func() bool { return request("a1") })
	w.AcceptForeignOrder()
	require.False(t, request("a2"), "the sequence number differs")
	orders := w.Orders()
	require.EqualValues(t, 1, orders[len(orders)-1]["expected"])
	eventually(t, "it is read again", func() bool { return request("a2") })
	orders = w.Orders()
	require.EqualValues(t, 2, orders[len(orders)-1]["expected"])
}

// TestLoadsInProgressPassToNextLeader has a leader start a load and release the lease: the
// next leader counts the copy that is loading, and sends no order to the engine until its
// report shows that the load has completed.
func TestLoadsInProgressPassToNextLeader(t *testing.T) {
	s := standin.NewStore(t)
	c := configWith(fleet.Engine{WeightsMB: 230000, LoadsPerS: 2}, 3, 0)
	first := (&standin.Worker{ID: "i-1"}).Hold("m0").Hold("m1").SlowLoads().Start(t)
	other := (&standin.Worker{ID: "i-2"}).Hold("m0").Hold("m1").SlowLoads().Start(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	a.SetConfig(c)
	a.SetServers([]fleet.Server{entryOf(first)})
	eventually(t, "a load is in progress", func() bool { return first.Loading() == "m2" })
	a.Release(context.Background())
	b := startPlacer(t, s, "b", leaderUnreachable)
	b.mu.Lock()
	b.waiting = map[string]int{"m2": 5}
	b.mu.Unlock()
	b.SetConfig(c)
	b.SetServers([]fleet.Server{entryOf(first), entryOf(other)})
	eventually(t, "the next node is leader", b.IsLeading)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		require.Empty(t, other.Orders(), "a copy is loading already")
		require.Len(t, first.Orders(), 1, "it is busy")
		time.Sleep(time.Millisecond)
	}
	first.Restart() // the load never completes: its copy is missing again
	b.SetServers([]fleet.Server{entryOf(first), entryOf(other)})
	eventually(t, "then it is loaded again", func() bool { return other.Loading() == "m2" || first.Loading() == "m2" })
}

// TestRestartedEngineIsReadAgain restarts an engine with a record under the same ID: its
// content is gone, and its orders are counted from zero.
func TestRestartedEngineIsReadAgain(t *testing.T) {
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0", "a1").Start(t)
	a := startPlacer(t, s, "a", leaderUnreachable)
	a.SetConfig(twoModelConfig())
	a.SetServers([]fleet.Server{entryOf(w)})
	eventually(t, "m1 is loaded", func() bool { _, ok := w.Models()["m1"]; return ok })
	a.SetServers([]fleet.Server{entryOf(w)})
	w.Restart()
	orders := len(w.Orders())
	a.SetServers([]fleet.Server{entryOf(w)})
	eventually(t, "a model is loaded again", func() bool { return len(w.Orders()) > orders })
	require.EqualValues(t, 0, w.Orders()[orders]["expected"], "counted from zero")
	a.SetServers([]fleet.Server{entryOf(w)})
	eventually(t, "both are there", func() bool {
		a.SetServers([]fleet.Server{entryOf(w)})
		return len(w.Models()) == 2
	})
	eventually(t, "an adapter that it held is loaded again", func() bool {
		a.SetServers([]fleet.Server{entryOf(w)})
		a.RequestLoad(context.Background(), hub.LoadRequest{Item: hub.Item{Service: "llm", Model: "m0", Adapter: "a1"}})
		return slices.Contains(w.Models()["m0"], "a1")
	})
}

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

// TestALoadOfTheHolderBeforeKeepsItsMemory lets a holder begin a load and hand the
// lease over. The engine ends that load between the next holder's plan and its
// report, so that the report and the newest entry agree: the order that was
// planned without the model must not go out.
func TestALoadOfTheHolderBeforeKeepsItsMemory(t *testing.T) {
	s := standin.NewStore(t)
	c := configOf(fleet.Engine{WeightsMB: 230000, LoadsPerS: 1}, 4, 0)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Hold("m1").SlowLoads().Start(t)
	a := start(t, s, "a", never)
	a.Config(c)
	a.Servers([]fleet.Server{listed(w)})
	eventually(t, "a load is under way", func() bool { return w.Loading() != "" })
	a.Release(context.Background())
	b := start(t, s, "b", never)
	b.mu.Lock()
	b.waiting = map[string]int{"m3": 5}
	b.mu.Unlock()
	b.Config(c)
	b.Servers([]fleet.Server{listed(w)})
	busy := w.Reports() + 2
	w.OnReport(func() {
		if w.Reports() > busy {
			w.FinishLoad()
			b.Servers([]fleet.Server{listed(w)})
		}
	})
	eventually(t, "the load has ended", func() bool { return w.Loading() == "" })
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		require.LessOrEqual(t, w.MostModels(), 3, "three models fit")
		time.Sleep(time.Millisecond)
	}
}

// TestTheSequenceIsReadAgainAfterAConflict has an engine accept an order of somebody
// else that the holder doesn't know of.
func TestTheSequenceIsReadAgainAfterAConflict(t *testing.T) {
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Hold("m1").Start(t)
	a := start(t, s, "a", never)
	a.Config(config())
	a.Servers([]fleet.Server{listed(w)})
	eventually(t, "holding", a.Holding)
	want := func(adapter string) bool {
		return a.Want(context.Background(), hub.Want{Item: hub.Item{Service: "llm", Model: "m0", Adapter: adapter}}).Found
	}
	eventually(t, "the ledger is read", func() bool { return want("a1") })
	w.Accept()
	require.False(t, want("a2"), "the number differs")
	orders := w.Orders()
	require.EqualValues(t, 1, orders[len(orders)-1]["expected"])
	eventually(t, "it is read again", func() bool { return want("a2") })
	orders = w.Orders()
	require.EqualValues(t, 2, orders[len(orders)-1]["expected"])
}

// TestLoadsUnderWayPassToTheNextHolder lets a holder begin a load and hand the
// lease over: the next one counts the copy that is coming, and orders nothing at the
// engine until its report says that it is done.
func TestLoadsUnderWayPassToTheNextHolder(t *testing.T) {
	s := standin.NewStore(t)
	c := configOf(fleet.Engine{WeightsMB: 230000, LoadsPerS: 2}, 3, 0)
	first := (&standin.Worker{ID: "i-1"}).Hold("m0").Hold("m1").SlowLoads().Start(t)
	other := (&standin.Worker{ID: "i-2"}).Hold("m0").Hold("m1").SlowLoads().Start(t)
	a := start(t, s, "a", never)
	a.Config(c)
	a.Servers([]fleet.Server{listed(first)})
	eventually(t, "a load is under way", func() bool { return first.Loading() == "m2" })
	a.Release(context.Background())
	b := start(t, s, "b", never)
	b.mu.Lock()
	b.waiting = map[string]int{"m2": 5}
	b.mu.Unlock()
	b.Config(c)
	b.Servers([]fleet.Server{listed(first), listed(other)})
	eventually(t, "the next one holds the lease", b.Holding)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		require.Empty(t, other.Orders(), "a copy is coming already")
		require.Len(t, first.Orders(), 1, "it is busy")
		time.Sleep(time.Millisecond)
	}
	first.Restart() // the load never ends: its copy is missing again
	b.Servers([]fleet.Server{listed(first), listed(other)})
	eventually(t, "then it is loaded elsewhere", func() bool { return other.Loading() == "m2" || first.Loading() == "m2" })
}

// TestAnEngineThatStartsAgainUnderItsIDIsReadAnew lets an engine with a ledger
// start again: what it held is gone, and its orders are counted from zero.
func TestAnEngineThatStartsAgainUnderItsIDIsReadAnew(t *testing.T) {
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0", "a1").Start(t)
	a := start(t, s, "a", never)
	a.Config(config())
	a.Servers([]fleet.Server{listed(w)})
	eventually(t, "m1 is loaded", func() bool { _, ok := w.Models()["m1"]; return ok })
	a.Servers([]fleet.Server{listed(w)})
	w.Restart()
	orders := len(w.Orders())
	a.Servers([]fleet.Server{listed(w)})
	eventually(t, "a model is loaded again", func() bool { return len(w.Orders()) > orders })
	require.EqualValues(t, 0, w.Orders()[orders]["expected"], "counted anew")
	a.Servers([]fleet.Server{listed(w)})
	eventually(t, "both are there", func() bool {
		a.Servers([]fleet.Server{listed(w)})
		return len(w.Models()) == 2
	})
	eventually(t, "an adapter that it held is loaded again", func() bool {
		a.Servers([]fleet.Server{listed(w)})
		a.Want(context.Background(), hub.Want{Item: hub.Item{Service: "llm", Model: "m0", Adapter: "a1"}})
		return slices.Contains(w.Models()["m0"], "a1")
	})
}

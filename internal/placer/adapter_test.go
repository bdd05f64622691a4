package placer_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

func TestAdaptersAreLoadedOnDemandAndMakeRoomForEachOther(t *testing.T) {
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Hold("m1").Start(t)
	a := start(t, s, "a", never)
	a.Config(config())
	a.Servers([]fleet.Server{listed(w)})
	eventually(t, "holding", a.Holding)
	want := func(adapter string) hub.Offer {
		return a.Want(context.Background(), hub.Want{Item: hub.Item{Service: "llm", Model: "m0", Adapter: adapter}})
	}
	for _, adapter := range []string{"a1", "a2"} {
		o := want(adapter)
		require.True(t, o.Found, o.Why)
		require.Equal(t, "i-1", o.Server)
	}
	require.ElementsMatch(t, []string{"a1", "a2"}, w.Models()["m0"])
	eventually(t, "a third makes room once the first is idle", func() bool { return want("a3").Found })
	require.Len(t, w.Models()["m0"], 2, "never more than there are places")
	require.Contains(t, w.Models()["m0"], "a3")
	require.False(t, a.Want(context.Background(), hub.Want{Item: hub.Item{Service: "llm", Model: "none", Adapter: "a1"}}).Found)
}

func TestAnAdapterIsLoadedBesideExcludedEngines(t *testing.T) {
	s := standin.NewStore(t)
	holds := (&standin.Worker{ID: "i-1"}).Hold("m0", "a1").Hold("m1").Start(t)
	lacks := (&standin.Worker{ID: "i-2"}).Hold("m0").Hold("m1").Start(t)
	a := start(t, s, "a", never)
	a.Config(config())
	a.Servers([]fleet.Server{listed(holds), listed(lacks)})
	eventually(t, "holding", a.Holding)
	w := hub.Want{Item: hub.Item{Service: "llm", Model: "m0", Adapter: "a1"}}
	require.Equal(t, "i-1", a.Want(context.Background(), w).Server)
	w.Exclude = []string{"i-1"}
	require.Equal(t, "i-2", a.Want(context.Background(), w).Server)
	require.Equal(t, []string{"a1"}, lacks.Models()["m0"])
}

func TestAnAdapterInUseKeepsItsPlace(t *testing.T) {
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0", "a1", "a2").Hold("m1").Start(t)
	w.Use("m0", "a1", true)
	w.Use("m0", "a2", true)
	a := start(t, s, "a", never)
	a.Config(config())
	a.Servers([]fleet.Server{listed(w)})
	eventually(t, "holding", a.Holding)
	want := func() bool {
		return a.Want(context.Background(), hub.Want{Item: hub.Item{Service: "llm", Model: "m0", Adapter: "a3"}}).Found
	}
	eventually(t, "both places were asked for", func() bool {
		require.False(t, want())
		return len(w.Orders()) >= 2
	})
	require.Zero(t, w.MostAdapters(), "nothing was loaded into a place that is in use")
	w.Use("m0", "a1", false)
	w.Use("m0", "a2", false)
	eventually(t, "a place is free", want)
	require.LessOrEqual(t, w.MostAdapters(), 2)
}

func TestAnAdapterOnItsWayKeepsItsPlace(t *testing.T) {
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Hold("m1").SlowAdapters().Start(t)
	a := start(t, s, "a", never)
	a.Config(config())
	a.Servers([]fleet.Server{listed(w)})
	eventually(t, "holding", a.Holding)
	want := func(adapter string, lacks ...string) {
		a.Want(context.Background(), hub.Want{Item: hub.Item{Service: "llm", Model: "m0", Adapter: adapter}, Lacks: lacks})
	}
	want("a1")
	want("a2")
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		want("a1", "i-1") // the engine says that it lacks it
		want("a3")
		want("a4")
	}
	require.Equal(t, 2, w.MostAdapters(), "two places, both taken")
}

// TestAdaptersOfAModelThatGoesKeepTheirPlaces lets an unload wait for requests
// that run: the engine's entry no longer names the model, but its adapters are
// still there and take the places for adapters.
func TestAdaptersOfAModelThatGoesKeepTheirPlaces(t *testing.T) {
	s := standin.NewStore(t)
	c := configOf(fleet.Engine{WeightsMB: 230000, LoadsPerS: 2, AdapterSlots: 2}, 4, 3)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0", "a1", "a2").Hold("m1").Hold("m2").SlowUnloads().Start(t)
	other := (&standin.Worker{ID: "i-2"}).Hold("m0").Start(t)
	a := start(t, s, "a", never)
	a.Config(c)
	entries := func() []fleet.Server {
		rest := fleet.Server{ID: "i-1", Service: "llm", Address: w.Address(), Slots: 8, Resident: []fleet.ResidentModel{{Model: "m1"}, {Model: "m2"}}}
		if len(w.Leaving()) == 0 {
			rest = listed(w)
		}
		full := listed(other) // as if it had no room, and is the other copy of m0
		full.Resident = []fleet.ResidentModel{{Model: "m0"}, {Model: "mx"}, {Model: "my"}}
		return []fleet.Server{rest, full}
	}
	a.Servers(entries())
	eventually(t, "holding", a.Holding)
	want := func(model, adapter string) hub.Offer {
		return a.Want(context.Background(), hub.Want{Item: hub.Item{Service: "llm", Model: model, Adapter: adapter}})
	}
	eventually(t, "the ledger is read", func() bool { return want("m0", "a1").Found })
	eventually(t, "m0 makes room for m3", func() bool { return slices.Contains(w.Leaving(), "m0") })
	a.Servers(entries())
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		want("m1", "a1")
		require.Zero(t, w.MostAdapters(), "both places are taken until the engine has done it")
	}
	w.FinishUnloads()
	a.Servers(entries())
	eventually(t, "then they are free", func() bool { return want("m1", "a1").Found })
}

// lateAdapter reaches engines, but the load of one adapter gets no answer. It is
// carried out while the answer to that adapter's unload is on its way.
type lateAdapter struct {
	simEngines
	adapter string

	lost bool
	late platform.Order
}

// Give implements placer.Engines.
func (l *lateAdapter) Give(ctx context.Context, s fleet.Server, o platform.Order) (platform.Verdict, error) {
	if o.Adapter != l.adapter || o.Load && l.lost {
		return l.simEngines.Give(ctx, s, o)
	}
	if o.Load {
		l.lost, l.late = true, o
		return 0, errNoAnswer
	}
	v, err := l.simEngines.Give(ctx, s, o)
	l.world.engine(s.ID).order(l.late)
	return v, err
}

// TestALateLoadOfAnAdapterKeepsItsPlace: callers of an engine were cut off as it was
// given a ninth adapter for eight places and ended. The load of one adapter had got
// no answer. A second later that adapter was the one used least, and its unload was
// answered "already so", as the engine didn't hold it; the holder took that for an
// order that the engine had counted. Then the late load came, and the engine's count
// was what the holder believed, so that the next load was accepted too. The evidence:
// nine adapters in simulated time, each time after these four orders.
func TestALateLoadOfAnAdapterKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, 1, 1)
		l := &lateAdapter{simEngines: simEngines{w}, adapter: "a8"}
		n := w.start(l)
		clock.Sleep(ctx, 2*time.Second)
		require.True(t, n.Holding())
		want := func(adapter string) bool {
			return n.Want(ctx, hub.Want{Item: hub.Item{Service: simService, Model: "m0", Adapter: adapter}}).Found
		}
		for i := range simPlaces - 1 {
			require.True(t, want(fmt.Sprint("a", i+1)))
		}
		require.False(t, want(l.adapter), "no answer")
		clock.Sleep(ctx, 1500*time.Millisecond)
		r := hub.Report{Node: "entry"}
		for i := range simPlaces - 1 {
			r.Demand = append(r.Demand, hub.Demand{Item: hub.Item{Service: simService, Model: "m0", Adapter: fmt.Sprint("a", i+1)}})
		}
		n.Report(r) // all others are in use
		clock.Sleep(ctx, 500*time.Millisecond)
		for range 10 {
			want("a9")
			clock.Sleep(ctx, 100*time.Millisecond)
		}
		require.NotZero(t, l.late, "the load was late")
		require.Empty(t, w.faults)
		cancel()
		w.wg.Wait()
		clock.Sleep(t.Context(), simUnloadMost)
	})
}

// TestAdaptersStopWhereMemoryIsFull has an engine begin with models that leave memory
// for one adapter, though it has two places.
func TestAdaptersStopWhereMemoryIsFull(t *testing.T) {
	s := standin.NewStore(t)
	c := configOf(fleet.Engine{WeightsMB: 144100, LoadsPerS: 2, AdapterSlots: 2}, 2, 3)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Hold("m1").Start(t)
	a := start(t, s, "a", never)
	a.Config(c)
	a.Servers([]fleet.Server{listed(w)})
	eventually(t, "holding", a.Holding)
	want := func(adapter string) bool {
		return a.Want(context.Background(), hub.Want{Item: hub.Item{Service: "llm", Model: "m0", Adapter: adapter}}).Found
	}
	eventually(t, "the first", func() bool { return want("a1") })
	eventually(t, "the second takes its place", func() bool { return want("a2") })
	require.Equal(t, 1, w.MostAdapters())
}

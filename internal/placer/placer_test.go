package placer_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/core/leader"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/placer"
	"guavapaddle/io/jsonhttp"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const ttl = 900 * time.Millisecond

// holder is a placer with what it told.
type holder struct {
	*placer.Placer

	mu       sync.Mutex
	verdicts map[string]int
	began    int
	waiting  map[string]int
}

func start(t *testing.T, s *standin.Store, node string, reachable func() bool) *holder {
	t.Helper()
	h := &holder{verdicts: map[string]int{}}
	began := time.Now()
	h.Placer = &placer.Placer{
		Store:   &platform.Store{Client: &jsonhttp.Client{Address: s.Address()}},
		Engines: &platform.Engines{Client: func(a string) *jsonhttp.Client { return &jsonhttp.Client{Address: a} }},
		Hub:     &hub.Hub{}, Log: zap.NewNop(), Fencing: true, Window: 5 * time.Second, Reachable: reachable,
		Keeper: &leader.Keeper{Self: leader.Lease{Node: node, Incarnation: node, Key: node, Cores: 1}, TTL: ttl},
		Clock:  func() time.Duration { return time.Since(began) + time.Hour },
		Ordered: func(v string) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.verdicts[v]++
		},
		Began: func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.began++
		},
		Lacking: func() map[string]int {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.waiting
		},
		Noted: func(hub.Note) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		h.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return h
}

func never() bool { return false }

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 8*time.Second, 2*time.Millisecond, what)
}

// config declares models m0 and m1 with adapters, of which three fit.
func config() *fleet.Config {
	e := &fleet.Engine{WeightsMB: 230000, AdapterSlots: 2, LoadsPerS: 2, Models: map[string]fleet.Model{
		"m0": {Name: "m0", MB: 72000, Adapters: 5, AdapterMB: 66},
		"m1": {Name: "m1", MB: 72000},
	}}
	return fleet.NewConfig(1, nil, []fleet.Service{{Name: "llm", Engine: e}}, fleet.Limits{})
}

func listed(w *standin.Worker) fleet.Server {
	s := fleet.Server{ID: w.ID, Born: w.Born(), Service: "llm", Address: w.Address(), Slots: 8}
	for m, a := range w.Models() {
		s.Held = append(s.Held, fleet.Held{Model: m, Adapters: a})
	}
	return s
}

func TestOneNodeHoldsTheLeaseAndAnotherTakesItWhenItEnds(t *testing.T) {
	s := standin.NewStore(t)
	a := start(t, s, "a", never)
	eventually(t, "first", a.Holding)
	b := start(t, s, "b", never)
	eventually(t, "the second knows the first", func() bool { l, ok := b.Leader(); return ok && l.Node == "a" })
	require.False(t, b.Holding())
	a.Release(context.Background())
	eventually(t, "released", b.Holding)
	l, _ := b.Leader()
	require.EqualValues(t, 2, l.Epoch)
	eventually(t, "the first stops", func() bool { return !a.Holding() })
}

func TestARenewalWhoseAnswerIsLostKeepsTheLease(t *testing.T) {
	s := standin.NewStore(t)
	a := start(t, s, "a", never)
	eventually(t, "first", a.Holding)
	before := s.Row("lease", "orders").Version
	s.LoseAnswers(2)
	eventually(t, "renewed", func() bool { return s.Row("lease", "orders").Version >= before+4 })
	eventually(t, "still holding", a.Holding)
	l, _ := a.Leader()
	require.EqualValues(t, 1, l.Epoch)
	require.Equal(t, 1, a.began)
}

func TestWithoutTheStoreOrdersEndWhereEnginesDoNotCheckEpochs(t *testing.T) {
	s := standin.NewStore(t)
	a := start(t, s, "a", never)
	a.Fencing = false
	eventually(t, "first", a.Holding)
	s.Outage(true)
	eventually(t, "stops", func() bool { return !a.Holding() })
	s.Outage(false)
	eventually(t, "goes on", a.Holding)
}

func TestADeclaredModelWithoutACopyIsLoaded(t *testing.T) {
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Start(t)
	a := start(t, s, "a", never)
	a.Config(config())
	a.Servers([]fleet.Server{listed(w)})
	eventually(t, "loaded", func() bool { _, ok := w.Models()["m1"]; return ok })
	o := w.Orders()[0]
	require.Equal(t, "model_load", o["operation"])
	require.EqualValues(t, 0, o["expected"])
	require.EqualValues(t, 1, o["fencing-token"])
	require.Equal(t, "a", o["holder"])
}

func TestAnOrderWithoutAnAnswerIsNeverCarriedOutTwice(t *testing.T) {
	s := standin.NewStore(t)
	w := (&standin.Worker{ID: "i-1"}).Hold("m0").Start(t)
	w.LoseOrders(1)
	a := start(t, s, "a", never)
	a.Config(config())
	a.Servers([]fleet.Server{listed(w)})
	eventually(t, "given again", func() bool { return len(w.Orders()) >= 2 })
	for _, o := range w.Orders()[:2] {
		require.EqualValues(t, 0, o["expected"], "both carry the same number")
		require.Equal(t, "m1", o["model"])
	}
	eventually(t, "loaded", func() bool { _, ok := w.Models()["m1"]; return ok })
	w.RunLate()
	require.Len(t, w.Models(), 2, "the late one finds that the number has moved on")
}

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
	e := &fleet.Engine{WeightsMB: 230000, LoadsPerS: 2, AdapterSlots: 2, Models: map[string]fleet.Model{}}
	for _, m := range []string{"m0", "m1", "m2", "m3"} {
		e.Models[m] = fleet.Model{Name: m, MB: 72000, Adapters: 3, AdapterMB: 66}
	}
	w := (&standin.Worker{ID: "i-1"}).Hold("m0", "a1", "a2").Hold("m1").Hold("m2").SlowUnloads().Start(t)
	other := (&standin.Worker{ID: "i-2"}).Hold("m0").Start(t)
	a := start(t, s, "a", never)
	a.Config(fleet.NewConfig(1, nil, []fleet.Service{{Name: "llm", Engine: e}}, fleet.Limits{}))
	entries := func() []fleet.Server {
		rest := fleet.Server{ID: "i-1", Service: "llm", Address: w.Address(), Slots: 8, Held: []fleet.Held{{Model: "m1"}, {Model: "m2"}}}
		if len(w.Leaving()) == 0 {
			rest = listed(w)
		}
		full := listed(other) // as if it had no room, and is the other copy of m0
		full.Held = []fleet.Held{{Model: "m0"}, {Model: "mx"}, {Model: "my"}}
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

// TestALoadOfTheHolderBeforeKeepsItsMemory lets a holder begin a load and hand the
// lease over. The engine ends that load between the next holder's plan and its
// report, so that the report and the newest entry agree: the order that was
// planned without the model must not go out.
func TestALoadOfTheHolderBeforeKeepsItsMemory(t *testing.T) {
	s := standin.NewStore(t)
	e := &fleet.Engine{WeightsMB: 230000, LoadsPerS: 1, Models: map[string]fleet.Model{}}
	for _, m := range []string{"m0", "m1", "m2", "m3"} {
		e.Models[m] = fleet.Model{Name: m, MB: 72000}
	}
	c := fleet.NewConfig(1, nil, []fleet.Service{{Name: "llm", Engine: e}}, fleet.Limits{})
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
	e := &fleet.Engine{WeightsMB: 230000, LoadsPerS: 2, Models: map[string]fleet.Model{}}
	for _, m := range []string{"m0", "m1", "m2"} {
		e.Models[m] = fleet.Model{Name: m, MB: 72000}
	}
	c := fleet.NewConfig(1, nil, []fleet.Service{{Name: "llm", Engine: e}}, fleet.Limits{})
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

// TestTheLoadsOfTheHolderBeforeCount lets a holder begin all loads that a window
// allows and hand the lease over: the next one waits with more of them.
func TestTheLoadsOfTheHolderBeforeCount(t *testing.T) {
	s := standin.NewStore(t)
	e := &fleet.Engine{WeightsMB: 2300000, LoadsPerS: 1, Models: map[string]fleet.Model{}}
	for _, m := range []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"} {
		e.Models[m] = fleet.Model{Name: m, MB: 72000}
	}
	c := fleet.NewConfig(1, nil, []fleet.Service{{Name: "llm", Engine: e}}, fleet.Limits{})
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
	tell := func(h *holder) {
		var servers []fleet.Server
		for _, w := range list {
			servers = append(servers, listed(w))
		}
		h.Config(c)
		h.Servers(servers)
	}
	a := start(t, s, "a", never)
	tell(a)
	eventually(t, "a window's loads", func() bool { return loaded() == 5 })
	a.Release(context.Background())
	b := start(t, s, "b", never)
	tell(b)
	eventually(t, "released", b.Holding)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		require.LessOrEqual(t, loaded(), 6, "one is always allowed")
	}
	require.Equal(t, 6, loaded())
}

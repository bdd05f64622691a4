package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/place"
	"guavapaddle/core/view"
)

const gb = int64(1) << 30

var now = time.Unix(1_000_000, 0)

func model(name string, gigabytes int64) config.Model {
	return config.Model{Name: name, Version: "1", Bytes: gigabytes * gb, LoadPeakBytes: gb, MinCopies: 1}
}

func adapter(name, base string) config.Adapter {
	return config.Adapter{Name: name, Model: base, Version: "1", Bytes: gb / 2, LoadPeakBytes: gb / 4, MinCopies: 1}
}

func server(name, dataCentre string, gigabytes int64, resident ...backend.Item) place.Server {
	s := place.Server{
		Name: name, DataCentre: dataCentre, MemoryBytes: gigabytes * gb, KVReserveBytes: 4 * gb, Slots: 8, Reachable: true,
	}
	for _, i := range resident {
		s.Resident = append(s.Resident, place.Copy{Item: i, Bytes: 10 * gb})
	}
	return s
}

// apply returns the input after the moves of a plan have been carried out.
func apply(in place.Input, out place.Output) place.Input {
	bytes := sizes(in)
	in.Servers = slices.Clone(in.Servers)
	for j := range in.Servers {
		plan, ok := out.Plan[in.Servers[j].Name]
		if !ok {
			continue
		}
		in.Servers[j].Resident, in.Servers[j].Loading = nil, nil
		for _, i := range plan {
			in.Servers[j].Resident = append(in.Servers[j].Resident, place.Copy{Item: i, Bytes: bytes[i.Name], ResidentSince: now})
		}
	}
	return in
}

func sizes(in place.Input) map[string]int64 {
	out := map[string]int64{}
	for _, m := range in.Models {
		out[m.Name] = m.Bytes
	}
	for _, a := range in.Adapters {
		out[a.Name] = a.Bytes
	}
	return out
}

func copies(out place.Output, item backend.Item) []string {
	var on []string
	for name, items := range out.Plan {
		if slices.Contains(items, item) {
			on = append(on, name)
		}
	}
	slices.Sort(on)
	return on
}

func TestGain(t *testing.T) {
	a, b := model("a", 10), model("b", 10)
	t.Run("two copies in two data centres where memory allows", func(t *testing.T) {
		in := place.Input{Models: []config.Model{a, b}, Servers: []place.Server{
			server("s1", "d1", 40), server("s2", "d1", 40), server("s3", "d2", 40),
		}}
		out := (&place.Gain{}).Plan(now, in)
		for _, m := range in.Models {
			on := copies(out, m.Item())
			require.Len(t, on, 2)
			require.Contains(t, on, "s3")
		}
		require.Empty(t, (&place.Gain{}).Plan(now, apply(in, out)).Moves, "a plan that is in force needs no moves")
	})
	t.Run("copies of an idle model are evicted for a busy one", func(t *testing.T) {
		in := place.Input{Models: []config.Model{a, b}, Servers: []place.Server{
			server("s1", "d1", 20, a.Item()), server("s2", "d2", 20, b.Item()), server("s3", "d3", 20, b.Item()), server("s4", "d4", 20, b.Item()),
		}, Demand: []view.Demand{{Name: "a", Rate: 10, Urgent: 10, Seconds: 1.5}}}
		out := (&place.Gain{}).Plan(now, in)
		require.Greater(t, len(copies(out, a.Item())), 1)
		require.NotEmpty(t, copies(out, b.Item()))
		in.Placement.MovePrice = 1e6
		require.Empty(t, (&place.Gain{}).Plan(now, in).Moves, "the price of a move exceeds the gain")
		in.Placement.MovePrice, in.Placement.MinResidenceMS = 0, 60_000
		for j := range in.Servers {
			in.Servers[j].Resident[0].ResidentSince = now.Add(-time.Second)
		}
		require.Empty(t, (&place.Gain{}).Plan(now, in).Moves, "copies below the minimum residence time stay")
	})
	t.Run("demand of several nodes is summed", func(t *testing.T) {
		in := place.Input{Models: []config.Model{a}, Servers: []place.Server{
			server("s1", "d1", 20, a.Item()), server("s2", "d2", 20, a.Item()), server("s3", "d1", 20),
		}}
		for range 8 {
			in.Demand = append(in.Demand, view.Demand{Name: "a", Rate: 2, Seconds: 1})
		}
		require.Len(t, copies((&place.Gain{}).Plan(now, in), a.Item()), 3)
	})
	t.Run("items of a lost server are loaded first, the most valuable ahead", func(t *testing.T) {
		c := model("c", 10)
		in := place.Input{Models: []config.Model{a, b, c}, Servers: []place.Server{
			server("s1", "d1", 60, a.Item()), server("s2", "d2", 60), server("s3", "d1", 60, b.Item(), c.Item()),
		}, Demand: []view.Demand{{Name: "a", Rate: 50, Seconds: 1}, {Name: "c", Rate: 1, Urgent: 1, Seconds: 1}}}
		in.Servers[2].Reachable = false
		out := (&place.Gain{}).Plan(now, in)
		require.Equal(t, c.Item(), out.Moves[0].Item)
		require.Equal(t, b.Item(), out.Moves[1].Item)
		require.Equal(t, place.Unreachable, out.Moves[0].Reason)
		require.NotContains(t, out.Plan, "s3")
	})
	t.Run("an adapter is loaded with its model", func(t *testing.T) {
		in := place.Input{Models: []config.Model{a}, Adapters: []config.Adapter{adapter("x", "a")}, Servers: []place.Server{server("s1", "d1", 40)}}
		out := (&place.Gain{}).Plan(now, in)
		require.Equal(t, []backend.Item{a.Item(), in.Adapters[0].Item()}, out.Plan["s1"])
		require.Equal(t, a.Item(), out.Moves[0].Item, "the model is loaded first")
	})
	t.Run("surplus copies are evicted for an item without a copy", func(t *testing.T) {
		in := place.Input{Models: []config.Model{a, b, model("c", 10)}, Servers: []place.Server{
			server("s1", "d1", 16, a.Item()), server("s2", "d2", 16, a.Item()), server("s3", "d3", 16, b.Item()),
		}}
		out := (&place.Gain{}).Plan(now, in)
		require.Empty(t, out.Unplaced)
		require.Len(t, copies(out, a.Item()), 1)
	})
	t.Run("a proposed load keeps the room made for it", func(t *testing.T) {
		in := place.Input{Models: []config.Model{a, b}, Servers: []place.Server{
			server("s1", "d1", 16, a.Item()), server("s2", "d1", 16, b.Item()), server("s3", "d1", 16, b.Item()), server("s4", "d1", 16, b.Item()),
		}, Demand: []view.Demand{{Name: "a", Rate: 3, Urgent: 3, Seconds: 1}}, Placement: config.Placement{MovePrice: 5}}
		plan := (&place.Gain{BurstShare: -1}).Plan
		out := plan(now, in)
		var load place.Move
		for _, m := range out.Moves {
			if m.Op == backend.Load && load.Server == "" {
				load = m
			}
		}
		require.Equal(t, a.Item(), load.Item)
		in.Previous = out.Plan
		for j := range in.Servers {
			if in.Servers[j].Name == load.Server {
				in.Servers[j].Resident = nil // room has been made, but the load has not started
			}
		}
		in.Demand[0].Rate, in.Demand[0].Urgent = 0.5, 0.5 // gain is still above half the price
		again := plan(now, in)
		require.Equal(t, []backend.Item{a.Item()}, again.Plan[load.Server])
		in.Demand[0].Rate, in.Demand[0].Urgent = 0.1, 0.1
		withoutGain := plan(now, in)
		require.NotContains(t, withoutGain.Plan[load.Server], a.Item(), "its gain is below half the price")
	})
	t.Run("a copy that a burst would need is kept", func(t *testing.T) {
		in := place.Input{Models: []config.Model{a, b}, Servers: []place.Server{
			server("s1", "d1", 16, a.Item()), server("s2", "d2", 16, a.Item()), server("s3", "d1", 16, b.Item()), server("s4", "d2", 16, b.Item()),
		}, Demand: []view.Demand{{Name: "a", Rate: 0.4, Urgent: 0.4, Seconds: 2}, {Name: "b", Rate: 1.2, Urgent: 1.2, Seconds: 5}}}
		withoutBurst := (&place.Gain{BurstShare: -1}).Plan(now, in)
		require.Len(t, copies(withoutBurst, a.Item()), 1)
		require.Len(t, copies((&place.Gain{}).Plan(now, in), a.Item()), 2)
	})
	t.Run("adapters are not evicted needlessly", func(t *testing.T) {
		x := adapter("x", "b")
		in := place.Input{Models: []config.Model{a, b, model("c", 9)}, Adapters: []config.Adapter{x}, Servers: []place.Server{
			server("s1", "d1", 27, b.Item(), a.Item()), server("s2", "d2", 27, b.Item(), a.Item()),
		}}
		for j := range in.Servers {
			in.Servers[j].Resident = append(in.Servers[j].Resident, place.Copy{Item: x.Item(), Bytes: gb / 2})
		}
		out := (&place.Gain{}).Plan(now, in)
		require.Empty(t, out.Unplaced)
		drops := 0
		for _, m := range out.Moves {
			if m.Op == backend.Unload {
				drops++
			}
		}
		require.Equal(t, 1, drops, "%v", out.Moves)
	})
	t.Run("an item that fits on no server is reported as unplaced", func(t *testing.T) {
		in := place.Input{Models: []config.Model{model("huge", 100)}, Servers: []place.Server{server("s1", "d1", 40)}}
		require.Equal(t, []backend.Item{{Name: "huge", Version: "1"}}, (&place.Gain{}).Plan(now, in).Unplaced)
	})
}

func TestInvariantReachableDuringVersionChange(t *testing.T) {
	old := backend.Item{Name: "a", Version: "0"}
	x := adapter("x", "a")
	for _, memory := range []int64{16, 40} {
		t.Run(fmt.Sprint("server of ", memory), func(t *testing.T) {
			in := place.Input{
				Models: []config.Model{model("a", 10)}, Adapters: []config.Adapter{x},
				Servers: []place.Server{server("s1", "d1", memory, old), server("s2", "d1", 40)},
			}
			in.Servers[0].Resident = append(in.Servers[0].Resident, place.Copy{Item: x.Item(), Bytes: gb / 2})
			for range 6 {
				out := (&place.Gain{}).Plan(now, in)
				requireServed(t, in, out, "a")
				requireServed(t, in, out, "x")
				in = applyUnloadsAndFirstLoad(in, out)
			}
			out := (&place.Gain{}).Plan(now, in)
			require.Empty(t, copies(out, old), "the old version is unloaded eventually")
			require.NotEmpty(t, copies(out, x.Item()))
			require.Empty(t, out.Moves)
		})
	}
}

// TestInvariantReachableWithTwoOldVersions guards against a deadlock after two configuration
// changes in quick succession: two old versions fill the servers, and the new one never
// fits. The old versions must be unloaded, with some version resident at every step.
func TestInvariantReachableWithTwoOldVersions(t *testing.T) {
	first, second := backend.Item{Name: "a", Version: "0"}, backend.Item{Name: "a", Version: "0b"}
	a := model("a", 10)
	a.MinCopies = 2
	for name, servers := range map[string][]place.Server{
		"both full":       {server("s1", "d1", 26, first, second), server("s2", "d1", 26, first, second)},
		"beside the new":  {server("s1", "d1", 26, first, a.Item()), server("s2", "d1", 26, first, second)},
		"one server only": {server("s1", "d1", 26, first, second)},
	} {
		t.Run(name, func(t *testing.T) {
			in := place.Input{Models: []config.Model{a}, Servers: servers}
			for range 6 {
				out := (&place.Gain{}).Plan(now, in)
				requireServed(t, in, out, "a")
				in = applyUnloadsAndFirstLoad(in, out)
			}
			out := (&place.Gain{}).Plan(now, in)
			require.Len(t, copies(out, a.Item()), len(servers))
		})
	}
}

// requireServed checks that the plan keeps a copy of some version of the named item that is
// resident now.
func requireServed(t require.TestingT, in place.Input, out place.Output, name string) {
	for _, s := range in.Servers {
		for _, c := range s.Resident {
			if c.Item.Name == name && slices.Contains(out.Plan[s.Name], c.Item) {
				return
			}
		}
	}
	require.Fail(t, "no resident copy is kept", name)
}

// applyUnloadsAndFirstLoad carries out all unloads and the first load of a plan.
func applyUnloadsAndFirstLoad(in place.Input, out place.Output) place.Input {
	loads := 0
	for _, m := range out.Moves {
		if m.Op != backend.Load {
			continue
		}
		if loads++; loads > 1 {
			out.Plan[m.Server] = slices.DeleteFunc(out.Plan[m.Server], func(i backend.Item) bool { return i == m.Item })
		}
	}
	return apply(in, out)
}

// drawFleet generates an input with empty servers, models, adapters, demand and a move
// price.
func drawFleet(t *rapid.T) place.Input {
	var in place.Input
	for i := range rapid.IntRange(1, 8).Draw(t, "models") {
		m := model(fmt.Sprint("m", i), int64(rapid.IntRange(2, 16).Draw(t, "size")))
		m.MinCopies = rapid.IntRange(1, 2).Draw(t, "min-copies")
		in.Models = append(in.Models, m)
		for k := range rapid.IntRange(0, 3).Draw(t, "adapters") {
			in.Adapters = append(in.Adapters, adapter(fmt.Sprint("m", i, "-a", k), m.Name))
		}
	}
	for j := range rapid.IntRange(1, 8).Draw(t, "servers") {
		in.Servers = append(in.Servers, server(fmt.Sprint("s", j), fmt.Sprint("d", j%3), int64(rapid.IntRange(12, 48).Draw(t, "memory"))))
	}
	for _, m := range in.Models {
		rate := float64(rapid.IntRange(0, 30).Draw(t, "rate"))
		in.Demand = append(in.Demand, view.Demand{Name: m.Name, Rate: rate, Urgent: rate / 2, Seconds: 1})
	}
	in.Placement = config.Placement{MovePrice: float64(rapid.IntRange(0, 20).Draw(t, "price"))}
	return in
}

// perturb changes the demand, and makes a random server unreachable or reachable again.
func perturb(t *rapid.T, in place.Input) place.Input {
	in.Servers = slices.Clone(in.Servers)
	in.Demand = slices.Clone(in.Demand)
	for i := range in.Demand {
		in.Demand[i].Rate = float64(rapid.IntRange(0, 30).Draw(t, "rate"))
	}
	j := rapid.IntRange(0, len(in.Servers)-1).Draw(t, "server")
	in.Servers[j].Reachable = !in.Servers[j].Reachable
	if !in.Servers[j].Reachable {
		in.Servers[j].Resident = nil
	}
	return in
}

func requireFits(t require.TestingT, in place.Input, out place.Output) {
	bytes, peaks := sizes(in), map[string]int64{}
	for _, m := range in.Models {
		peaks[m.Name] = m.LoadPeakBytes
	}
	for _, a := range in.Adapters {
		peaks[a.Name] = a.LoadPeakBytes
	}
	for _, s := range in.Servers {
		var sum, peak int64
		for _, i := range out.Plan[s.Name] {
			sum += bytes[i.Name]
			peak = max(peak, peaks[i.Name])
			if i.Base != "" {
				require.True(t, slices.ContainsFunc(out.Plan[s.Name], func(m backend.Item) bool { return m.Name == i.Base }), "adapter planned without its model")
			}
		}
		require.LessOrEqual(t, sum+peak, s.MemoryBytes-s.KVReserveBytes-s.ReservedBytes, "server %s is overcommitted", s.Name)
	}
}

func TestInvariantPlanFitsMemoryAndKeepsLastCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawFleet(t)
		for range 6 {
			for _, name := range place.Names() {
				p, err := place.New(name)
				require.NoError(t, err)
				out := p.Plan(now, in)
				requireFits(t, in, out)
				require.Equal(t, out, p.Plan(now, in), "not deterministic")
			}
			out := (&place.Gain{}).Plan(now, in)
			for _, m := range out.Moves {
				if m.Op != backend.Unload {
					continue
				}
				var holders []string
				for _, s := range in.Servers {
					if s.Reachable && slices.ContainsFunc(s.Resident, func(c place.Copy) bool { return c.Item == m.Item }) {
						holders = append(holders, s.Name)
					}
				}
				require.True(t, place.MayUnload(m.Item, m.Server, holders, 1), "%v must not be dropped", m)
			}
			in = perturb(t, apply(in, out))
		}
	})
}

// TestInvariantUnplacedOnlyWithoutMemory checks that a declared item is left without a copy
// only if no server could hold it with every surplus copy evicted: after the plan no
// reachable server has memory left for it.
func TestInvariantUnplacedOnlyWithoutMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawFleet(t)
		for range 4 {
			out := (&place.Gain{}).Plan(now, in)
			after := apply(in, out)
			for _, i := range out.Unplaced {
				var need int64
				for _, m := range in.Models {
					if m.Name == i.Name || m.Name == i.Base {
						need += m.Bytes
					}
				}
				for _, a := range in.Adapters {
					if a.Name == i.Name {
						need += a.Bytes
					}
				}
				for _, s := range after.Servers {
					used := int64(0)
					for _, c := range s.Resident {
						used += c.Bytes
					}
					freeBytes := s.MemoryBytes - s.KVReserveBytes - used - gb
					require.False(t, s.Reachable && freeBytes >= need, "%v fits on %s", i, s.Name)
				}
			}
			declared := len(in.Models) + len(in.Adapters)
			reached := map[backend.Item]bool{}
			for _, items := range out.Plan {
				for _, i := range items {
					reached[i] = true
				}
			}
			require.Equal(t, declared, len(reached)+len(out.Unplaced))
			in = perturb(t, after)
		}
	})
}

// TestInvariantLastCopyKeptWithStaleViews lets owners drop copies based on views of any age.
func TestInvariantLastCopyKeptWithStaleViews(t *testing.T) {
	item := backend.Item{Name: "a", Version: "1"}
	rapid.Check(t, func(t *rapid.T) {
		holders := []string{"s0", "s1", "s2", "s3", "s4"}[:rapid.IntRange(1, 5).Draw(t, "holders")]
		history := [][]string{slices.Clone(holders)}
		for range 20 {
			s := rapid.SampledFrom(holders).Draw(t, "server")
			staleView := history[rapid.IntRange(0, len(history)-1).Draw(t, "age")]
			if slices.Contains(staleView, s) && place.MayUnload(item, s, staleView, 1) {
				holders = slices.DeleteFunc(slices.Clone(holders), func(h string) bool { return h == s })
				require.NotEmpty(t, holders, "the last copy was dropped")
				history = append(history, holders)
			}
		}
	})
}

func TestLRU(t *testing.T) {
	a, b, c := model("a", 10), model("b", 10), model("c", 10)
	in := place.Input{
		Models:  []config.Model{a, b, c},
		Servers: []place.Server{server("s1", "d1", 26, a.Item(), b.Item())},
		Demand:  []view.Demand{{Name: "c", Waiting: 3}},
	}
	in.Servers[0].Resident[0].LastUsed = now.Add(-time.Minute)
	in.Servers[0].Resident[1].LastUsed = now.Add(-time.Hour)
	out := place.LRU{}.Plan(now, in)
	require.True(t, out.MayUnloadLast)
	require.Equal(t, []backend.Item{a.Item(), c.Item()}, out.Plan["s1"])
	in.Demand = []view.Demand{{Name: "a", Rate: 10, Seconds: 1}} // more than 4 of 8 slots
	in.Servers = append(in.Servers, server("s2", "d1", 26, b.Item(), c.Item()))
	require.Contains(t, place.LRU{}.Plan(now, in).Plan["s2"], a.Item())
	in.Demand = nil
	require.Empty(t, place.LRU{}.Plan(now, in).Moves)
}

func TestStaticIgnoresDemandAndLosses(t *testing.T) {
	in := place.Input{Models: []config.Model{model("a", 10), model("b", 10)}, Servers: []place.Server{
		server("s1", "d1", 26), server("s2", "d2", 26),
	}}
	out := place.Static{}.Plan(now, in)
	require.Len(t, out.Moves, 4)
	in.Demand = []view.Demand{{Name: "a", Rate: 100, Seconds: 1}}
	in.Servers[1].Reachable = false
	lost := place.Static{}.Plan(now, in)
	require.Equal(t, out.Plan["s1"], lost.Plan["s1"])
	require.NotContains(t, lost.Plan, "s2")
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ servers, models, adapters int }{
		{20, 20, 30}, {100, 200, 600}, {300, 600, 2000}, {600, 1200, 4000},
	} {
		random := rand.New(rand.NewPCG(1, 1))
		var in place.Input
		for i := range size.models {
			in.Models = append(in.Models, model(fmt.Sprint("m", i), 8+random.Int64N(9)))
			in.Demand = append(in.Demand, view.Demand{Name: fmt.Sprint("m", i), Rate: random.ExpFloat64(), Urgent: 0.1, Seconds: 1})
		}
		for i := range size.adapters {
			base := fmt.Sprint("m", random.IntN(size.models))
			in.Adapters = append(in.Adapters, adapter(fmt.Sprint("x", i), base))
			in.Demand = append(in.Demand, view.Demand{Name: fmt.Sprint("x", i), Rate: random.ExpFloat64() / 4, Seconds: 1})
		}
		for j := range size.servers {
			in.Servers = append(in.Servers, server(fmt.Sprint("s", j), fmt.Sprint("d", j%7), 80))
		}
		in.Placement.MovePrice = 1
		name := fmt.Sprintf("servers=%d/items=%d", size.servers, size.models+size.adapters)
		b.Run(name+"/empty", func(b *testing.B) {
			for b.Loop() {
				(&place.Gain{}).Plan(now, in)
			}
		})
		settled := apply(in, (&place.Gain{}).Plan(now, in))
		b.Run(name+"/settled", func(b *testing.B) {
			for b.Loop() {
				(&place.Gain{}).Plan(now, settled)
			}
		})
	}
}

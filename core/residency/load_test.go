package residency_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/residency"
)

// planSimulation applies plans to a set of engines, round by round.
type planSimulation struct {
	engine  fleet.Engine
	servers []residency.Server
	load    map[string]float64
	moves   int

	assumed bool
}

// newPlanSimulation returns engines with three models each. The first hot models have copies
// on many engines, each other model on one. The hot models have nine tenths of the load, in
// the proportions of a Zipf distribution.
func newPlanSimulation(seed uint64, servers, models, hot int) *planSimulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &planSimulation{engine: engine(models), load: map[string]float64{}}
	places := make([]string, 0, 3*servers)
	for i := range models {
		places = append(places, fmt.Sprintf("m%d", i))
	}
	for i := 0; len(places) < 3*servers; i++ {
		places = append(places, fmt.Sprintf("m%d", i%hot))
	}
	rng.Shuffle(len(places), func(i, j int) { places[i], places[j] = places[j], places[i] })
	for i := range servers {
		list := slices.Compact(slices.Sorted(slices.Values(places[3*i : 3*i+3])))
		w.servers = append(w.servers, server(fmt.Sprintf("s%02d", i), list...))
	}
	w.setDemand(hot, 0)
	return w
}

// setDemand distributes a load of 100 over the models; the hot ones start at the given
// offset.
func (w *planSimulation) setDemand(hot, offset int) {
	clear(w.load)
	sum := 0.0
	for i := range hot {
		sum += 1 / math.Pow(float64(i+1), 0.8)
	}
	models := len(w.engine.Models)
	for i := range models {
		w.load[fmt.Sprintf("m%d", i)] = 10 / float64(models)
	}
	for i := range hot {
		w.load[fmt.Sprintf("m%d", (offset+i)%models)] += 90 / math.Pow(float64(i+1), 0.8) / sum
	}
}

// round makes one plan, carries it out and returns its number of moves.
func (w *planSimulation) round() int {
	plan := residency.Plan(residency.Input{Engine: w.engine, Servers: slices.Clone(w.servers), Load: w.load, StoreLoads: 50, LoadAssumed: w.assumed})
	for _, m := range plan {
		i := slices.IndexFunc(w.servers, func(s residency.Server) bool { return s.ID == m.Server.ID })
		s := &w.servers[i]
		if m.Load {
			s.Resident = append(slices.Clone(s.Resident), fleet.ResidentModel{Model: m.Model})
			if s.ReservedFor == m.Model {
				s.ReservedFor = ""
			}
			continue
		}
		if m.Reason == residency.Spread {
			s.ReservedFor = m.For
		}
		s.Resident = slices.DeleteFunc(slices.Clone(s.Resident), func(h fleet.ResidentModel) bool { return h.Model == m.Model })
	}
	w.moves += len(plan)
	return len(plan)
}

// servedLoad returns the load that is served if each engine serves at most capacity and
// requests go to the least loaded holder of their model.
func (w *planSimulation) servedLoad(capacity float64) float64 {
	const shares = 60 // number of equal shares into which a model's load is divided
	at := map[string]float64{}
	assigned := map[string]map[string]float64{}
	var models []string
	holders := map[string][]string{}
	for m := range w.load {
		models = append(models, m)
		for _, s := range w.servers {
			if s.Holds(m, "") {
				holders[m] = append(holders[m], s.ID)
			}
		}
	}
	slices.Sort(models)
	for range 12 { // each pass reassigns the load of every model
		for _, m := range models {
			if assigned[m] == nil {
				assigned[m] = map[string]float64{}
			}
			for s, x := range assigned[m] {
				at[s] -= x
			}
			clear(assigned[m])
			for range shares {
				least := ""
				for _, s := range holders[m] {
					if least == "" || at[s] < at[least] {
						least = s
					}
				}
				if least != "" {
					at[least] += w.load[m] / shares
					assigned[m][least] += w.load[m] / shares
				}
			}
		}
	}
	sum := 0.0
	for _, x := range at {
		sum += min(x, capacity)
	}
	return sum
}

// TestCopiesBalanceLoadOverEngines applies a load that needs three quarters of the engines
// if spread evenly, then shifts it to other models, and then removes a third of the engines.
func TestCopiesBalanceLoadOverEngines(t *testing.T) {
	for seed := range uint64(3) {
		w := newPlanSimulation(seed, 60, 98, 9)
		capacity := 100.0 / 60 / 0.75
		runUntilStable := func(stage string, least float64) {
			rounds := 0
			for rounds < 60 && w.round() > 0 {
				rounds++
			}
			require.Less(t, rounds, 60, "the plan does not converge")
			require.Greater(t, w.servedLoad(capacity), least, "seed %d, %s", seed, stage)
		}
		runUntilStable("start", 99.5)
		w.setDemand(9, 40)
		runUntilStable("other models", 99.5)
		for i := range 20 {
			w.servers[i].Resident = nil
		}
		runUntilStable("a third lost", 99)
	}
}

// TestBusyCopiesSpreadBeforeDemand places two busy models on the same two engines, beside a
// third with only last copies of idle models. A swap must let the third engine share the
// load, and no model may be without a copy meanwhile.
func TestBusyCopiesSpreadBeforeDemand(t *testing.T) {
	w := &planSimulation{engine: engine(7), assumed: true,
		servers: []residency.Server{server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m3"), server("c", "m4", "m5", "m6")}}
	var list []fleet.Server
	for _, s := range w.servers {
		list = append(list, s.Server)
	}
	w.load = residency.PriorLoad(w.engine, list)
	require.Equal(t, map[string]float64{"m0": 4, "m1": 4}, w.load)
	require.InDelta(t, 6, w.servedLoad(3), 0.01, "of a load of 8")
	rounds := 0
	for rounds < 20 && w.round() > 0 {
		rounds++
		for i := range 7 {
			held := slices.ContainsFunc(w.servers, func(s residency.Server) bool { return s.Holds(fmt.Sprintf("m%d", i), "") })
			require.True(t, held, "m%d in round %d", i, rounds)
		}
	}
	require.Less(t, rounds, 20, "the plan does not converge")
	require.Greater(t, w.servedLoad(3), 7.5)
	require.LessOrEqual(t, w.moves, 4, "at most two unloads and two loads")
}

func TestNoSpreadOnceThereIsDemand(t *testing.T) {
	require.Empty(t, residency.Plan(residency.Input{Engine: engine(7), StoreLoads: 5, Load: map[string]float64{"m0": 20, "m1": 20}, Servers: []residency.Server{
		server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m3"), server("c", "m4", "m5", "m6")}}), "a swap would cost two loads of several seconds each")
}

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

// world is engines whose models change by plans, one round after the other.
type world struct {
	engine  fleet.Engine
	servers []residency.Server
	load    map[string]float64
	moves   int

	supposed bool
}

// newWorld returns engines with three models each: the busy ones at many, each
// of the others at one. The first hot models have nine tenths of the load, by
// the shares of a Zipf distribution.
func newWorld(seed uint64, servers, models, hot int) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &world{engine: engine(models), load: map[string]float64{}}
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
	w.demand(hot, 0)
	return w
}

// demand gives the load of 100 to the models from the number first on.
func (w *world) demand(hot, first int) {
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
		w.load[fmt.Sprintf("m%d", (first+i)%models)] += 90 / math.Pow(float64(i+1), 0.8) / sum
	}
}

// round makes one plan and carries it out.
func (w *world) round() int {
	plan := residency.Plan(residency.Input{Engine: w.engine, Servers: slices.Clone(w.servers), Load: w.load, Stores: 50, Supposed: w.supposed})
	for _, m := range plan {
		i := slices.IndexFunc(w.servers, func(s residency.Server) bool { return s.ID == m.Server.ID })
		s := &w.servers[i]
		if m.Load {
			s.Held = append(slices.Clone(s.Held), fleet.Held{Model: m.Model})
			if s.Kept == m.Model {
				s.Kept = ""
			}
			continue
		}
		if m.Why == residency.Spread {
			s.Kept = m.For
		}
		s.Held = slices.DeleteFunc(slices.Clone(s.Held), func(h fleet.Held) bool { return h.Model == m.Model })
	}
	w.moves += len(plan)
	return len(plan)
}

// served returns the part of the load that is served if each engine serves at
// most most, and requests go to the copy with the least to do.
func (w *world) served(most float64) float64 {
	const grains = 60 // in which each model's load is dealt out
	at := map[string]float64{}
	given := map[string]map[string]float64{}
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
	for range 12 { // each model takes its load back and deals it out anew
		for _, m := range models {
			if given[m] == nil {
				given[m] = map[string]float64{}
			}
			for s, x := range given[m] {
				at[s] -= x
			}
			clear(given[m])
			for range grains {
				least := ""
				for _, s := range holders[m] {
					if least == "" || at[s] < at[least] {
						least = s
					}
				}
				if least != "" {
					at[least] += w.load[m] / grains
					given[m][least] += w.load[m] / grains
				}
			}
		}
	}
	sum := 0.0
	for _, x := range at {
		sum += min(x, most)
	}
	return sum
}

// TestCopiesLetTheEnginesShareTheLoad plays a load that would take three
// quarters of the engines if it could be spread evenly, then one that moves to
// other models, and then the loss of a third of the engines.
func TestCopiesLetTheEnginesShareTheLoad(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(seed, 60, 98, 9)
		most := 100.0 / 60 / 0.75
		settle := func(what string, least float64) {
			rounds := 0
			for rounds < 60 && w.round() > 0 {
				rounds++
			}
			require.Less(t, rounds, 60, "the plan comes to rest")
			require.Greater(t, w.served(most), least, "seed %d, %s", seed, what)
		}
		settle("start", 99.5)
		w.demand(9, 40)
		settle("other models", 99.5)
		for i := range 20 {
			w.servers[i].Held = nil
		}
		settle("a third lost", 99)
	}
}

// TestBusyCopiesAreSpreadBeforeThereIsDemand plays two busy models on the same two
// engines beside a third with last copies of quiet models only: a swap lets the
// third take part, and no model is without a copy meanwhile.
func TestBusyCopiesAreSpreadBeforeThereIsDemand(t *testing.T) {
	w := &world{engine: engine(7), supposed: true,
		servers: []residency.Server{server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m3"), server("c", "m4", "m5", "m6")}}
	var list []fleet.Server
	for _, s := range w.servers {
		list = append(list, s.Server)
	}
	w.load = residency.Prior(w.engine, list)
	require.Equal(t, map[string]float64{"m0": 4, "m1": 4}, w.load)
	require.InDelta(t, 6, w.served(3), 0.01, "of a load of 8")
	rounds := 0
	for rounds < 20 && w.round() > 0 {
		rounds++
		for i := range 7 {
			held := slices.ContainsFunc(w.servers, func(s residency.Server) bool { return s.Holds(fmt.Sprintf("m%d", i), "") })
			require.True(t, held, "m%d in round %d", i, rounds)
		}
	}
	require.Less(t, rounds, 20, "the plan comes to rest")
	require.Greater(t, w.served(3), 7.5)
	require.LessOrEqual(t, w.moves, 4, "two unloads and two loads")
}

func TestWithDemandNoBusyCopyIsTakenAwayToSpreadIt(t *testing.T) {
	require.Empty(t, residency.Plan(residency.Input{Engine: engine(7), Stores: 5, Load: map[string]float64{"m0": 20, "m1": 20}, Servers: []residency.Server{
		server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m3"), server("c", "m4", "m5", "m6")}}), "a swap takes two loads of seconds")
}

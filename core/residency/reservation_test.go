package residency_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/residency"
)

// Durations in the simulation, in plans; there are four a second.
const (
	unloadPlans    = 3  // unload, until streams have ended
	localLoadPlans = 4  // load from memory or disk
	storeLoadPlans = 34 // load from the weight store, 8.5 s
)

// engineSimulation simulates engines that take time to carry out orders. Unloaded models
// stay in host memory.
type engineSimulation struct {
	in        residency.Input
	remaining []int // plans until each server has carried out its order
	orders    int
}

func newEngineSimulation(in residency.Input) *engineSimulation {
	return &engineSimulation{in: in, remaining: make([]int, len(in.Servers))}
}

// step makes one plan and advances the time by a quarter of a second.
func (c *engineSimulation) step() {
	c.in.StoreLoads = 2
	for _, m := range residency.Plan(c.in) {
		c.orders++
		i := slices.IndexFunc(c.in.Servers, func(s residency.Server) bool { return s.ID == m.Server.ID })
		s := &c.in.Servers[i]
		switch {
		case !m.Load:
			s.Unloading, c.remaining[i] = m.Model, unloadPlans
			s.ReservedFor, s.ReservedReason, s.Evicted = m.For, m.Reason, m.Model
		case m.Store:
			s.Loading, c.remaining[i] = m.Model, storeLoadPlans
		default:
			s.Loading, c.remaining[i] = m.Model, localLoadPlans
		}
	}
	for i := range c.in.Servers {
		if c.remaining[i]--; c.remaining[i] == 0 {
			c.finish(&c.in.Servers[i])
		}
	}
}

// finish completes the order of a server.
func (c *engineSimulation) finish(s *residency.Server) {
	if s.Loading != "" {
		s.Resident = append(slices.Clone(s.Resident), fleet.ResidentModel{Model: s.Loading})
		s.ReservedFor, s.ReservedReason = "", ""
	}
	if s.Unloading != "" {
		s.InMemory = append(slices.Clone(s.InMemory), s.Unloading)
		s.Resident = slices.DeleteFunc(slices.Clone(s.Resident), func(h fleet.ResidentModel) bool { return h.Model == s.Unloading })
	}
	s.Loading, s.Unloading = "", ""
}

func (c *engineSimulation) copies(model string) int {
	n := 0
	for _, s := range c.in.Servers {
		if s.Holds(model, "") {
			n++
		}
	}
	return n
}

// TestReservedRoomIsNotRefilledWithEvictedCopies guards against room that waits for the
// weight store being refilled from memory with the copy just evicted. Most of the demand
// moves to a model that no other engine has on disk, while the evicted models still have
// some demand and would load within a second.
func TestReservedRoomIsNotRefilledWithEvictedCopies(t *testing.T) {
	var servers []residency.Server
	for _, held := range [][]string{{"m0", "m1", "m2"}, {"m0", "m1", "m3"}, {"m0", "m1", "m4"}, {"m0", "m1", "m5"},
		{"m0", "m6", "m7"}, {"m0", "m8", "m9"}} {
		servers = append(servers, server(held[0]+held[2], held...))
	}
	c := newEngineSimulation(residency.Input{Engine: engine(10), Servers: servers, Load: map[string]float64{"m0": 30, "m1": 20, "m2": 120}})
	for range 4 * 15 {
		c.step()
	}
	require.GreaterOrEqual(t, c.copies("m2"), 3, "after 15 s")
	require.LessOrEqual(t, c.orders, 12, "at most one unload and one load for each copy")
	for m := range c.in.Engine.Models {
		require.Positive(t, c.copies(m), m)
	}
}

// TestReservedRoomTakesLocalModelOfSimilarLoad checks that room reserved for a load from the
// weight store is used for another busy model that is on disk there.
func TestReservedRoomTakesLocalModelOfSimilarLoad(t *testing.T) {
	a := server("a", "m0", "m1")
	a.ReservedFor, a.ReservedReason, a.Evicted = "m2", residency.MakeRoom, "m4"
	a.OnDisk, a.InMemory = []string{"m3"}, []string{"m4"}
	in := residency.Input{Engine: engine(5), StoreLoads: 0, Servers: []residency.Server{a,
		server("b", "m0", "m1", "m2"), server("c", "m3", "m1", "m4"), server("d", "m0", "m3", "m4")}}
	loads := func(load map[string]float64) []string {
		in.Load = load
		var out []string
		for _, m := range residency.Plan(in) {
			if m.Load && m.Server.ID == "a" {
				out = append(out, m.Model)
			}
		}
		return out
	}
	require.Equal(t, []string{"m3"}, loads(map[string]float64{"m2": 40, "m3": 30, "m4": 2}), "its load per copy is within localLoadAdvantage")
	require.Empty(t, loads(map[string]float64{"m2": 40, "m3": 3, "m4": 2}), "the room stays reserved for the load from the weight store")
	require.Empty(t, loads(map[string]float64{"m2": 40, "m4": 29}), "the evicted model must not be loaded again")
}

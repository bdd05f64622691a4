package residency_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/residency"
)

func engine(models int) fleet.Engine {
	e := fleet.Engine{WeightsMB: 230000, AdapterSlots: 8, Models: map[string]fleet.Model{}}
	for i := range models {
		n := fmt.Sprintf("m%d", i)
		e.Models[n] = fleet.Model{Name: n, MB: 72000, Adapters: 3, AdapterMB: 66}
	}
	return e
}

func server(id string, models ...string) residency.Server {
	s := residency.Server{Server: fleet.Server{ID: id}}
	for _, m := range models {
		s.Resident = append(s.Resident, fleet.ResidentModel{Model: m})
	}
	return s
}

func TestRequestedModelIsLoadedFromDisk(t *testing.T) {
	b := server("b", "m0")
	b.OnDisk = []string{"m1"}
	moves := residency.Plan(residency.Input{Engine: engine(2), Servers: []residency.Server{server("a", "m0"), b},
		Waiting: map[string]int{"m1": 1}, StoreLoads: 1})
	require.NotEmpty(t, moves)
	require.Equal(t, "b", moves[0].Server.ID)
	require.True(t, moves[0].Load)
	require.False(t, moves[0].Store)
	require.Equal(t, residency.Requested, moves[0].Reason)
}

// TestDiskLoadPreferredOverLessLoadedEngine has room on two engines; the one that has the
// model on disk has the higher load.
func TestDiskLoadPreferredOverLessLoadedEngine(t *testing.T) {
	for _, first := range []bool{true, false} {
		a, b := server("a", "m1"), server("b", "m2")
		disk, idle := &a, &b
		if first {
			disk, idle = &b, &a
		}
		disk.OnDisk = []string{"m0"}
		load := map[string]float64{disk.Resident[0].Model: 20, idle.Resident[0].Model: 1}
		moves := residency.Plan(residency.Input{Engine: engine(3), StoreLoads: 5, Load: load,
			Servers: []residency.Server{a, b}, Waiting: map[string]int{"m0": 3}})
		require.NotEmpty(t, moves)
		require.Equal(t, "m0", moves[0].Model)
		require.Equal(t, disk.ID, moves[0].Server.ID)
		require.False(t, moves[0].Store)
	}
}

func TestMemoryIsNeverOvercommitted(t *testing.T) {
	full := server("a", "m0", "m1", "m2")
	moves := residency.Plan(residency.Input{Engine: engine(4), Servers: []residency.Server{full},
		Waiting: map[string]int{"m3": 1}, StoreLoads: 5})
	require.Empty(t, moves, "three models of 72 GB leave no room, and each copy is a last one")

	unloading := server("a", "m0", "m1", "m2")
	unloading.Unloading = "m0"
	moves = residency.Plan(residency.Input{Engine: engine(4), Servers: []residency.Server{unloading, server("b", "m0", "m1", "m2")},
		Waiting: map[string]int{"m3": 1}, StoreLoads: 5})
	for _, m := range moves {
		require.False(t, m.Load && m.Server.ID == "a", "a model that is unloading still takes memory")
	}

	loading := server("a", "m0", "m1")
	loading.Loading = "m2"
	moves = residency.Plan(residency.Input{Engine: engine(4), Servers: []residency.Server{loading}, Waiting: map[string]int{"m3": 1}, StoreLoads: 5})
	require.Empty(t, moves, "a model that is loading already takes memory")
}

func TestLastCopyIsKept(t *testing.T) {
	moves := residency.Plan(residency.Input{Engine: engine(4), Servers: []residency.Server{
		server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m2")},
		Load: map[string]float64{"m0": 1000, "m1": 900, "m2": 5}, Waiting: map[string]int{"m3": 2}, StoreLoads: 5})
	require.NotEmpty(t, moves)
	require.False(t, moves[0].Load)
	require.Equal(t, "m2", moves[0].Model, "the copy with the lowest cost is evicted")
	require.Equal(t, "m3", moves[0].For)
	for _, m := range moves[1:] {
		require.NotEqual(t, "m2", m.Model, "its last copy is kept")
	}
}

func TestStoreLoadsAreLimited(t *testing.T) {
	var servers []residency.Server
	for i := range 6 {
		servers = append(servers, server(fmt.Sprint("s", i)))
	}
	moves := residency.Plan(residency.Input{Engine: engine(6), Servers: servers, StoreLoads: 2})
	store := 0
	for _, m := range moves {
		if m.Store {
			store++
		}
	}
	require.Equal(t, 2, store)
}

// TestCopiesFollowDemand moves all demand from one model to another and applies plans until
// no moves are left.
func TestCopiesFollowDemand(t *testing.T) {
	e := engine(5)
	servers := []residency.Server{server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m3"), server("c", "m0", "m1", "m4"),
		server("d", "m0", "m1", "m2")}
	in := residency.Input{Engine: e, Servers: servers, Load: map[string]float64{"m4": 30000, "m1": 8000}, StoreLoads: 100}
	for range 40 {
		moves := residency.Plan(in)
		if len(moves) == 0 {
			break
		}
		for _, m := range moves {
			for i := range in.Servers {
				s := &in.Servers[i]
				if s.ID != m.Server.ID {
					continue
				}
				if m.Load {
					require.Less(t, len(s.Resident), 3)
					s.Resident = append(s.Resident, fleet.ResidentModel{Model: m.Model})
					continue
				}
				var kept []fleet.ResidentModel
				for _, h := range s.Resident {
					if h.Model != m.Model {
						kept = append(kept, h)
					}
				}
				s.Resident = kept
			}
		}
		for i := range in.Servers {
			in.Servers[i].Loading, in.Servers[i].Unloading = "", ""
		}
	}
	copies := map[string]int{}
	for _, s := range in.Servers {
		for _, h := range s.Resident {
			copies[h.Model]++
		}
	}
	require.Equal(t, 4, copies["m4"], "the busy model has a copy on every engine")
	for n := range e.Models {
		require.Positive(t, copies[n], n)
	}
}

func TestRoomIsMadeWhereLoadIsFastest(t *testing.T) {
	a, b, c := server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m2"), server("c", "m0", "m1", "m3")
	b.OnDisk = []string{"m0", "m1", "m2", "m3"}
	in := residency.Input{Engine: engine(4), Servers: []residency.Server{a, b, c}, StoreLoads: 5,
		Load: map[string]float64{"m0": 0.2, "m1": 1, "m2": 1, "m3": 30}}
	moves := residency.Plan(in)
	require.NotEmpty(t, moves)
	require.Equal(t, "b", moves[0].Server.ID, "m3 is on its disk")
	require.Equal(t, "m0", moves[0].Model, "it has the lowest cost")

	in.Load["m3"] = 0
	in.Load["m0"], in.Load["m1"], in.Load["m2"] = 30, 30, 30
	require.Empty(t, residency.Plan(in), "being on disk does not justify a load by itself")
}

func TestRestartedEngineLoadsFromDiskFirst(t *testing.T) {
	b := server("b")
	b.OnDisk = []string{"m0", "m1"}
	moves := residency.Plan(residency.Input{Engine: engine(4), Servers: []residency.Server{server("a", "m0", "m1", "m2"), b, server("c")},
		Load: map[string]float64{"m0": 30, "m1": 20}, Waiting: map[string]int{"m3": 2}, StoreLoads: 5})
	loads := map[string]string{}
	for _, m := range moves {
		require.True(t, m.Load)
		loads[m.Server.ID] = m.Model
	}
	require.Equal(t, map[string]string{"b": "m0", "c": "m3"}, loads)
}

func TestIdleEnginesKeepTheirModels(t *testing.T) {
	require.Empty(t, residency.Plan(residency.Input{Engine: engine(3), Servers: []residency.Server{
		server("a", "m0", "m1"), server("b", "m1", "m2"), server("c", "m2", "m0")},
		Load: map[string]float64{"m0": 0.2, "m1": 0.1}, StoreLoads: 5}), "a request every few seconds does not justify a load")
}

func TestRoomReservedForSwapIsNotCountedForOtherModels(t *testing.T) {
	a := server("a", "m0", "m1", "m2")
	a.Unloading, a.ReservedFor = "m0", "m3"
	moves := residency.Plan(residency.Input{Engine: engine(5), StoreLoads: 5, Waiting: map[string]int{"m4": 3},
		Servers: []residency.Server{a, server("b", "m0", "m1", "m3"), server("c", "m0", "m1", "m2"), server("d", "m0", "m1", "m2")}})
	require.NotEmpty(t, moves)
	require.Equal(t, "m4", moves[0].For, "room is made on another engine")
}

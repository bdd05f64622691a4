package residency_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/residency"
)

// at returns a server whose software has a version.
func at(version, id string, models ...string) residency.Server {
	s := server(id, models...)
	s.Software, s.SinceLastMove = version, time.Minute
	return s
}

// resuming returns the input of a plan while streams wait for m0 at v1.
func resuming(models, streams int, servers ...residency.Server) residency.Input {
	return residency.Input{Engine: engine(models), Servers: servers, StoreLoads: 5, Resuming: map[residency.ModelAt]int{{Model: "m0", Software: "v1"}: streams}}
}

// TestModelIsLoadedAtVersionThatStreamsNeed guards against streams whose model is never loaded at their software version, since servers of
// other versions hold it.
func TestModelIsLoadedAtVersionThatStreamsNeed(t *testing.T) {
	moves := residency.Plan(resuming(3, 1, at("v2", "a", "m0", "m1"), at("v2", "b", "m0"), at("v1", "c", "m2")))
	require.NotEmpty(t, moves)
	require.Equal(t, "c", moves[0].Server.ID)
	require.Equal(t, "m0", moves[0].Model)
	require.True(t, moves[0].Load)
}

// TestRoomIsMadeAtVersionThatStreamsNeed guards against room that is made for streams and then given to a model with more load.
func TestRoomIsMadeAtVersionThatStreamsNeed(t *testing.T) {
	in := resuming(4, 1, at("v2", "a", "m0", "m1", "m2"), at("v2", "b", "m0", "m1", "m3"), at("v1", "c", "m1", "m2", "m3"))
	in.Load = map[string]float64{"m1": 6, "m2": 5, "m3": 5}
	in.Servers[2].InMemory = []string{"m2"}
	moves := residency.Plan(in)
	i := slices.IndexFunc(moves, func(m residency.Move) bool { return m.Server.ID == "c" })
	require.GreaterOrEqual(t, i, 0)
	require.False(t, moves[i].Load)
	require.Equal(t, "m0", moves[i].For)
	evicted := moves[i].Model

	c := &in.Servers[2]
	c.ReservedFor, c.ReservedReason, c.Evicted = "m0", residency.MakeRoom, evicted
	c.Resident = slices.DeleteFunc(c.Resident, func(h fleet.ResidentModel) bool { return h.Model == evicted })
	moves = residency.Plan(in)
	require.True(t, slices.ContainsFunc(moves, func(m residency.Move) bool { return m.Server.ID == "c" && m.Load && m.Model == "m0" }), "%v", moves)
}

func TestUnplaceable(t *testing.T) {
	leaving := at("v1", "d")
	leaving.Leaving = true
	held := at("v1", "c", "m0", "m1", "m2")
	unloading := at("v1", "c", "m1", "m2", "m3")
	unloading.Unloading = "m3"
	for _, x := range []struct {
		name        string
		in          residency.Input
		unplaceable bool
	}{
		{"room", resuming(3, 1, at("v2", "a", "m0", "m1"), at("v1", "c", "m1", "m2")), false},
		{"other copies", resuming(4, 1, at("v2", "a", "m0", "m1", "m2"), at("v2", "b", "m3"), at("v1", "c", "m1", "m2", "m3")), false},
		{"only copies", resuming(6, 1, at("v2", "a", "m0", "m4", "m5"), at("v1", "c", "m1", "m2", "m3")), true},
		{"room at a server that leaves", resuming(6, 1, at("v2", "a", "m0", "m4", "m5"), at("v1", "c", "m1", "m2", "m3"), leaving), true},
		{"held", resuming(3, 1, held), false},
		{"an unload under way", resuming(6, 1, at("v2", "a", "m0", "m4", "m5"), unloading), false},
		{"more models than places, more load", loaded(resuming(7, 2, at("v2", "a", "m0", "m4", "m5"), at("v1", "c", "m1", "m2", "m3")), 9), true},
		{"more models than places, less load", loaded(resuming(7, 2, at("v2", "a", "m0", "m4", "m5"), at("v1", "c", "m1", "m2", "m3")), 1), false},
	} {
		t.Run(x.name, func(t *testing.T) {
			got := residency.Unplaceable(x.in)
			if !x.unplaceable {
				require.Empty(t, got)
				return
			}
			require.Equal(t, []residency.ModelAt{{Model: "m0", Software: "v1"}}, got)
			for _, m := range residency.Plan(x.in) {
				require.NotEqual(t, "c", m.Server.ID, m)
			}
		})
	}
}

// loaded returns the input with the given load of each model but m0.
func loaded(in residency.Input, load float64) residency.Input {
	in.Load = map[string]float64{}
	for m := range in.Engine.Models {
		if m != "m0" {
			in.Load[m] = load
		}
	}
	return in
}

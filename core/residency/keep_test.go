package residency_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/residency"
)

// Times of the clockwork in plans, four a second.
const (
	unloadPlans = 3  // until streams have ended
	quickPlans  = 4  // from memory or disk
	storePlans  = 34 // from the weight store, 8.5 s
)

// clockwork is engines that take time to carry orders out. What they unload
// stays in their memory.
type clockwork struct {
	in     residency.Input
	busy   []int // plans until the order of each server is carried out
	orders int
}

func newClockwork(in residency.Input) *clockwork {
	return &clockwork{in: in, busy: make([]int, len(in.Servers))}
}

// plan makes one plan and lets a quarter of a second pass.
func (c *clockwork) plan() {
	c.in.Stores = 2
	for _, m := range residency.Plan(c.in) {
		c.orders++
		i := slices.IndexFunc(c.in.Servers, func(s residency.Server) bool { return s.ID == m.Server.ID })
		s := &c.in.Servers[i]
		switch {
		case !m.Load:
			s.Going, c.busy[i] = m.Model, unloadPlans
			s.Kept, s.KeptWhy, s.Victim = m.For, m.Why, m.Model
		case m.Store:
			s.Coming, c.busy[i] = m.Model, storePlans
		default:
			s.Coming, c.busy[i] = m.Model, quickPlans
		}
	}
	for i := range c.in.Servers {
		if c.busy[i]--; c.busy[i] == 0 {
			c.finish(&c.in.Servers[i])
		}
	}
}

// finish carries an order out.
func (c *clockwork) finish(s *residency.Server) {
	if s.Coming != "" {
		s.Held = append(slices.Clone(s.Held), fleet.Held{Model: s.Coming})
		s.Kept, s.KeptWhy = "", ""
	}
	if s.Going != "" {
		s.InMemory = append(slices.Clone(s.InMemory), s.Going)
		s.Held = slices.DeleteFunc(slices.Clone(s.Held), func(h fleet.Held) bool { return h.Model == s.Going })
	}
	s.Coming, s.Going = "", ""
}

func (c *clockwork) copies(model string) int {
	n := 0
	for _, s := range c.in.Servers {
		if s.Holds(model, "") {
			n++
		}
	}
	return n
}

// TestRoomForTheBusiestModelIsNotFilledWithWhatIsAtHand moves most of the demand
// to a model that no other engine has on its disk, while the models that make
// room for it still have some and come back from memory in a second.
func TestRoomForTheBusiestModelIsNotFilledWithWhatIsAtHand(t *testing.T) {
	var servers []residency.Server
	for _, held := range [][]string{{"m0", "m1", "m2"}, {"m0", "m1", "m3"}, {"m0", "m1", "m4"}, {"m0", "m1", "m5"},
		{"m0", "m6", "m7"}, {"m0", "m8", "m9"}} {
		servers = append(servers, server(held[0]+held[2], held...))
	}
	c := newClockwork(residency.Input{Engine: engine(10), Servers: servers, Load: map[string]float64{"m0": 30, "m1": 20, "m2": 120}})
	for range 4 * 15 {
		c.plan()
	}
	require.GreaterOrEqual(t, c.copies("m2"), 3, "after 15 s")
	require.LessOrEqual(t, c.orders, 12, "an unload and a load for each copy")
	for m := range c.in.Engine.Models {
		require.Positive(t, c.copies(m), m)
	}
}

// TestKeptRoomTakesWhatIsAtHandAndNeededNearlyAsMuch has room that waits for the
// weight store where another busy model is on disk.
func TestKeptRoomTakesWhatIsAtHandAndNeededNearlyAsMuch(t *testing.T) {
	a := server("a", "m0", "m1")
	a.Kept, a.KeptWhy, a.Victim = "m2", residency.Room, "m4"
	a.OnDisk, a.InMemory = []string{"m3"}, []string{"m4"}
	in := residency.Input{Engine: engine(5), Stores: 0, Servers: []residency.Server{a,
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
	require.Equal(t, []string{"m3"}, loads(map[string]float64{"m2": 40, "m3": 30, "m4": 2}), "half as much for each copy")
	require.Empty(t, loads(map[string]float64{"m2": 40, "m3": 3, "m4": 2}), "it waits for the weight store")
	require.Empty(t, loads(map[string]float64{"m2": 40, "m4": 29}), "what made the room doesn't come back")
}

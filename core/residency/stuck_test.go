package residency_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/residency"
)

// stuck returns how many engines hold three last copies.
func (w *world) stuck() int {
	copies := map[string]int{}
	for _, s := range w.servers {
		for _, h := range s.Held {
			copies[h.Model]++
		}
	}
	n := 0
	for _, s := range w.servers {
		last := 0
		for _, h := range s.Held {
			if copies[h.Model] == 1 {
				last++
			}
		}
		if last == 3 {
			n++
		}
	}
	return n
}

// TestRoomForQuietModelsLeavesNoEngineStuck begins with 128 of 471 models without a
// copy, and 70 that have all places beyond one for each other model. Before there is demand
// the missing ones get a place each, which must not come from engines whose other copies
// are last ones.
func TestRoomForQuietModelsLeavesNoEngineStuck(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(seed, 256, 343, 70)
		w.engine = engine(471)
		w.supposed = true
		list := make([]fleet.Server, 0, len(w.servers))
		for _, s := range w.servers {
			list = append(list, s.Server)
		}
		w.load = residency.Prior(w.engine, list)
		most := w.stuck()
		for range 20 {
			w.round()
			require.LessOrEqual(t, w.stuck(), most, "seed %d", seed)
		}
		require.Zero(t, w.stuck(), "seed %d", seed)
	}
}

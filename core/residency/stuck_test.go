package residency_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/residency"
)

// stuckEngines returns the number of engines that hold three last copies.
func (w *planSimulation) stuckEngines() int {
	copies := map[string]int{}
	for _, s := range w.servers {
		for _, h := range s.Resident {
			copies[h.Model]++
		}
	}
	n := 0
	for _, s := range w.servers {
		last := 0
		for _, h := range s.Resident {
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

// TestMakingRoomLeavesNoEngineStuck guards against making room on engines whose other copies
// are last ones, which leaves them unable to take busy models. Of 471 models 128 start
// without a copy; 70 busy ones have all places beyond one for each other model. Before there
// is demand each missing model gets one place.
func TestMakingRoomLeavesNoEngineStuck(t *testing.T) {
	for seed := range uint64(3) {
		w := newPlanSimulation(seed, 256, 343, 70)
		w.engine = engine(471)
		w.assumed = true
		list := make([]fleet.Server, 0, len(w.servers))
		for _, s := range w.servers {
			list = append(list, s.Server)
		}
		w.load = residency.PriorLoad(w.engine, list)
		initial := w.stuckEngines()
		for range 20 {
			w.round()
			require.LessOrEqual(t, w.stuckEngines(), initial, "seed %d", seed)
		}
		require.Zero(t, w.stuckEngines(), "seed %d", seed)
	}
}

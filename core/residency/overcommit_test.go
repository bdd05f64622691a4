package residency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/residency"
)

const (
	// planStep is the time between two plans.
	planStep = 250 * time.Millisecond
	// loadTime is the duration of a load from the weight store.
	loadTime = 4 * time.Second
	// loadsPerS is the rate of loads from the weight store, over all engines.
	loadsPerS = 2.0
)

// storeSimulation simulates engines with fewer places than models, with a metered weight
// store, in steps of one plan.
type storeSimulation struct {
	in        residency.Input
	now       time.Duration
	doneAt    []time.Duration // when each engine has carried out its order
	orderedAt []time.Duration // when each engine last got an order
	starved   map[string]time.Duration
	served    map[string]time.Duration // how long each requested model had a copy
	loads     int
}

func newStoreSimulation(servers, models int, load map[string]float64) *storeSimulation {
	w := &storeSimulation{in: fullEngines(servers, models), served: map[string]time.Duration{}, starved: map[string]time.Duration{},
		doneAt: make([]time.Duration, servers), orderedAt: make([]time.Duration, servers)}
	w.in.Load, w.in.Starved = load, map[string]time.Duration{}
	return w
}

// step completes due orders, makes a plan and starts its orders.
func (w *storeSimulation) step() {
	w.now += planStep
	for i := range w.in.Servers {
		s := &w.in.Servers[i]
		s.SinceLastMove = w.now - w.orderedAt[i]
		if w.now < w.doneAt[i] {
			continue
		}
		if s.Loading != "" {
			s.Resident = append(s.Resident, server("", s.Loading).Resident...)
		}
		s.Loading, s.Unloading = "", ""
	}
	w.in.Waiting = map[string]int{}
	for m := range w.in.Load {
		if w.holders(m) > 0 {
			w.served[m] += planStep
			delete(w.in.Starved, m)
			continue
		}
		w.in.Starved[m] += planStep
		w.in.Waiting[m] = 1
	}
	w.in.StoreLoads = int(loadsPerS*w.now.Seconds()) - w.loads
	for _, m := range residency.Plan(w.in) {
		w.startMove(m)
	}
}

// holders returns the number of engines that hold a model.
func (w *storeSimulation) holders(model string) int {
	n := 0
	for _, s := range w.in.Servers {
		if s.Holds(model, "") {
			n++
		}
	}
	return n
}

// startMove starts a move on its engine.
func (w *storeSimulation) startMove(m residency.Move) {
	for i := range w.in.Servers {
		s := &w.in.Servers[i]
		if s.ID != m.Server.ID {
			continue
		}
		w.orderedAt[i], w.doneAt[i] = w.now, w.now+loadTime
		if m.Load {
			s.Loading, s.ReservedFor = m.Model, ""
			if m.Store {
				w.loads++
			}
			continue
		}
		w.doneAt[i] = w.now
		s.Unloading, s.ReservedFor, s.ReservedReason, s.Evicted = m.Model, m.For, m.Reason, m.Model
		held := s.Resident[:0:0]
		for _, h := range s.Resident {
			if h.Model != m.Model {
				held = append(held, h)
			}
		}
		s.Resident = held
	}
}

// uniformLoad returns the same load for the last requested of the declared models.
func uniformLoad(models, requested int, load float64) map[string]float64 {
	out := map[string]float64{}
	for i := range requested {
		out[fmt.Sprintf("m%d", models-1-i)] = load
	}
	return out
}

// TestRequestedModelsReplaceIdleOnes has 42 places and eleven times as many models; the
// requested models start without a copy.
func TestRequestedModelsReplaceIdleOnes(t *testing.T) {
	w := newStoreSimulation(14, 471, uniformLoad(471, 30, 1))
	for w.now < 30*time.Second {
		w.step()
	}
	for m := range w.in.Load {
		require.Positive(t, w.holders(m), m)
	}
	require.LessOrEqual(t, w.loads, 60, "most models must be loaded only once")
}

// TestAllRequestedModelsAreServedInTurn requests more models than there are places.
func TestAllRequestedModelsAreServedInTurn(t *testing.T) {
	for _, requested := range []int{60, 120} {
		load := uniformLoad(471, requested, 0.3)
		for i := range 10 {
			load[fmt.Sprintf("m%d", 470-i)] = 6 // busy all the time
		}
		w := newStoreSimulation(14, 471, load)
		for w.now < 2*time.Minute {
			w.step()
		}
		for m := range load {
			require.Positive(t, w.served[m], "%d requested: %s", requested, m)
		}
		for i := range 10 {
			require.Greater(t, w.served[fmt.Sprintf("m%d", 470-i)], time.Minute, "a busy model has a copy most of the time")
		}
	}
}

// TestLastCopiesKeptWhileAllModelsFit has as many places as models, and demand for a few of
// them.
func TestLastCopiesKeptWhileAllModelsFit(t *testing.T) {
	w := newStoreSimulation(14, 42, uniformLoad(42, 5, 8))
	for w.now < 20*time.Second {
		w.step()
		for i := range 42 {
			require.Positive(t, w.holders(fmt.Sprintf("m%d", i)))
		}
	}
}

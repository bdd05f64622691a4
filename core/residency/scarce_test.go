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
	// loadTime is how long a load from the weight store takes.
	loadTime = 4 * time.Second
	// loadsPerS is what the weight store gives in a second, to all engines.
	loadsPerS = 2.0
)

// shortage plays engines with fewer places than there are models, in steps of a plan.
type shortage struct {
	in      residency.Input
	now     time.Duration
	done    []time.Duration // when the order at each engine is carried out
	changed []time.Duration // when each engine was last given one
	starved map[string]time.Duration
	served  map[string]time.Duration // how long each model that is asked for had a copy
	loads   int
}

func newShortage(servers, models int, load map[string]float64) *shortage {
	w := &shortage{in: crowd(servers, models), served: map[string]time.Duration{}, starved: map[string]time.Duration{},
		done: make([]time.Duration, servers), changed: make([]time.Duration, servers)}
	w.in.Load, w.in.Starved = load, map[string]time.Duration{}
	return w
}

// step makes a plan and carries on with the orders.
func (w *shortage) step() {
	w.now += planStep
	for i := range w.in.Servers {
		s := &w.in.Servers[i]
		s.Settled = w.now - w.changed[i]
		if w.now < w.done[i] {
			continue
		}
		if s.Coming != "" {
			s.Held = append(s.Held, server("", s.Coming).Held...)
		}
		s.Coming, s.Going = "", ""
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
	w.in.Stores = int(loadsPerS*w.now.Seconds()) - w.loads
	for _, m := range residency.Plan(w.in) {
		w.order(m)
	}
}

// holders returns how many engines hold a model.
func (w *shortage) holders(model string) int {
	n := 0
	for _, s := range w.in.Servers {
		if s.Holds(model, "") {
			n++
		}
	}
	return n
}

// order begins a move at its engine.
func (w *shortage) order(m residency.Move) {
	for i := range w.in.Servers {
		s := &w.in.Servers[i]
		if s.ID != m.Server.ID {
			continue
		}
		w.changed[i], w.done[i] = w.now, w.now+loadTime
		if m.Load {
			s.Coming, s.Kept = m.Model, ""
			if m.Store {
				w.loads++
			}
			continue
		}
		w.done[i] = w.now
		s.Going, s.Kept, s.KeptWhy, s.Victim = m.Model, m.For, m.Why, m.Model
		held := s.Held[:0:0]
		for _, h := range s.Held {
			if h.Model != m.Model {
				held = append(held, h)
			}
		}
		s.Held = held
	}
}

// even returns the same load for some models, the last of those declared.
func even(models, asked int, load float64) map[string]float64 {
	out := map[string]float64{}
	for i := range asked {
		out[fmt.Sprintf("m%d", models-1-i)] = load
	}
	return out
}

// TestModelsThatAreAskedForTakeThePlacesOfQuietOnes has 42 places before eleven times as
// many models, of which some are asked for that begin without a copy.
func TestModelsThatAreAskedForTakeThePlacesOfQuietOnes(t *testing.T) {
	w := newShortage(14, 471, even(471, 30, 1))
	for w.now < 30*time.Second {
		w.step()
	}
	for m := range w.in.Load {
		require.Positive(t, w.holders(m), m)
	}
	require.LessOrEqual(t, w.loads, 60, "each model is loaded once, and few a second time")
}

// TestAllModelsThatAreAskedForGetTheirTurn asks for more models than there are places.
func TestAllModelsThatAreAskedForGetTheirTurn(t *testing.T) {
	for _, asked := range []int{60, 120} {
		load := even(471, asked, 0.3)
		for i := range 10 {
			load[fmt.Sprintf("m%d", 470-i)] = 6 // and some are busy all the time
		}
		w := newShortage(14, 471, load)
		for w.now < 2*time.Minute {
			w.step()
		}
		for m := range load {
			require.Positive(t, w.served[m], "%d asked for: %s", asked, m)
		}
		for i := range 10 {
			require.Greater(t, w.served[fmt.Sprintf("m%d", 470-i)], time.Minute, "a busy model stays for most of the time")
		}
	}
}

// TestLastCopiesStayWhileThereIsAPlaceForAll has as many models as places, and demand
// for a few of them.
func TestLastCopiesStayWhileThereIsAPlaceForAll(t *testing.T) {
	w := newShortage(14, 42, even(42, 5, 8))
	for w.now < 20*time.Second {
		w.step()
		for i := range 42 {
			require.Positive(t, w.holders(fmt.Sprintf("m%d", i)))
		}
	}
}

package residency

import "guavapaddle/core/fleet"

// Sizes holds the memory requirements of an engine's models and adapters, computed once for
// all queries: with hundreds of models, scanning all of them for each model and server took
// most of the planning time.
type Sizes struct {
	engine   fleet.Engine
	smallest float64 // MB, of the models
	largest  float64 // MB, of the models
	adapter  float64 // MB, of the largest adapter
}

// NewSizes computes the sizes of an engine's models and adapters.
func NewSizes(e fleet.Engine) Sizes {
	z := Sizes{engine: e}
	for _, m := range e.Models {
		if z.smallest == 0 || m.MB < z.smallest {
			z.smallest = m.MB
		}
		z.largest = max(z.largest, m.MB)
		if m.Adapters > 0 {
			z.adapter = max(z.adapter, m.AdapterMB)
		}
	}
	return z
}

// Of returns the size of a model in MB. A model that is no longer declared counts as the
// largest one.
func (z Sizes) Of(model string) float64 {
	if m, ok := z.engine.Models[model]; ok {
		return m.MB
	}
	return z.largest
}

// Smallest returns the size of the smallest model in MB.
func (z Sizes) Smallest() float64 { return z.smallest }

// Adapters returns the memory in MB of a full set of the largest adapters.
func (z Sizes) Adapters() float64 { return z.adapter * float64(z.engine.AdapterSlots) }

// AdapterPlaces returns how many adapters an engine that holds the given models may hold:
// the number of its adapter slots, or fewer where the models leave no memory for that many
// of the largest adapter. Plans reserve memory for all slots, but an engine may already be
// fuller when planning starts.
func (z Sizes) AdapterPlaces(models []string) int {
	if z.adapter <= 0 {
		return z.engine.AdapterSlots
	}
	room := z.engine.WeightsMB
	for _, m := range models {
		room -= z.Of(m)
	}
	return max(0, min(z.engine.AdapterSlots, int(room/z.adapter)))
}

package residency

import "guavapaddle/core/fleet"

// Sizes is what the models and adapters of an engine take of its memory, reckoned once
// for all questions about them: with hundreds of models a look at all of them for each
// model and server took most of a plan's time.
type Sizes struct {
	engine   fleet.Engine
	smallest float64 // MB, of the models
	largest  float64 // MB, of the models
	adapter  float64 // MB, of the largest adapter
}

// NewSizes reckons the sizes of an engine's models and adapters.
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

// Of returns a model's size in MB; one that isn't declared any more counts as the
// largest.
func (z Sizes) Of(model string) float64 {
	if m, ok := z.engine.Models[model]; ok {
		return m.MB
	}
	return z.largest
}

// Smallest returns the size in MB of the smallest model.
func (z Sizes) Smallest() float64 { return z.smallest }

// Adapters returns the memory in MB that a full set of the largest adapters takes.
func (z Sizes) Adapters() float64 { return z.adapter * float64(z.engine.AdapterSlots) }

// AdapterPlaces returns how many adapters an engine that holds some models may have:
// as many as it has places, or fewer where the models leave no memory for so many of
// the largest. Plans leave memory for all places, but engines may begin fuller.
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

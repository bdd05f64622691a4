package residency

import (
	"time"

	"guavapaddle/core/fleet"
)

const (
	// slotLife is the time in which the memory of streams that ended falls to a
	// third.
	slotLife = 10 * time.Second
	// slotTokens is how many prompt tokens of a model's streams, decayed, count
	// as much as the mean of all models: some ten prompts.
	slotTokens = 10000
	// slotTypical is the time that a stream takes a slot for each prompt token
	// before any has ended: 1.3 s for 1,000 tokens.
	slotTypical = 1.3e-3
)

type (
	// SlotTimes learns for how long a stream takes a slot of its engine, for
	// each token of its prompt. Streams of small models are read and written
	// faster, but their steps wait for the larger models beside them: by the time
	// to read a prompt such a model was thought to need a third of the engines
	// that it did, and a quarter of its requests was refused while a quarter of
	// the engines had a request a second or less. The zero value is ready.
	SlotTimes struct {
		models map[string]ended
		all    ended
	}

	// ended sums streams, decayed.
	ended struct{ tokens, seconds float64 }
)

// priorCopy is the load, in slots, that each copy of a model with several is
// supposed to have before there is demand.
const priorCopy = 2.0

// Prior returns the load that is supposed before there is demand: by the copies
// that the models have, one of which each has in any case.
func Prior(e fleet.Engine, servers []fleet.Server) map[string]float64 {
	copies := map[string]int{}
	for _, s := range servers {
		for _, h := range s.Held {
			copies[h.Model]++
		}
	}
	out := map[string]float64{}
	for m := range e.Models {
		if copies[m] > 1 {
			out[m] = priorCopy * float64(copies[m])
		}
	}
	return out
}

// Decay lets the memory fade over a time.
func (s *SlotTimes) Decay(dt time.Duration) {
	keep := max(0, 1-dt.Seconds()/slotLife.Seconds())
	s.all = s.all.times(keep)
	for m, e := range s.models {
		s.models[m] = e.times(keep)
	}
}

func (e ended) times(k float64) ended { return ended{e.tokens * k, e.seconds * k} }

// Add takes in streams of a model that ended: the tokens of their prompts and
// the time in which they took a slot, both summed.
func (s *SlotTimes) Add(model string, tokens int, took time.Duration) {
	if tokens == 0 {
		return
	}
	if s.models == nil {
		s.models = map[string]ended{}
	}
	n := ended{float64(tokens), took.Seconds()}
	e := s.models[model]
	s.models[model] = ended{e.tokens + n.tokens, e.seconds + n.seconds}
	s.all = ended{s.all.tokens + n.tokens, s.all.seconds + n.seconds}
}

// PerToken returns the seconds that a stream of a model takes a slot for each
// token of its prompt.
func (s *SlotTimes) PerToken(model string) float64 {
	typical := (s.all.seconds + slotTypical*slotTokens) / (s.all.tokens + slotTokens)
	e := s.models[model]
	return (e.seconds + typical*slotTokens) / (e.tokens + slotTokens)
}

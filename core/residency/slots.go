package residency

import (
	"time"

	"guavapaddle/core/fleet"
)

const (
	// decayTime is the time constant with which completed streams are forgotten: their
	// weight falls to about a third over it.
	decayTime = 10 * time.Second
	// priorTokens is the weight of the mean over all models in the estimate for one model,
	// in decayed prompt tokens: about ten prompts.
	priorTokens = 10000
	// priorSecondsPerToken is the slot time per prompt token assumed before any stream has
	// completed: 1.3 s for 1,000 tokens.
	priorSecondsPerToken = 1.3e-3
)

type (
	// SlotTimes estimates how long a stream occupies a slot of its engine per prompt token.
	// Streams of small models are prefilled and decoded faster, but their steps wait for the
	// larger models on the same engine. Estimates from prefill times alone assigned such a
	// model a third of the engines it needed: a quarter of its requests were refused while a
	// quarter of the engines had one request a second or less. The zero value is ready for
	// use.
	SlotTimes struct {
		models map[string]streamTotals
		all    streamTotals
	}

	// streamTotals sums completed streams, with exponential decay.
	streamTotals struct{ tokens, seconds float64 }
)

// priorLoadPerCopy is the load, in slots, assumed for each copy of a model with several
// copies before there is demand.
const priorLoadPerCopy = 2.0

// PriorLoad returns the load assumed before there is demand. Models with more than one copy are
// assumed to be busy in proportion to their copies; every model has one copy in any case, so
// a single copy indicates no load.
func PriorLoad(e fleet.Engine, servers []fleet.Server) map[string]float64 {
	copies := map[string]int{}
	for _, s := range servers {
		for _, h := range s.Resident {
			copies[h.Model]++
		}
	}
	out := map[string]float64{}
	for m := range e.Models {
		if copies[m] > 1 {
			out[m] = priorLoadPerCopy * float64(copies[m])
		}
	}
	return out
}

// Decay ages the recorded streams by dt.
func (s *SlotTimes) Decay(dt time.Duration) {
	keep := max(0, 1-dt.Seconds()/decayTime.Seconds())
	s.all = s.all.scaled(keep)
	for m, e := range s.models {
		s.models[m] = e.scaled(keep)
	}
}

func (e streamTotals) scaled(factor float64) streamTotals {
	return streamTotals{e.tokens * factor, e.seconds * factor}
}

// Add records completed streams of a model: the sum of their prompt tokens and the sum of
// the times for which they occupied a slot.
func (s *SlotTimes) Add(model string, tokens int, slotTime time.Duration) {
	if tokens == 0 {
		return
	}
	if s.models == nil {
		s.models = map[string]streamTotals{}
	}
	n := streamTotals{float64(tokens), slotTime.Seconds()}
	e := s.models[model]
	s.models[model] = streamTotals{e.tokens + n.tokens, e.seconds + n.seconds}
	s.all = streamTotals{s.all.tokens + n.tokens, s.all.seconds + n.seconds}
}

// PerToken returns the estimated slot time of a model's streams per prompt token, in
// seconds.
func (s *SlotTimes) PerToken(model string) float64 {
	typical := (s.all.seconds + priorSecondsPerToken*priorTokens) / (s.all.tokens + priorTokens)
	e := s.models[model]
	return (e.seconds + typical*priorTokens) / (e.tokens + priorTokens)
}

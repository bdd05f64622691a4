package queue

import "time"

const (
	defaultSlots         = 8
	defaultLimit         = 256
	defaultAgeAfter      = 20 * time.Second
	defaultAgingInterval = 16
	defaultSeconds       = 1.0
	defaultStepSeconds   = 0.01
	defaultMargin        = 1.0
	minRetryAfter        = 50 * time.Millisecond
	learnRate            = 0.1 // weight of a new sample in the exponentially weighted mean
)

// Settings configures a Queue. The zero value of a field selects its default.
type Settings struct {
	// Slots is the number of requests that the server runs concurrently,
	// default 8.
	Slots int
	// Reserve is the number of slots that deferrable work leaves free, default
	// one in eight slots and at least 1 if there is more than one slot. A
	// negative value reserves none.
	Reserve int
	// Limit is the maximum number of waiting entries, default 256.
	Limit int
	// AgeAfter is the wait after which an entry is promoted to the next higher
	// urgency, default 20 s.
	AgeAfter time.Duration
	// AgingInterval is the number of dispatches of which one goes to the entry
	// that has waited longest of those past AgeAfter, default 16.
	AgingInterval int
	// Seconds is the service time assumed until one has been learned, default
	// 1 s.
	Seconds float64
	// StepSeconds is the time per token assumed until one has been learned,
	// default 10 ms.
	StepSeconds float64
	// Margin multiplies estimated times when they are compared with a deadline,
	// default 1. A higher value refuses more requests.
	Margin float64
	// CancelToPreempt is set if the engine does not preempt by priority. A
	// dispatch then names a running deferrable entry to cancel.
	CancelToPreempt bool
}

// withDefaults returns s with each zero field set to its default.
func (s Settings) withDefaults() Settings {
	if s.Slots <= 0 {
		s.Slots = defaultSlots
	}
	if s.Reserve == 0 && s.Slots > 1 {
		s.Reserve = max(1, s.Slots/8)
	}
	s.Reserve = min(max(0, s.Reserve), s.Slots-1)
	if s.Limit <= 0 {
		s.Limit = defaultLimit
	}
	if s.AgeAfter <= 0 {
		s.AgeAfter = defaultAgeAfter
	}
	if s.AgingInterval <= 0 {
		s.AgingInterval = defaultAgingInterval
	}
	if s.Seconds <= 0 {
		s.Seconds = defaultSeconds
	}
	if s.StepSeconds <= 0 {
		s.StepSeconds = defaultStepSeconds
	}
	if s.Margin <= 0 {
		s.Margin = defaultMargin
	}
	return s
}

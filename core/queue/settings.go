package queue

import "time"

const (
	defaultSlots       = 8
	defaultLimit       = 256
	defaultAgeAfter    = 20 * time.Second
	defaultAgedEvery   = 16
	defaultSeconds     = 1.0
	defaultStepSeconds = 0.01
	defaultMargin      = 1.0
	minRetryAfter      = 50 * time.Millisecond
	learnRate          = 0.1 // weight of a new service time in its mean
)

// Settings sets up a Queue. The zero value of each field stands for its
// default.
type Settings struct {
	// Slots is how many requests the server runs at the same time, default 8.
	Slots int
	// Reserve is how many slots deferrable work leaves free, default one in
	// eight slots, at least 1 if there is more than one slot. Negative: none.
	Reserve int
	// Limit bounds the waiting entries, default 256.
	Limit int
	// AgeAfter is the wait after which an entry counts as of the next higher
	// urgency, default 20 s.
	AgeAfter time.Duration
	// AgedEvery is the share of dispatches that go to the aged entry that has
	// waited longest: one in AgedEvery, default 16.
	AgedEvery int
	// Seconds is the service time assumed before one has been learned,
	// default 1 s.
	Seconds float64
	// StepSeconds is the time a token assumed before one has been learned,
	// default 10 ms.
	StepSeconds float64
	// Margin multiplies estimated times when they are held against a deadline,
	// default 1. Higher refuses more.
	Margin float64
	// CancelToPreempt tells that the engine does not preempt by priority: a
	// dispatch then names a running deferrable entry to cancel.
	CancelToPreempt bool
}

// withDefaults returns s with each zero field at its default.
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
	if s.AgedEvery <= 0 {
		s.AgedEvery = defaultAgedEvery
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

package retry

import "time"

const (
	// DefaultPerSuccess is the number of retries earned by each successful first
	// attempt.
	DefaultPerSuccess = 0.1
	// DefaultPerSecond is the number of retries per second that are allowed without
	// successes, so that a node with little traffic can retry at all.
	DefaultPerSecond = 0.2
	// DefaultBurst is the maximum number of retries that may be saved up.
	DefaultBurst = 10
)

// Budget is a token bucket that successes fill and retries drain. The zero value
// uses the defaults and starts full. It is not safe for concurrent use.
type Budget struct {
	PerSuccess float64 // tokens per success, negative for none
	PerSecond  float64 // tokens per second, negative for none
	Burst      float64 // capacity in tokens

	spent float64 // tokens missing from a full bucket
	last  time.Time
}

// Success records that a first attempt succeeded.
func (b *Budget) Success() {
	b.spent = max(0, b.spent-orDefault(b.PerSuccess, DefaultPerSuccess))
}

// Take takes a token for a retry at the time now and reports whether one was
// available.
func (b *Budget) Take(now time.Time) bool {
	if !b.last.IsZero() && now.After(b.last) {
		b.spent = max(0, b.spent-now.Sub(b.last).Seconds()*orDefault(b.PerSecond, DefaultPerSecond))
	}
	if b.last.IsZero() || now.After(b.last) {
		b.last = now
	}
	if b.spent+1 > orDefault(b.Burst, DefaultBurst) {
		return false
	}
	b.spent++
	return true
}

// Left returns the number of tokens left. It does not include those accrued over
// time since the last Take.
func (b *Budget) Left() float64 { return orDefault(b.Burst, DefaultBurst) - b.spent }

// orDefault returns v, the default d if v is zero, or zero if v is negative.
func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return max(0, v)
}

package retry

import "time"

const (
	// DefaultShare is the retries earned by each first attempt that succeeded.
	DefaultShare = 0.1
	// DefaultFloor is the retries a second that are allowed without successes,
	// so that a node with little traffic can retry at all.
	DefaultFloor = 0.2
	// DefaultBurst is the most retries that may be saved up.
	DefaultBurst = 10
)

// Budget is a token bucket that successes fill and retries empty. The zero
// value uses the defaults and begins full. Its owner guards it against
// concurrent use.
type Budget struct {
	Share float64 // tokens a success, below zero for none
	Floor float64 // tokens a second, below zero for none
	Burst float64 // most tokens

	spent float64 // below a full bucket
	last  time.Time
}

// Success tells that a first attempt succeeded.
func (b *Budget) Success() {
	b.spent = max(0, b.spent-or(b.Share, DefaultShare))
}

// Take takes a token for a retry at now and tells whether there was one.
func (b *Budget) Take(now time.Time) bool {
	if !b.last.IsZero() && now.After(b.last) {
		b.spent = max(0, b.spent-now.Sub(b.last).Seconds()*or(b.Floor, DefaultFloor))
	}
	if b.last.IsZero() || now.After(b.last) {
		b.last = now
	}
	if b.spent+1 > or(b.Burst, DefaultBurst) {
		return false
	}
	b.spent++
	return true
}

// Left returns the tokens that are left as of the last Take.
func (b *Budget) Left() float64 { return or(b.Burst, DefaultBurst) - b.spent }

// or returns v, d if v is zero, and zero if v is below it.
func or(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return max(0, v)
}

package throttle

import "time"

// Limit is the rate limit of a backend server as of a time.
type Limit struct {
	Rate   float64 // requests per second from all nodes together; meaningless unless Active
	Active bool    // whether the server names a rate
	At     time.Time
}

// NewLimit returns the limit of an answer that named a rate and arrived at the given time.
func NewLimit(at time.Time, rate float64) Limit { return Limit{Rate: rate, Active: true, At: at} }

// NoLimit returns the limit of an answer without a rate to a request that was sent at the given
// time.
func NoLimit(sent time.Time) Limit { return Limit{At: sent} }

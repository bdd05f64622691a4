package throttle

import "time"

// Limit is what a backend server accepts, as of a time.
type Limit struct {
	Rate   float64 // requests per second from all nodes together; meaningless unless Active
	Active bool    // whether the server names a rate
	At     time.Time

	// Brittle reports that the server fails if it has to reject more than MaxRejections requests in a second for
	// lack of room.
	Brittle       bool
	MaxRejections int
}

// NewLimit returns the limit of an answer that named a rate and arrived at the given time.
func NewLimit(at time.Time, rate float64) Limit { return Limit{Rate: rate, Active: true, At: at} }

// NoLimit returns the limit of an answer without a rate to a request that was sent at the given
// time.
func NoLimit(sent time.Time) Limit { return Limit{At: sent} }

// WithBrittleness returns the limit of a server that fails if it has to reject more requests in a second.
func (l Limit) WithBrittleness(maxRejections int) Limit {
	l.Brittle, l.MaxRejections = true, maxRejections
	return l
}

// WithBrittlenessOf returns the limit with the brittleness of another one.
func (l Limit) WithBrittlenessOf(o Limit) Limit {
	l.Brittle, l.MaxRejections = o.Brittle, o.MaxRejections
	return l
}

// restricts reports whether the limit differs from that of a server that accepts what it has room for.
func (l Limit) restricts() bool { return l.Active || l.Brittle }

package throttle

import "time"

// Limit is what a backend server has said of its rate as of a time.
type Limit struct {
	Rate   float64 // requests a second from all nodes together; of no meaning if not Active
	Active bool    // the server names a rate
	At     time.Time
}

// Named returns a limit that came with an answer at a time.
func Named(at time.Time, rate float64) Limit { return Limit{Rate: rate, Active: true, At: at} }

// Withdrawn returns what an answer without a rate says, by when its request was sent.
func Withdrawn(sent time.Time) Limit { return Limit{At: sent} }

// Package capacity limits the call rate of a stand-in. Calls above the limit wait,
// as they do at an overloaded store.
//
// # Usage
//
//	l := capacity.New(cmp.Or(s.WriteRate, capacity.DefaultWrites))
//	if err := l.Wait(r.Context()); err != nil {
//		return // the client cancelled the request
//	}
package capacity

import "golang.org/x/time/rate"

const (
	// DefaultWrites is the maximum number of writes per second, as given in the
	// requirements.
	DefaultWrites = 500
	// DefaultReads is the maximum number of reads per second, as given in the
	// requirements.
	DefaultReads = 2000

	burst = 50
)

// New returns a limiter for n calls per second.
func New(n float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(n), burst) }

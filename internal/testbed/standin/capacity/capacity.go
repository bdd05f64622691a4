// Package capacity bounds the calls a second of a stand-in. Calls over the
// bound wait, as at a store that is slow because it is busy.
//
// # Usage
//
//	l := capacity.New(cmp.Or(s.WriteRate, capacity.DefaultWrites))
//	if err := l.Wait(r.Context()); err != nil {
//		return // the caller has gone
//	}
package capacity

import "golang.org/x/time/rate"

const (
	// DefaultWrites is the bound of writes a second, from the brief.
	DefaultWrites = 500
	// DefaultReads is the bound of reads a second, from the brief.
	DefaultReads = 2000

	burst = 50
)

// New returns a limiter of n calls a second.
func New(n float64) *rate.Limiter { return rate.NewLimiter(rate.Limit(n), burst) }

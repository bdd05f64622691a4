package throttle

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burst is the requests that a scheduler lets follow each other at once.
	burst = 2
	// leastRate, in requests a second, stands for any lower one: only the answer to a
	// request tells that the rate has changed.
	leastRate = 0.25
)

type (
	// Throttle is the limit of one backend server. The zero value limits nothing.
	Throttle struct {
		limit  Limit
		phase  float64       // of this node's windows, in [0, 1)
		from   time.Time     // begin of the windows
		taken  time.Time     // of the last request
		bucket *rate.Limiter // nil without a limit
	}

	// Share is the part of a server's rate that a node may use by itself.
	Share struct {
		Nodes int     // that share the rate, at least one
		Part  float64 // of the rate, for all nodes together, above zero
	}
)

// New returns a Throttle without a limit. The phase is uniform in [0, 1) over the nodes.
func New(phase float64) Throttle { return Throttle{phase: phase} }

// Learn takes in what the server said unless something newer is known. It returns whether
// that changes the limit.
func (t *Throttle) Learn(l Limit) bool {
	if !l.At.After(t.limit.At) || !l.Active && !t.limit.Active {
		return false
	}
	was := t.limit
	t.limit = l
	switch {
	case !l.Active:
		t.bucket = nil
	case !was.Active:
		t.from = l.At
		t.bucket = rate.NewLimiter(rate.Limit(t.Rate()), burst)
		t.bucket.ReserveN(l.At, burst) // others may have sent as many just before
	case l.Rate != was.Rate:
		t.bucket.SetLimitAt(l.At, rate.Limit(t.Rate()))
	}
	return l.Active != was.Active || l.Rate != was.Rate
}

// Limit returns what the server said last.
func (t *Throttle) Limit() Limit { return t.limit }

// Rate returns the requests a second that the server may get, of meaning only while its
// limit is active.
func (t *Throttle) Rate() float64 { return max(t.limit.Rate, leastRate) }

// Free returns the time until the server may get a request from a scheduler that decides
// for all nodes, zero for now.
func (t *Throttle) Free(now time.Time) time.Duration {
	if t.bucket == nil {
		return 0
	}
	return max(0, seconds((1-t.bucket.TokensAt(now))/t.Rate()))
}

// Opens returns the time until this node may send the server a request by itself, zero for
// now.
func (t *Throttle) Opens(now time.Time, s Share) time.Duration {
	if !t.limit.Active {
		return 0
	}
	width := 1 / (t.Rate() * s.Part)
	period := width * float64(s.Nodes)
	in := math.Mod(now.Sub(t.from).Seconds()+t.phase*period, period)
	sinceTaken := now.Sub(t.taken).Seconds()
	switch {
	case in >= width:
		return seconds(period - in)
	case sinceTaken >= width:
		return 0
	case s.Nodes == 1:
		return seconds(width - sinceTaken)
	default:
		return seconds(period - in)
	}
}

// Take notes a request to the server.
func (t *Throttle) Take(now time.Time) {
	t.taken = now
	if t.bucket != nil {
		t.bucket.ReserveN(now, 1)
	}
}

// seconds returns a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

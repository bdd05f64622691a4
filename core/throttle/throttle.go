package throttle

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burst is the number of requests that a scheduler may send without a pause.
	burst = 2
	// minRate, in requests per second, replaces any lower rate: a change of the rate can only be
	// learned from the answer to a request.
	minRate = 0.25
)

type (
	// Throttle enforces the rate limit of one backend server. The zero value limits nothing.
	Throttle struct {
		limit       Limit
		phase       float64       // phase of this node's windows, in [0, 1)
		windowStart time.Time     // start of the windows
		lastSent    time.Time     // time of the last request
		bucket      *rate.Limiter // nil without a limit
	}

	// Share is the share of a server's rate that a node may use on its own.
	Share struct {
		Nodes    int     // number of nodes that share the rate, at least one
		Fraction float64 // fraction of the rate for all these nodes together, above zero
	}
)

// New returns a Throttle without a limit. Over all nodes, phase must be uniformly distributed in
// [0, 1).
func New(phase float64) Throttle { return Throttle{phase: phase} }

// Learn records a limit unless a newer one is known. It reports whether the limit changed.
func (t *Throttle) Learn(l Limit) bool {
	if !l.At.After(t.limit.At) || !l.restricts() && !t.limit.restricts() {
		return false
	}
	previous := t.limit
	t.limit = l
	switch {
	case !l.Active:
		t.bucket = nil
	case !previous.Active:
		t.windowStart = l.At
		t.bucket = rate.NewLimiter(rate.Limit(t.Rate()), burst)
		t.bucket.ReserveN(l.At, burst) // other nodes may have just sent as many requests
	case l.Rate != previous.Rate:
		t.bucket.SetLimitAt(l.At, rate.Limit(t.Rate()))
	}
	return l.Active != previous.Active || l.Rate != previous.Rate || l.Brittle != previous.Brittle || l.MaxRejections != previous.MaxRejections
}

// Limit returns the latest limit of the server.
func (t *Throttle) Limit() Limit { return t.limit }

// Rate returns the requests per second that the server may get. It is meaningful only while the
// limit is active.
func (t *Throttle) Rate() float64 { return max(t.limit.Rate, minRate) }

// GlobalWait returns the time until a scheduler that decides for all nodes may send the server a
// request, zero if it may send one now.
func (t *Throttle) GlobalWait(now time.Time) time.Duration {
	if t.bucket == nil {
		return 0
	}
	return max(0, seconds((1-t.bucket.TokensAt(now))/t.Rate()))
}

// LocalWait returns the time until this node may send the server a request on its own, zero if it may
// send one now.
func (t *Throttle) LocalWait(now time.Time, s Share) time.Duration {
	if !t.limit.Active {
		return 0
	}
	width := 1 / (t.Rate() * s.Fraction)
	period := width * float64(s.Nodes)
	offset := math.Mod(now.Sub(t.windowStart).Seconds()+t.phase*period, period)
	sinceSent := now.Sub(t.lastSent).Seconds()
	switch {
	case offset >= width:
		return seconds(period - offset)
	case sinceSent >= width:
		return 0
	case s.Nodes == 1:
		return seconds(width - sinceSent)
	default:
		return seconds(period - offset)
	}
}

// Record records a request to the server.
func (t *Throttle) Record(now time.Time) {
	t.lastSent = now
	if t.bucket != nil {
		t.bucket.ReserveN(now, 1)
	}
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"guavapaddle/core/outcome"
)

// Action is what to do after a failure.
type Action string

// Reason tells why, for a counter.
type Reason string

const (
	// Again means that the request is sent again, to another server first.
	Again Action = "again"
	// Resume means that the stream is resumed from the tokens already seen.
	Resume Action = "resume"
	// Stop means that the failure goes to the caller.
	Stop Action = "stop"
)

const (
	// NotRun means that the failed attempt provably did not run.
	NotRun Reason = "not-run"
	// Repeatable means that the request may run more than once.
	Repeatable Reason = "repeatable"
	// TokensSeen means that the caller has part of the answer, which only the
	// same generation can go on with.
	TokensSeen Reason = "tokens-seen"
	// NotRepeatable means that the attempt may have run and must not run twice.
	NotRepeatable Reason = "not-repeatable"
	// NoKey means that the request was sent, must not run twice and came
	// without an idempotency key: it is sent once, whatever became of it.
	NoKey Reason = "no-key"
	// Final means that another attempt would fail in the same way.
	Final Reason = "final"
	// Attempts means that the request had all its attempts.
	Attempts Reason = "attempts"
	// NoTime means that too little is left before the deadline.
	NoTime Reason = "no-time"
	// NoBudget means that the node's retry budget is spent.
	NoBudget Reason = "no-budget"
)

const (
	// DefaultAttempts is the most attempts of a request, the first included.
	DefaultAttempts = 3
	// DefaultMinRemaining is the least time before the deadline for which
	// another attempt is worth its load.
	DefaultMinRemaining = 20 * time.Millisecond
	// DefaultBase is the middle of the first wait.
	DefaultBase = 10 * time.Millisecond
	// DefaultMax bounds the middle of a wait.
	DefaultMax = time.Second

	multiplier = 2
	jitter     = 0.5 // share of the interval by which a wait differs from it
)

type (
	// Policy is how failures are judged. The zero value uses the defaults.
	Policy struct {
		Attempts     int
		MinRemaining time.Duration
		Base         time.Duration
		Max          time.Duration
	}

	// Failure is one attempt that did not end as done.
	Failure struct {
		Attempt    int            // 1 for the first
		Err        *outcome.Error // never nil
		Started    bool           // the attempt is known to have started at a server
		Tokens     int            // tokens that the caller has
		Repeatable bool           // the kind's
		Remaining  time.Duration  // before the deadline
	}

	// Verdict is what to do.
	Verdict struct {
		Action Action
		Reason Reason
	}
)

// Decide judges f. The budget is not asked: who gets Again or Resume takes a
// token from it, and Spent is the verdict if there is none.
func (p Policy) Decide(f Failure) Verdict {
	attempts, least := p.Attempts, p.MinRemaining
	if attempts == 0 {
		attempts = DefaultAttempts
	}
	if least == 0 {
		least = DefaultMinRemaining
	}
	ran := f.Err.Outcome != outcome.RefusedNotRun || f.Started || f.Tokens > 0
	switch {
	case final(f.Err.Reason):
		return Verdict{Action: Stop, Reason: Final}
	case ran && !f.Repeatable:
		return Verdict{Action: Stop, Reason: NotRepeatable}
	case f.Attempt >= attempts:
		return Verdict{Action: Stop, Reason: Attempts}
	case f.Remaining < least:
		return Verdict{Action: Stop, Reason: NoTime}
	case f.Tokens > 0:
		return Verdict{Action: Resume, Reason: TokensSeen}
	case ran:
		return Verdict{Action: Again, Reason: Repeatable}
	}
	return Verdict{Action: Again, Reason: NotRun}
}

// Spent returns the verdict of a request that the budget has no token for.
func Spent() Verdict { return Verdict{Action: Stop, Reason: NoBudget} }

// Backoff returns the wait before attempt, 2 for the first retry: an interval
// that doubles from Base to Max, less or more by up to a half, drawn from r. A
// request that provably did not run need not wait before it goes elsewhere.
func (p Policy) Backoff(attempt int, r *rand.Rand) time.Duration {
	b := backoff.ExponentialBackOff{InitialInterval: p.Base, Multiplier: multiplier, MaxInterval: p.Max}
	if b.InitialInterval == 0 {
		b.InitialInterval = DefaultBase
	}
	if b.MaxInterval == 0 {
		b.MaxInterval = DefaultMax
	}
	wait := b.NextBackOff()
	for range attempt - 2 {
		wait = b.NextBackOff()
	}
	return time.Duration(float64(wait) * (1 - jitter + 2*jitter*r.Float64()))
}

// final tells whether another attempt would fail for the same reason.
func final(r outcome.Reason) bool {
	switch r {
	case outcome.BackendRefused, outcome.BackendUnreachable, outcome.BackendLost,
		outcome.BackendCut, outcome.BackendFailed, outcome.PeerLost, outcome.QueueFull:
		return false
	}
	return true
}

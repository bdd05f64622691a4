package retry

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"guavapaddle/core/outcome"
)

// Action is what to do after a failure.
type Action string

// Reason is the reason for a decision, used as a metric label.
type Reason string

const (
	// Retry means that the request is sent again, preferably to another server.
	Retry Action = "again"
	// Resume means that the stream is resumed after the tokens already received.
	Resume Action = "resume"
	// Stop means that the failure is returned to the caller.
	Stop Action = "stop"
)

const (
	// NotRun means that the failed attempt is known not to have run.
	NotRun Reason = "not-run"
	// Repeatable means that the request may run more than once.
	Repeatable Reason = "repeatable"
	// TokensSeen means that the caller has received part of the response, which can
	// only be continued by resuming the same generation.
	TokensSeen Reason = "tokens-seen"
	// NotRepeatable means that the attempt may have run and must not run twice.
	NotRepeatable Reason = "not-repeatable"
	// NoKey means that the request was sent, must not run twice and has no
	// idempotency key, so it is sent only once whatever the outcome.
	NoKey Reason = "no-key"
	// Final means that another attempt would fail in the same way.
	Final Reason = "final"
	// Attempts means that the maximum number of attempts was reached.
	Attempts Reason = "attempts"
	// NoTime means that too little time is left before the deadline.
	NoTime Reason = "no-time"
	// NoBudget means that the node's retry budget is exhausted.
	NoBudget Reason = "no-budget"
)

const (
	// DefaultAttempts is the maximum number of attempts of a request, including
	// the first.
	DefaultAttempts = 3
	// DefaultMinRemaining is the minimum time before the deadline for which
	// another attempt is worth its load.
	DefaultMinRemaining = 20 * time.Millisecond
	// DefaultBase is the first backoff interval, before jitter.
	DefaultBase = 10 * time.Millisecond
	// DefaultMax is the maximum backoff interval, before jitter.
	DefaultMax = time.Second

	multiplier = 2
	jitter     = 0.5 // maximum deviation of a wait from its interval, as a fraction of it
)

type (
	// Policy configures retries. The zero value uses the defaults.
	Policy struct {
		Attempts     int           // DefaultAttempts if zero
		MinRemaining time.Duration // DefaultMinRemaining if zero
		Base         time.Duration // DefaultBase if zero
		Max          time.Duration // DefaultMax if zero
	}

	// Failure describes an attempt that did not complete.
	Failure struct {
		Attempt    int            // 1 for the first
		Err        *outcome.Error // never nil
		Started    bool           // the attempt is known to have started at a server
		Tokens     int            // number of tokens that the caller has received
		Repeatable bool           // the request's kind may run more than once
		Remaining  time.Duration  // time before the deadline
	}

	// Verdict is the decision on a failure.
	Verdict struct {
		Action Action
		Reason Reason
	}
)

// Decide returns the decision on f. It does not consult the budget: after Retry or
// Resume the caller takes a token from it, and if there is none the verdict is
// BudgetExhausted.
func (p Policy) Decide(f Failure) Verdict {
	attempts, minRemaining := p.Attempts, p.MinRemaining
	if attempts == 0 {
		attempts = DefaultAttempts
	}
	if minRemaining == 0 {
		minRemaining = DefaultMinRemaining
	}
	ran := f.Err.Outcome != outcome.RefusedNotRun || f.Started || f.Tokens > 0
	switch {
	case isFinal(f.Err.Reason):
		return Verdict{Action: Stop, Reason: Final}
	case ran && !f.Repeatable:
		return Verdict{Action: Stop, Reason: NotRepeatable}
	case f.Attempt >= attempts:
		return Verdict{Action: Stop, Reason: Attempts}
	case f.Remaining < minRemaining:
		return Verdict{Action: Stop, Reason: NoTime}
	case f.Tokens > 0:
		return Verdict{Action: Resume, Reason: TokensSeen}
	case ran:
		return Verdict{Action: Retry, Reason: Repeatable}
	}
	return Verdict{Action: Retry, Reason: NotRun}
}

// BudgetExhausted returns the verdict for a request that gets no token from the budget.
func BudgetExhausted() Verdict { return Verdict{Action: Stop, Reason: NoBudget} }

// Backoff returns the wait before an attempt, 2 being the first retry. The
// interval doubles from Base to Max, with a random jitter of up to half of it
// drawn from r. A request that is known not to have run may be sent to another
// server without a wait.
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

// isFinal reports whether another attempt would fail for the same reason.
func isFinal(r outcome.Reason) bool {
	switch r {
	case outcome.BackendRefused, outcome.BackendUnreachable, outcome.BackendLost,
		outcome.BackendCut, outcome.BackendFailed, outcome.PeerLost, outcome.QueueFull:
		return false
	}
	return true
}

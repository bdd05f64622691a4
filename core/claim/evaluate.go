package claim

import (
	"time"

	"guavapaddle/core/outcome"
	"guavapaddle/core/row"
)

// Decision is the decision on a request to claim a call.
type Decision string

const (
	// Free means that the requester may insert its claim over the row.
	Free Decision = "free"
	// Stored means that the call was answered and that the verdict has the answer.
	Stored Decision = "stored"
	// Denied means that the requester must not send the call and gets an error.
	Denied Decision = "closed"
)

const (
	// minInProgressRetry is the shortest retry delay returned with in-progress.
	minInProgressRetry = 200 * time.Millisecond
	// maxInProgressRetry is the longest retry delay returned with in-progress.
	maxInProgressRetry = 2 * time.Second
)

type (
	// Verdict is the result of evaluating a row for a requester.
	Verdict struct {
		Decision Decision
		Revision uint64         // for Free: the revision that the insert requires
		Answer   *Answer        // for Stored
		Err      *outcome.Error // for Denied
	}

	// IsDead reports whether an incarnation of a node is known to have ended. A
	// false positive is safe: the requester gets unknown instead of in-progress,
	// which is correct but less precise.
	IsDead func(node string, incarnation uint64) bool
)

// Evaluate evaluates the row r, as read at the key that own is to claim. While
// another attempt holds the row, the requester gets in-progress until the
// deadline of that claim plus ClockMargin has passed or its node is known to be
// dead, and unknown after that.
func Evaluate(r row.Row, own Claim, now time.Time, dead IsDead) (Verdict, error) {
	c, found, err := Decode(r)
	if err != nil {
		return Verdict{}, err
	}
	switch {
	case !found:
		return Verdict{Decision: Free}, nil
	case c.State == Released:
		return Verdict{Decision: Free, Revision: r.Revision}, nil
	case c.Team != own.Team || c.BodyHash != own.BodyHash:
		return denied(outcome.Refuse(outcome.KeyReused, "the key belongs to another call", 0)), nil
	case c.State == Done:
		return Verdict{Decision: Stored, Answer: c.Answer}, nil
	case c.State == Unknown:
		return denied(outcome.Unconfirmed(c.Reason, "an earlier call with this key was sent and its answer was lost")), nil
	}
	remaining := time.UnixMilli(c.DeadlineMS).Add(ClockMargin).Sub(now)
	if remaining <= 0 {
		return denied(outcome.Unconfirmed(outcome.PeerLost, "an earlier call with this key did not end in time")), nil
	}
	if dead != nil && dead(c.Node, c.Incarnation) {
		return denied(outcome.Unconfirmed(outcome.PeerLost, "the node of an earlier call with this key died")), nil
	}
	e := outcome.Unconfirmed(outcome.InProgress, "an earlier call with this key is running")
	e.RetryAfter = min(max(remaining/10, minInProgressRetry), maxInProgressRetry)
	return denied(e), nil
}

// denied returns the verdict that denies the request with e.
func denied(e *outcome.Error) Verdict { return Verdict{Decision: Denied, Err: e} }

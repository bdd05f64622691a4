package claim

import (
	"time"

	"guavapaddle/core/outcome"
	"guavapaddle/core/row"
)

// Kind is what an asker may do.
type Kind string

const (
	// Free means that the asker may try to claim over the row.
	Free Kind = "free"
	// Stored means that the call was answered and here is the answer.
	Stored Kind = "stored"
	// Closed means that the asker must not send and is told an error.
	Closed Kind = "closed"
)

const (
	// inProgressRetry is the shortest time after which an asker may come back.
	inProgressRetry = 200 * time.Millisecond
	// inProgressRetryMax is the longest time after which an asker may come back.
	inProgressRetryMax = 2 * time.Second
)

type (
	// Verdict is what an asker may do and is told.
	Verdict struct {
		Kind     Kind
		Revision uint64         // for Free: condition of the insert
		Answer   *Answer        // for Stored
		Err      *outcome.Error // for Closed
	}

	// Dead tells whether an incarnation of a node is known to have ended. A
	// wrong yes costs an asker a true but vague answer, never safety.
	Dead func(node string, incarnation uint64) bool
)

// Ask judges the row r that stands where mine is to be claimed. An asker is
// told in-progress while the row's claim is younger than its deadline plus
// ClockMargin and its node is not known dead, and unknown after that.
func Ask(r row.Row, mine Claim, now time.Time, dead Dead) (Verdict, error) {
	c, found, err := Decode(r)
	if err != nil {
		return Verdict{}, err
	}
	switch {
	case !found:
		return Verdict{Kind: Free}, nil
	case c.State == Released:
		return Verdict{Kind: Free, Revision: r.Revision}, nil
	case c.Team != mine.Team || c.BodyHash != mine.BodyHash:
		return closed(outcome.Refuse(outcome.KeyReused, "the key belongs to another call", 0)), nil
	case c.State == Done:
		return Verdict{Kind: Stored, Answer: c.Answer}, nil
	case c.State == Unknown:
		return closed(outcome.Unsure(c.Reason, "an earlier call with this key was sent and its answer was lost")), nil
	}
	left := time.UnixMilli(c.DeadlineMS).Add(ClockMargin).Sub(now)
	if left <= 0 {
		return closed(outcome.Unsure(outcome.PeerLost, "an earlier call with this key did not end in time")), nil
	}
	if dead != nil && dead(c.Node, c.Incarnation) {
		return closed(outcome.Unsure(outcome.PeerLost, "the node of an earlier call with this key died")), nil
	}
	e := outcome.Unsure(outcome.InProgress, "an earlier call with this key is running")
	e.RetryAfter = min(max(left/10, inProgressRetry), inProgressRetryMax)
	return closed(e), nil
}

// closed returns the verdict that tells e.
func closed(e *outcome.Error) Verdict { return Verdict{Kind: Closed, Err: e} }

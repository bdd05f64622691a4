package generate

import (
	"context"
	"errors"
	"time"

	"guavapaddle/core/outcome"
	"guavapaddle/internal/engines"
)

// resume continues the generation at its server, through the owner or, if the
// owner is lost, directly. The parameter cause is the failure that interrupted the
// generation.
func (a *attempt) resume(ctx context.Context, cause *outcome.Error) error {
	v, _ := a.r.Views.Get(a.server)
	a.owner, a.epoch = v.Owner, v.Epoch
	for range maxResumes {
		if cause.Reason == outcome.PeerLost || cause.Reason == outcome.NoServer {
			a.owner = ""
		}
		a.trace("resume", string(cause.Reason))
		before := a.offset
		err := a.send(ctx, true)
		if err == nil {
			return nil
		}
		if _, ok := errors.AsType[*engines.SinkError](err); ok {
			return outcome.Fail(outcome.CallerGone, "")
		}
		e := outcome.From(err)
		if e.Outcome == outcome.RefusedNotRun {
			e.Outcome = outcome.FailedAfterStart // tokens were generated before
		}
		if e.Reason != outcome.PeerLost && e.Reason != outcome.NoServer && a.offset == before {
			return e
		}
		cause = e
	}
	return cause
}

// pause waits for the backoff before an attempt.
func (a *attempt) pause(ctx context.Context, attempt int) error {
	a.r.mu.Lock()
	d := a.r.Retry.Backoff(attempt, a.r.random)
	a.r.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return outcome.Fail(outcome.CallerGone, "")
	}
}

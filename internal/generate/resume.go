package generate

import (
	"context"
	"errors"
	"time"

	"guavapaddle/core/outcome"
	"guavapaddle/internal/engines"
)

// resume continues the generation at its server: through the owner, or
// directly if the owner is lost. why is the failure so far.
func (a *attempt) resume(ctx context.Context, why *outcome.Error) error {
	v, _ := a.r.Views.Get(a.server)
	a.owner, a.epoch = v.Owner, v.Epoch
	for range maxResumes {
		if why.Reason == outcome.PeerLost || why.Reason == outcome.NoServer {
			a.owner = ""
		}
		a.note("resume", string(why.Reason))
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
			e.Outcome = outcome.FailedAfterStart // the first part ran
		}
		if e.Reason != outcome.PeerLost && e.Reason != outcome.NoServer && a.offset == before {
			return e
		}
		why = e
	}
	return why
}

// pause waits before an attempt.
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

package generate

import (
	"context"
	"errors"
	"time"

	"guavapaddle/core/outcome"
	"guavapaddle/core/retry"
	"guavapaddle/core/route"
	"guavapaddle/internal/engines"
	"guavapaddle/internal/suspects"
)

// judge decides what follows a failed attempt. It returns true to try again.
func (a *attempt) judge(ctx context.Context, err error) (bool, error) {
	if _, ok := errors.AsType[*engines.SinkError](err); ok {
		return false, outcome.Fail(outcome.CallerGone, "")
	}
	if suspects.IsBusy(err) {
		return a.busy(ctx)
	}
	e := outcome.From(err)
	if ctx.Err() != nil {
		return false, e
	}
	if e.Reason == outcome.PeerLost {
		if err := a.resume(ctx, e); err != nil {
			e = outcome.From(err)
		} else {
			return false, nil
		}
	}
	if a.offset > 0 && !a.q.Buffered {
		return false, e
	}
	a.offset, a.held = 0, nil
	a.exclude[a.server] = true
	if e.Outcome == outcome.RefusedNotRun && a.free < freeAttempts {
		if again, err := a.elsewhere(ctx, e); again || err != nil {
			return again, err
		}
	}
	return a.retry(ctx, e)
}

// elsewhere tries again after an attempt that reached no server.
func (a *attempt) elsewhere(ctx context.Context, e *outcome.Error) (bool, error) {
	switch e.Reason {
	case outcome.NoServer:
		a.free++
		clear(a.exclude)
		if !a.bypass {
			a.bypass = true // the server may well serve; only its owner changed
			return true, nil
		}
		return true, a.pause(ctx, a.free+1)
	case outcome.BackendUnreachable, outcome.ServerLeaving:
		a.free++
		a.r.unreachable(a.server)
		a.note("retry", string(e.Reason))
		if a.free == 1 {
			return true, nil
		}
		return true, a.pause(ctx, a.free)
	case outcome.NoCopy: // the view was old; another server may hold the item
		a.free++
		a.note("retry", string(e.Reason))
		if a.free == 1 {
			return true, nil
		}
		return true, a.pause(ctx, a.free)
	}
	return false, nil
}

// retry tries again if the policy and the budget allow it.
func (a *attempt) retry(ctx context.Context, e *outcome.Error) (bool, error) {
	a.count++
	v := a.r.Retry.Decide(retry.Failure{
		Attempt:    a.count,
		Err:        e,
		Started:    e.Outcome != outcome.RefusedNotRun,
		Repeatable: a.q.Kind.Repeatable,
		Remaining:  time.Until(a.q.Deadline),
	})
	if v.Action == retry.Retry && !a.r.take() {
		v = retry.BudgetExhausted()
	}
	a.note("retry", string(v.Reason))
	if v.Action != retry.Retry {
		return false, e
	}
	if v.Reason == retry.NotRun {
		return true, nil
	}
	return true, a.pause(ctx, a.count+1)
}

// unreachable notes that a server could not be reached or takes no new work.
func (r *Router) unreachable(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rest[server] = rest{until: time.Now().Add(unreachableRest)}
}

// lost notes that a server broke a connection off and does not answer.
func (r *Router) lost(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rest[server] = rest{until: time.Now().Add(lostRest), lost: true}
}

// passOver marks the candidates that could not be reached lately and returns
// the indices of those to try if there is no other; a lost one is not. The lock
// is held.
func (r *Router) passOver(now time.Time, cs []route.Candidate) []int {
	var out []int
	for i := range cs {
		rest, ok := r.rest[cs[i].Server.Server]
		switch {
		case !ok || !cs[i].Reachable:
		case now.After(rest.until):
			delete(r.rest, cs[i].Server.Server)
		default:
			cs[i].Reachable = false
			if !rest.lost {
				out = append(out, i)
			}
		}
	}
	return out
}

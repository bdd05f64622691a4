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

// decide decides how the request continues after a failed attempt. It returns
// true to try again.
func (a *attempt) decide(ctx context.Context, err error) (bool, error) {
	if _, ok := errors.AsType[*engines.SinkError](err); ok {
		return false, outcome.Fail(outcome.CallerGone, "")
	}
	if suspects.IsBusy(err) {
		return a.retryBusy(ctx)
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
	a.offset, a.buffered = 0, nil
	a.exclude[a.server] = true
	if e.Outcome == outcome.RefusedNotRun && a.freeAttempts < maxFreeAttempts {
		if again, err := a.retryElsewhere(ctx, e); again || err != nil {
			return again, err
		}
	}
	return a.retry(ctx, e)
}

// retryElsewhere retries an attempt that loaded no server. It returns false if the
// failure is of another kind.
func (a *attempt) retryElsewhere(ctx context.Context, e *outcome.Error) (bool, error) {
	switch e.Reason {
	case outcome.NoServer:
		a.freeAttempts++
		clear(a.exclude)
		if !a.bypassOwner {
			a.bypassOwner = true // only the owner changed; the server may still accept requests
			return true, nil
		}
		return true, a.pause(ctx, a.freeAttempts+1)
	case outcome.BackendUnreachable, outcome.ServerLeaving:
		a.freeAttempts++
		a.r.unreachable(a.server)
		a.trace("retry", string(e.Reason))
		if a.freeAttempts == 1 {
			return true, nil
		}
		return true, a.pause(ctx, a.freeAttempts)
	case outcome.NoCopy: // the view was outdated; another server may hold the item
		a.freeAttempts++
		a.trace("retry", string(e.Reason))
		if a.freeAttempts == 1 {
			return true, nil
		}
		return true, a.pause(ctx, a.freeAttempts)
	}
	return false, nil
}

// retry retries an attempt if the policy and the budget allow it.
func (a *attempt) retry(ctx context.Context, e *outcome.Error) (bool, error) {
	a.attempts++
	v := a.r.Retry.Decide(retry.Failure{
		Attempt:    a.attempts,
		Err:        e,
		Started:    e.Outcome != outcome.RefusedNotRun,
		Repeatable: a.q.Kind.Repeatable,
		Remaining:  time.Until(a.q.Deadline),
	})
	if v.Action == retry.Retry && !a.r.takeRetry() {
		v = retry.BudgetExhausted()
	}
	a.trace("retry", string(v.Reason))
	if v.Action != retry.Retry {
		return false, e
	}
	if v.Reason == retry.NotRun {
		return true, nil
	}
	return true, a.pause(ctx, a.attempts+1)
}

// unreachable starts the cooldown of a server that could not be reached or
// accepts no new work.
func (r *Router) unreachable(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cooldown[server] = cooldown{until: time.Now().Add(unreachableCooldown)}
}

// unresponsive starts the cooldown of a server that broke a connection and does not
// respond.
func (r *Router) unresponsive(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cooldown[server] = cooldown{until: time.Now().Add(lostCooldown), unresponsive: true}
}

// skipCooling marks the candidates in cooldown as unreachable. It returns the
// indices of those that may be tried if there is no other candidate, which
// excludes unresponsive servers. The lock is held.
func (r *Router) skipCooling(now time.Time, cs []route.Candidate) []int {
	var lastResort []int
	for i := range cs {
		cooldown, ok := r.cooldown[cs[i].Server.Server]
		switch {
		case !ok || !cs[i].Reachable:
		case now.After(cooldown.until):
			delete(r.cooldown, cs[i].Server.Server)
		default:
			cs[i].Reachable = false
			if !cooldown.unresponsive {
				lastResort = append(lastResort, i)
			}
		}
	}
	return lastResort
}

package generate

import (
	"context"
	"errors"
	"time"

	"guavapaddle/core/outcome"
	"guavapaddle/core/suspect"
	"guavapaddle/internal/engines"
	"guavapaddle/internal/suspects"
)

const (
	// probeTimeout bounds the query of a server's boot ID after a broken
	// connection.
	probeTimeout = 300 * time.Millisecond
	// busyRetryAfter is the retry delay given to a marked request that found no
	// server free for a trial.
	busyRetryAfter = time.Second
)

// Guard decides whether a request that may crash servers runs; *suspects.Guard
// implements it.
type Guard interface {
	Begin(ctx context.Context, fp suspect.Fingerprint, server string, own bool) (suspects.Run, error)
	Succeeded(r suspects.Run)
	NotRun(r suspects.Run)
	Crashed(ctx context.Context, r suspects.Run, bootID string)
}

// sendGuarded sends the request if the guard allows it, and reports the outcome
// to the guard.
func (a *attempt) sendGuarded(ctx context.Context) error {
	g := a.r.Guard
	run, err := g.Begin(ctx, a.q.Fingerprint, a.server, a.crashed)
	if err != nil {
		return err
	}
	a.q.Isolated = run.OnTrial()
	if a.q.Isolated {
		a.trace("trial", string(outcome.CrashSuspect))
	}
	v, _ := a.r.Views.Get(a.server)
	boot := v.BootID
	err = a.send(ctx, false)
	if err == nil {
		g.Succeeded(run)
		return nil
	}
	if a.serverSurvived(ctx, err, boot) {
		g.NotRun(run)
		return err
	}
	a.crashed = true
	a.trace("crash", string(outcome.From(err).Reason))
	g.Crashed(context.WithoutCancel(ctx), run, boot)
	return err
}

// serverSurvived reports whether the server survived a failed attempt. After a
// broken connection it queries the server for its boot ID.
func (a *attempt) serverSurvived(ctx context.Context, err error, boot string) bool {
	if _, isSinkError := errors.AsType[*engines.SinkError](err); isSinkError {
		return true
	}
	e := outcome.From(err)
	if e.Reason != outcome.BackendLost && e.Reason != outcome.PeerLost {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	bootNow, err := a.r.BootID(ctx, a.server)
	if err != nil {
		a.r.unresponsive(a.server)
	}
	return err == nil && (boot == "" || bootNow == boot)
}

// retryBusy excludes a server on which another trial runs, and refuses a marked
// request after maxBusyAttempts such servers.
func (a *attempt) retryBusy(ctx context.Context) (bool, error) {
	a.exclude[a.server] = true
	if a.freeAttempts++; a.freeAttempts > maxBusyAttempts {
		return false, a.callerError(outcome.Refuse(outcome.CrashSuspect, "no server is free for a trial", busyRetryAfter))
	}
	return true, a.pause(ctx, a.freeAttempts+1)
}

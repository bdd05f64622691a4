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
	probeTimeout = 300 * time.Millisecond
	busyRetry    = time.Second
)

// Guard decides which requests that may crash servers run; *suspects.Guard is
// one.
type Guard interface {
	Begin(ctx context.Context, fp suspect.Fingerprint, server string, own bool) (suspects.Run, error)
	Succeeded(r suspects.Run)
	NotRun(r suspects.Run)
	Crashed(ctx context.Context, r suspects.Run, bootID string)
}

// guarded sends the request if the guard allows it, and tells the guard how it
// ended.
func (a *attempt) guarded(ctx context.Context) error {
	g := a.r.Guard
	run, err := g.Begin(ctx, a.q.Fingerprint, a.server, a.crashed)
	if err != nil {
		return err
	}
	a.q.Isolated = run.OnTrial()
	if a.q.Isolated {
		a.note("trial", string(outcome.CrashSuspect))
	}
	v, _ := a.r.Views.Get(a.server)
	boot := v.BootID
	err = a.send(ctx, false)
	if err == nil {
		g.Succeeded(run)
		return nil
	}
	if a.lives(ctx, err, boot) {
		g.NotRun(run)
		return err
	}
	a.crashed = true
	a.note("crash", string(outcome.From(err).Reason))
	g.Crashed(context.WithoutCancel(ctx), run, boot)
	return err
}

// lives tells whether the server outlived a failed attempt. Whether it did
// after its connection broke is found out by asking it.
func (a *attempt) lives(ctx context.Context, err error, boot string) bool {
	if _, gone := errors.AsType[*engines.SinkError](err); gone {
		return true
	}
	e := outcome.From(err)
	if e.Reason != outcome.BackendLost && e.Reason != outcome.PeerLost {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	now, err := a.r.Boot(ctx, a.server)
	if err != nil {
		a.r.lost(a.server)
	}
	return err == nil && (boot == "" || now == boot)
}

// busy refuses a marked request that finds no server free of others.
func (a *attempt) busy(ctx context.Context) (bool, error) {
	a.exclude[a.server] = true
	if a.free++; a.free > busyAttempts {
		return false, a.failed(outcome.Refuse(outcome.CrashSuspect, "no server is free for a trial", busyRetry))
	}
	return true, a.pause(ctx, a.free+1)
}

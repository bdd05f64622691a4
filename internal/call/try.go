package call

import (
	"context"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
	"guavapaddle/core/retry"
	"guavapaddle/core/suspect"
	"guavapaddle/internal/suspects"
)

const (
	// crashWindow is the time within which losses of calls at a server that
	// takes no connections count as one crash: plain services have no boot id.
	crashWindow = 10 * time.Minute
	// probeTimeout bounds the probe of a server that lost a call.
	probeTimeout = 300 * time.Millisecond
	// busyRetryAfter is when a marked request may come back that found every
	// server with a trial on it.
	busyRetryAfter = 2 * time.Second
	// attemptPart divides the time left: an attempt that is not the last gets
	// this part of it, so that a silent server leaves time for another.
	attemptPart = 2
)

type (
	// try is one request on its way through its attempts.
	try struct {
		c       *Caller
		r       Request
		fp      suspect.Fingerprint
		sole    bool           // not repeatable and without a key: sent once
		n       int            // attempts made
		avoid   []string       // servers that failed
		crashed bool           // an attempt crashed its server
		ran     *outcome.Error // of the last attempt that may have run
	}

	// place is a picked server for one attempt.
	place struct {
		server config.BackendServer
		run    suspects.Run
		done   func(*outcome.Error)
	}
)

// run sends t until an attempt is answered or none is left. Its error is that
// of the last attempt that may have run, or of the last if none did: the whole
// is not run only if no attempt was.
func (t *try) run(ctx context.Context) (Answer, error) {
	for {
		t.n++
		a, e := t.attempt(ctx)
		if e == nil {
			return a, nil
		}
		if e.Outcome != outcome.RefusedNotRun {
			t.ran = e
		}
		v := t.judge(ctx, e)
		t.c.Metrics.verdict(v)
		if v.Action == retry.Retry && t.wait(ctx, v) {
			continue
		}
		if t.ran != nil {
			return Answer{}, t.ran
		}
		return Answer{}, e
	}
}

// attempt sends t once.
func (t *try) attempt(ctx context.Context) (Answer, *outcome.Error) {
	p, e := t.pick(ctx)
	if e != nil {
		return Answer{}, e
	}
	if ctx.Err() != nil {
		e = ended(ctx)
		p.done(e)
		t.tell(ctx, p, e)
		return Answer{}, e
	}
	send, cancel := t.bound(ctx)
	a, err := t.c.Backend.Send(send, p.server, t.r)
	cancel()
	e = outcome.From(err)
	t.note(p.server.Name, e)
	p.done(e)
	t.tell(ctx, p, e)
	if e != nil {
		t.avoid = append(t.avoid, p.server.Name)
		return Answer{}, e
	}
	if t.n == 1 {
		t.c.succeeded()
	}
	a.Server = p.server.Name
	return a, nil
}

// note tells how an attempt at a server ended.
func (t *try) note(server string, e *outcome.Error) {
	fields := []zap.Field{zap.String("server", server), zap.Int("attempt", t.n)}
	if e == nil {
		fields = append(fields, zap.String("outcome", string(outcome.Done)))
	} else {
		fields = append(fields, zap.String("outcome", string(e.Outcome)), zap.String("reason", string(e.Reason)))
	}
	t.c.Note(t.r.RequestID, "sent", fields...)
}

// pick picks a server on which t may run.
func (t *try) pick(ctx context.Context) (place, *outcome.Error) {
	avoid := slices.Clone(t.avoid)
	busy := map[string]bool{}
	for {
		s, done, found := t.c.Servers.Pick(t.r.Service, avoid)
		if !found {
			return place{}, outcome.Refuse(outcome.NoServer, t.r.Service, retryAfterNoServer)
		}
		p := place{server: s, done: done}
		if t.c.Suspects == nil {
			return p, nil
		}
		if busy[s.Name] {
			e := outcome.Refuse(outcome.CrashSuspect, "every server runs another trial", busyRetryAfter)
			done(e)
			return place{}, e
		}
		run, err := t.c.Suspects.Begin(ctx, t.fp, s.Name, t.crashed)
		if err == nil {
			p.run = run
			return p, nil
		}
		if !suspects.IsBusy(err) {
			e := outcome.From(err)
			done(e)
			return place{}, e
		}
		done(outcome.Refuse(outcome.CrashSuspect, err.Error(), busyRetryAfter))
		busy[s.Name] = true
		avoid = append(avoid, s.Name)
	}
}

// bound returns the context of one attempt.
func (t *try) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	most := t.c.Retry.Attempts
	if most == 0 {
		most = retry.DefaultAttempts
	}
	if !t.r.Kind.Repeatable || t.n >= most {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(t.r.Deadline)/attemptPart)
}

// tell tells the suspects how an attempt at p ended. A lost call counts as a
// crash if its server takes no connections any more.
func (t *try) tell(ctx context.Context, p place, e *outcome.Error) {
	switch {
	case t.c.Suspects == nil:
	case e == nil:
		t.c.Suspects.Succeeded(p.run)
	case e.Reason == outcome.BackendLost && !t.alive(ctx, p.server):
		t.crashed = true
		t.c.Suspects.Crashed(ctx, p.run, "window/"+strconv.FormatInt(time.Now().Unix()/int64(crashWindow.Seconds()), 10))
	default:
		t.c.Suspects.NotRun(p.run)
	}
}

// alive probes a server.
func (t *try) alive(ctx context.Context, s config.BackendServer) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	return t.c.Prober.Alive(ctx, s)
}

// judge decides whether t is sent again after e.
func (t *try) judge(ctx context.Context, e *outcome.Error) retry.Verdict {
	if t.sole && e.Reason == outcome.BackendRefused {
		return retry.Verdict{Action: retry.Stop, Reason: retry.NoKey}
	}
	v := t.c.Retry.Decide(retry.Failure{
		Attempt: t.n, Err: e, Repeatable: t.r.Kind.Repeatable, Remaining: time.Until(t.r.Deadline),
	})
	if v.Action == retry.Retry && ctx.Err() != nil {
		return retry.Verdict{Action: retry.Stop, Reason: retry.NoTime}
	}
	if v.Action == retry.Retry && !t.c.take() {
		return retry.BudgetExhausted()
	}
	return v
}

// wait waits before the next attempt and returns false if ctx ended. An attempt
// that did not run is followed by the next at once, on another server.
func (t *try) wait(ctx context.Context, v retry.Verdict) bool {
	if v.Reason == retry.NotRun {
		return true
	}
	timer := time.NewTimer(t.c.backoff(t.n + 1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// ended returns the refusal of a request whose context ended before it was sent.
func ended(ctx context.Context) *outcome.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.Refuse(outcome.DeadlinePassed, "", 0)
	}
	return outcome.Refuse(outcome.CallerGone, "", 0)
}

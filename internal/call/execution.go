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
	// crashWindow is the period within which lost calls at a server that accepts
	// no connections count as one crash. Plain services have no boot ID that
	// would tell two crashes apart.
	crashWindow = 10 * time.Minute
	// probeTimeout bounds the probe of a server that lost a call.
	probeTimeout = 300 * time.Millisecond
	// busyRetryAfter is the retry delay of a marked request that found a trial
	// running on every server.
	busyRetryAfter = 2 * time.Second
	// attemptDivisor divides the remaining time to get the timeout of every
	// attempt but the last, so that an unresponsive server leaves time for
	// another.
	attemptDivisor = 2
)

type (
	// execution is the state of one request across its attempts.
	execution struct {
		c          *Caller
		r          Request
		fp         suspect.Fingerprint
		sendOnce   bool           // not repeatable and without a key
		attempts   int            // attempts made
		avoid      []string       // servers that failed this request
		crashed    bool           // an attempt crashed a server
		startedErr *outcome.Error // error of the last attempt that may have run
	}

	// target is the server picked for one attempt.
	target struct {
		server config.BackendServer
		run    suspects.Run
		done   func(*outcome.Error)
	}
)

// run makes attempts until one succeeds or no further one is allowed. It returns
// the error of the last attempt that may have run, or that of the last attempt
// if none did: the request counts as not run only if no attempt ran.
func (t *execution) run(ctx context.Context) (Response, error) {
	for {
		t.attempts++
		a, e := t.attempt(ctx)
		if e == nil {
			return a, nil
		}
		if e.Outcome != outcome.RefusedNotRun {
			t.startedErr = e
		}
		v := t.decide(ctx, e)
		t.c.Metrics.countVerdict(v)
		if v.Action == retry.Retry && t.wait(ctx, v) {
			continue
		}
		if t.startedErr != nil {
			return Response{}, t.startedErr
		}
		return Response{}, e
	}
}

// attempt sends the request once.
func (t *execution) attempt(ctx context.Context) (Response, *outcome.Error) {
	p, e := t.pick(ctx)
	if e != nil {
		return Response{}, e
	}
	if ctx.Err() != nil {
		e = contextRefusal(ctx)
		p.done(e)
		t.reportToSuspects(ctx, p, e)
		return Response{}, e
	}
	send, cancel := t.attemptContext(ctx)
	a, err := t.c.Backend.Send(send, p.server, t.r)
	cancel()
	e = outcome.From(err)
	t.traceAttempt(p.server.Name, e)
	p.done(e)
	t.reportToSuspects(ctx, p, e)
	if e != nil {
		t.avoid = append(t.avoid, p.server.Name)
		return Response{}, e
	}
	if t.attempts == 1 {
		t.c.recordSuccess()
	}
	a.Server = p.server.Name
	return a, nil
}

// traceAttempt records the end of an attempt at a server as a trace event.
func (t *execution) traceAttempt(server string, e *outcome.Error) {
	fields := []zap.Field{zap.String("server", server), zap.Int("attempt", t.attempts)}
	if e == nil {
		fields = append(fields, zap.String("outcome", string(outcome.Done)))
	} else {
		fields = append(fields, zap.String("outcome", string(e.Outcome)), zap.String("reason", string(e.Reason)))
	}
	t.c.Trace(t.r.RequestID, "sent", fields...)
}

// pick picks a server on which the request may run.
func (t *execution) pick(ctx context.Context) (target, *outcome.Error) {
	avoid := slices.Clone(t.avoid)
	busy := map[string]bool{}
	for {
		s, done, found := t.c.Servers.Pick(t.r.Service, avoid)
		if !found {
			return target{}, outcome.Refuse(outcome.NoServer, t.r.Service, retryAfterNoServer)
		}
		p := target{server: s, done: done}
		if t.c.Suspects == nil {
			return p, nil
		}
		if busy[s.Name] {
			e := outcome.Refuse(outcome.CrashSuspect, "every server runs another trial", busyRetryAfter)
			done(e)
			return target{}, e
		}
		run, err := t.c.Suspects.Begin(ctx, t.fp, s.Name, t.crashed)
		if err == nil {
			p.run = run
			return p, nil
		}
		if !suspects.IsBusy(err) {
			e := outcome.From(err)
			done(e)
			return target{}, e
		}
		done(outcome.Refuse(outcome.CrashSuspect, err.Error(), busyRetryAfter))
		busy[s.Name] = true
		avoid = append(avoid, s.Name)
	}
}

// attemptContext returns the context of one attempt.
func (t *execution) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	maxAttempts := t.c.Retry.Attempts
	if maxAttempts == 0 {
		maxAttempts = retry.DefaultAttempts
	}
	if !t.r.Kind.Repeatable || t.attempts >= maxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(t.r.Deadline)/attemptDivisor)
}

// reportToSuspects reports the end of an attempt at p to Suspects. A lost
// call counts as a crash if its server no longer accepts connections.
func (t *execution) reportToSuspects(ctx context.Context, p target, e *outcome.Error) {
	switch {
	case t.c.Suspects == nil:
	case e == nil:
		t.c.Suspects.Succeeded(p.run)
	case e.Reason == outcome.BackendLost && !t.serverAlive(ctx, p.server):
		t.crashed = true
		t.c.Suspects.Crashed(ctx, p.run, "window/"+strconv.FormatInt(time.Now().Unix()/int64(crashWindow.Seconds()), 10))
	default:
		t.c.Suspects.NotRun(p.run)
	}
}

// serverAlive probes a server.
func (t *execution) serverAlive(ctx context.Context, s config.BackendServer) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	return t.c.Prober.Alive(ctx, s)
}

// decide decides whether the request is sent again after e.
func (t *execution) decide(ctx context.Context, e *outcome.Error) retry.Verdict {
	if t.sendOnce && e.Reason == outcome.BackendRefused {
		return retry.Verdict{Action: retry.Stop, Reason: retry.NoKey}
	}
	v := t.c.Retry.Decide(retry.Failure{
		Attempt: t.attempts, Err: e, Repeatable: t.r.Kind.Repeatable, Remaining: time.Until(t.r.Deadline),
	})
	if v.Action == retry.Retry && ctx.Err() != nil {
		return retry.Verdict{Action: retry.Stop, Reason: retry.NoTime}
	}
	if v.Action == retry.Retry && !t.c.takeRetry() {
		return retry.BudgetExhausted()
	}
	return v
}

// wait waits before the next attempt and returns false if ctx ended. After an
// attempt that did not run, the next one follows immediately on another server.
func (t *execution) wait(ctx context.Context, v retry.Verdict) bool {
	if v.Reason == retry.NotRun {
		return true
	}
	timer := time.NewTimer(t.c.backoff(t.attempts + 1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// contextRefusal returns the refusal of a request whose context ended before it
// was sent.
func contextRefusal(ctx context.Context) *outcome.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.Refuse(outcome.DeadlinePassed, "", 0)
	}
	return outcome.Refuse(outcome.CallerGone, "", 0)
}

package call

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/claim"
	"guavapaddle/core/outcome"
	"guavapaddle/core/retry"
	"guavapaddle/core/suspect"
	"guavapaddle/internal/claims"
)

const (
	// DefaultDeadline applies if neither the request nor its kind has a
	// deadline.
	DefaultDeadline = 30 * time.Second
	// retryAfterNoServer is the retry delay given to callers when no server is
	// available.
	retryAfterNoServer = time.Second
)

type (
	// Caller executes calls. Its exported fields are set before the first call.
	// It is safe for concurrent use.
	Caller struct {
		Servers  Servers
		Backend  Backend
		Claims   Claims
		Suspects Suspects // nil disables the handling of crash suspects
		Prober   Prober   // required if Suspects is set
		Retry    retry.Policy
		Budget   retry.Budget // set before the first call, then guarded by the Caller
		Seed     uint64       // seeds the jitter between attempts
		Log      *zap.Logger  // may be nil
		Metrics  *Metrics     // may be nil
		// Trace receives the trace events of a call for explain; it may be nil.
		Trace func(requestID, event string, fields ...zap.Field)

		once sync.Once
		mu   sync.Mutex
		rand *rand.Rand
	}
)

// Do executes r and returns the whole response of the backend server, or the
// stored response of an earlier call with the same key. Every error is an
// *outcome.Error. A call that is not repeatable continues after ctx has ended,
// so that its response is stored when the caller retries.
func (c *Caller) Do(ctx context.Context, r Request) (Response, error) {
	c.once.Do(c.init)
	now := time.Now()
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(DefaultDeadline)
		if r.Kind.DeadlineMS > 0 {
			r.Deadline = now.Add(time.Duration(r.Kind.DeadlineMS) * time.Millisecond)
		}
	}
	a, err := c.do(ctx, r)
	e := outcome.From(err)
	c.Metrics.countCall(r, e)
	if e == nil {
		return a, nil
	}
	c.Log.Info("call failed", zap.String("request-id", r.RequestID), zap.String("service", r.Service),
		zap.String("outcome", string(e.Outcome)), zap.String("reason", string(e.Reason)), zap.String("detail", e.Detail))
	return Response{}, e
}

// do executes r as its kind requires.
func (c *Caller) do(ctx context.Context, r Request) (Response, error) {
	if !time.Now().Before(r.Deadline) {
		return Response{}, outcome.Refuse(outcome.DeadlinePassed, "", 0)
	}
	keyed := !r.Kind.Repeatable && r.IdempotencyKey != ""
	if !r.Kind.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	t := &execution{c: c, r: r, sendOnce: !r.Kind.Repeatable && !keyed,
		fp: suspect.FingerprintOf(r.Team, r.Service+" "+r.Method+" "+r.Path, r.Body)}
	if keyed {
		return c.runClaimed(ctx, t)
	}
	return t.run(ctx)
}

// runClaimed executes a call that runs at most once per key.
func (c *Caller) runClaimed(ctx context.Context, t *execution) (Response, error) {
	r := t.r
	row := claim.Key(r.Team, r.IdempotencyKey)
	g, err := c.Claims.Claim(ctx, claims.Call{
		Team: r.Team, Key: r.IdempotencyKey, RequestID: r.RequestID, Deadline: r.Deadline,
		BodyHash: claim.BodyHash(r.Service, r.Method, r.Path, r.Body),
	})
	if err != nil {
		e := outcome.From(err)
		c.Trace(r.RequestID, "claim-refused", zap.String("row", row), zap.String("outcome", string(e.Outcome)),
			zap.String("reason", string(e.Reason)), zap.String("detail", e.Detail))
		return Response{}, err
	}
	if g.Stored != nil {
		c.Trace(r.RequestID, "stored-answer", zap.String("row", row), zap.Int("status", g.Stored.Status))
		return Response{Status: g.Stored.Status, Header: http.Header(g.Stored.Header), Body: g.Stored.Body, Stored: true}, nil
	}
	c.Trace(r.RequestID, "claimed", zap.String("row", row), zap.Uint64("revision", g.Held.Revision),
		zap.String("attempt", g.Held.Claim.Attempt))
	a, err := t.run(ctx)
	end := claim.Done
	switch e := outcome.From(err); {
	case e == nil:
		c.Claims.Finish(g.Held, claim.Answer{Status: a.Status, Header: a.Header, Body: a.Body})
	case e.Outcome == outcome.RefusedNotRun:
		end = claim.Released
		c.Claims.Release(g.Held)
	default:
		end = claim.Unknown
		c.Claims.MarkUnknown(g.Held, e.Reason)
	}
	c.Trace(r.RequestID, "claim-ended", zap.String("row", row), zap.String("attempt", g.Held.Claim.Attempt),
		zap.String("state", string(end)))
	return a, err
}

// init sets defaults.
func (c *Caller) init() {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Trace == nil {
		c.Trace = func(string, string, ...zap.Field) {}
	}
	c.rand = rand.New(rand.NewPCG(c.Seed, c.Seed))
}

// SetRetryShare sets how many retries each successful first attempt allows.
func (c *Caller) SetRetryShare(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Budget.PerSuccess = share
}

// recordSuccess adds a successful first attempt to the retry budget.
func (c *Caller) recordSuccess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Budget.Success()
}

// takeRetry takes a retry from the budget and reports whether one was left.
func (c *Caller) takeRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Budget.Take(time.Now())
}

// backoff returns the delay before an attempt.
func (c *Caller) backoff(attempt int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Retry.Backoff(attempt, c.rand)
}

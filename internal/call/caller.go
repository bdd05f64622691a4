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
	// DefaultDeadline is used if neither the request nor its kind has one.
	DefaultDeadline = 30 * time.Second
	// retryAfterNoServer is when a caller may come back if no server is there.
	retryAfterNoServer = time.Second
)

type (
	// Caller carries out calls. Its exported fields are set before the first
	// call. It is safe for concurrent use.
	Caller struct {
		Servers  Servers
		Backend  Backend
		Claims   Claims
		Suspects Suspects // may be nil: no request is suspected
		Prober   Prober   // must be set if Suspects is
		Retry    retry.Policy
		Budget   retry.Budget // set before the first call, then guarded by the Caller
		Seed     uint64       // of the jitter between attempts
		Log      *zap.Logger  // may be nil
		Metrics  *Metrics     // may be nil
		// Note is told what decided about a call, for explain; it may be nil.
		Note func(requestID, event string, fields ...zap.Field)

		once sync.Once
		mu   sync.Mutex
		rand *rand.Rand
	}
)

// Do carries out r and returns the whole answer of the backend server, or the
// stored one of an earlier call with the same key. Every error is an
// *outcome.Error. A call that is not repeatable goes on after ctx has ended, so
// that its answer is there when its caller asks again.
func (c *Caller) Do(ctx context.Context, r Request) (Answer, error) {
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
	c.Metrics.call(r, e)
	if e == nil {
		return a, nil
	}
	c.Log.Info("call not done", zap.String("request-id", r.RequestID), zap.String("service", r.Service),
		zap.String("outcome", string(e.Outcome)), zap.String("reason", string(e.Reason)), zap.String("detail", e.Detail))
	return Answer{}, e
}

// do treats r as its kind demands.
func (c *Caller) do(ctx context.Context, r Request) (Answer, error) {
	if !time.Now().Before(r.Deadline) {
		return Answer{}, outcome.Refuse(outcome.DeadlinePassed, "", 0)
	}
	keyed := !r.Kind.Repeatable && r.IdempotencyKey != ""
	if !r.Kind.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	t := &try{c: c, r: r, sole: !r.Kind.Repeatable && !keyed,
		fp: suspect.FingerprintOf(r.Team, r.Service+" "+r.Method+" "+r.Path, r.Body)}
	if keyed {
		return c.claimed(ctx, t)
	}
	return t.run(ctx)
}

// claimed carries out a call that runs at most once under its key.
func (c *Caller) claimed(ctx context.Context, t *try) (Answer, error) {
	r := t.r
	row := claim.Key(r.Team, r.IdempotencyKey)
	g, err := c.Claims.Claim(ctx, claims.Call{
		Team: r.Team, Key: r.IdempotencyKey, RequestID: r.RequestID, Deadline: r.Deadline,
		BodyHash: claim.BodyHash(r.Service, r.Method, r.Path, r.Body),
	})
	if err != nil {
		e := outcome.From(err)
		c.Note(r.RequestID, "claim-refused", zap.String("row", row), zap.String("outcome", string(e.Outcome)),
			zap.String("reason", string(e.Reason)), zap.String("detail", e.Detail))
		return Answer{}, err
	}
	if g.Stored != nil {
		c.Note(r.RequestID, "stored-answer", zap.String("row", row), zap.Int("status", g.Stored.Status))
		return Answer{Status: g.Stored.Status, Header: http.Header(g.Stored.Header), Body: g.Stored.Body, Stored: true}, nil
	}
	c.Note(r.RequestID, "claimed", zap.String("row", row), zap.Uint64("revision", g.Held.Revision),
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
	c.Note(r.RequestID, "claim-ended", zap.String("row", row), zap.String("attempt", g.Held.Claim.Attempt),
		zap.String("state", string(end)))
	return a, err
}

// init puts the defaults in place.
func (c *Caller) init() {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Note == nil {
		c.Note = func(string, string, ...zap.Field) {}
	}
	c.rand = rand.New(rand.NewPCG(c.Seed, c.Seed))
}

// SetRetryShare sets how many retries each first attempt that succeeded allows.
func (c *Caller) SetRetryShare(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Budget.PerSuccess = share
}

// succeeded tells the budget of a first attempt that was answered.
func (c *Caller) succeeded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Budget.Success()
}

// take takes a retry from the budget.
func (c *Caller) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Budget.Take(time.Now())
}

// backoff returns the wait before an attempt.
func (c *Caller) backoff(attempt int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Retry.Backoff(attempt, c.rand)
}

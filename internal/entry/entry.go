// Package entry handles the requests of callers at a node. It authenticates the
// caller, resolves the model or service, applies limits, and passes the request
// to the router of generations or to the plain services.
//
// # Usage
//
//	e := &entry.Entry{Index: index, Router: router, Calls: calls, ...}
//	server := &caller.Server{Handler: e}
package entry

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"guavapaddle/core/config"
	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/core/suspect"
	"guavapaddle/internal/call"
	"guavapaddle/internal/dispatch"
	"guavapaddle/internal/generate"
	"guavapaddle/internal/metrics"
	"guavapaddle/io/caller"
)

const (
	// noConfigRetry is the retry delay given to callers while the node has no
	// configuration that it may rely on.
	noConfigRetry = time.Second
	// prefixBytes is the length of the prompt's prefix that is hashed to find
	// servers with a matching cache.
	prefixBytes = 256
)

type (
	// Router runs generations.
	Router interface {
		Do(ctx context.Context, q generate.Request, emit forward.Emit) error
	}

	// Calls runs calls of plain services.
	Calls interface {
		Do(ctx context.Context, r call.Request) (call.Response, error)
	}

	// Limits admits or refuses requests.
	Limits interface {
		// Admit returns a function that settles the actual usage of the request,
		// or false and the retry delay.
		Admit(c config.Team, k config.Kind, estimate float64) (settle func(actual float64), after time.Duration, ok bool)
	}

	// Demand records the demand of callers.
	Demand interface {
		Requested(name string, u config.Urgency)
		ServiceTime(name string, seconds float64)
	}

	// Entry handles the requests of callers. Its fields are set before the first
	// request.
	Entry struct {
		Index   func() *config.Index // nil if there is no configuration
		Fresh   func() bool          // reports whether the configuration may be relied on
		Router  Router
		Calls   Calls
		Claims  Claims
		Limits  Limits
		Demand  Demand
		Metrics *metrics.Requests
		Log     *zap.Logger
		Trace   func(requestID, event string, fields ...zap.Field) // records a trace event for explain
	}

	// request is the state of a running request.
	request struct {
		team     config.Team
		kind     config.Kind
		deadline time.Time
		started  time.Time
	}
)

// Models implements caller.Handler.
func (e *Entry) Models(bearer string) ([]string, error) {
	x, c, err := e.authenticate(bearer)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, i := range x.Items() {
		if x.Allowed(c.Name, i.Name) {
			names = append(names, i.Name)
		}
	}
	return names, nil
}

// authenticate returns the configuration in force and the team of a key.
func (e *Entry) authenticate(bearer string) (*config.Index, config.Team, error) {
	x := e.Index()
	if x == nil || !e.Fresh() {
		return nil, config.Team{}, outcome.Refuse(outcome.NoConfig, "", noConfigRetry)
	}
	c, ok := x.TeamByKey(bearer)
	if !ok {
		return nil, c, outcome.Refuse(outcome.Unauthorized, "", 0)
	}
	return x, c, nil
}

// requestKind returns the kind that a request names, or the team's default kind.
func requestKind(x *config.Index, c config.Team, name string) (config.Kind, error) {
	if name == "" {
		name = c.DefaultKind
	}
	k, ok := x.Kind(name)
	if !ok || !x.AllowedKind(c.Name, name) {
		return k, outcome.Refuse(outcome.BadRequest, fmt.Sprintf("kind %q is not declared for the team", name), 0)
	}
	return k, nil
}

// newRequest returns the state of a request. Its deadline is that of the kind,
// or the requested one if that is shorter.
func newRequest(c config.Team, k config.Kind, requested time.Duration) request {
	r := request{team: c, kind: k, started: time.Now()}
	d := time.Duration(k.DeadlineMS) * time.Millisecond
	if requested > 0 && requested < d {
		d = requested
	}
	r.deadline = r.started.Add(d)
	return r
}

// Generate implements caller.Handler.
func (e *Entry) Generate(ctx context.Context, g caller.Generation, emit forward.Emit) error {
	x, c, err := e.authenticate(g.Bearer)
	if err != nil {
		return e.recordRefusal("", err)
	}
	k, err := requestKind(x, c, g.Kind)
	if err != nil {
		return e.recordRefusal("", err)
	}
	item, ok := x.Resolve(g.Model)
	if !ok || !x.Allowed(c.Name, g.Model) {
		return e.recordRefusal(k.Name, outcome.Refuse(outcome.NotFound, fmt.Sprintf("model %q", g.Model), 0))
	}
	r := newRequest(c, k, g.Deadline)
	e.Metrics.RequestStarted()
	e.Demand.Requested(g.Model, k.Urgency)
	q := generate.Request{
		ID:         g.RequestID,
		Team:       c.Name,
		Kind:       k,
		Item:       item,
		Prompt:     g.Prompt,
		MaxTokens:  g.MaxTokens,
		Deadline:   r.deadline,
		PrefixHash: prefixHash(item.String(), g.Prompt),
		Resume:     g.Resume,
		Buffered:   !g.Stream,
	}
	err = e.generateAdmitted(ctx, g, q, r, emit)
	e.recordEnd(g.RequestID, r, err, zap.String("model", g.Model))
	return err
}

// generateAdmitted applies limits and runs a generation.
func (e *Entry) generateAdmitted(ctx context.Context, g caller.Generation, q generate.Request, r request, emit forward.Emit) error {
	settle, after, ok := e.Limits.Admit(r.team, r.kind, float64(q.MaxTokens))
	if !ok {
		return outcome.Refuse(outcome.TeamLimit, r.team.Name, after)
	}
	tokens := 0
	defer func() { settle(float64(tokens)) }()
	var firstToken time.Time
	q.Started = func() {
		firstToken = time.Now()
		e.Metrics.FirstToken(r.kind.Name, firstToken.Sub(r.started))
	}
	q.Fingerprint = suspect.FingerprintOf(r.team.Name, g.Model, g.Body)
	err := e.runGeneration(ctx, g, q, func(reply forward.Reply, at forward.ResumeToken) error {
		tokens++
		return emit(reply, at)
	})
	if err == nil && q.Resume == nil && !firstToken.IsZero() {
		e.Demand.ServiceTime(g.Model, time.Since(firstToken).Seconds())
	}
	return err
}

// runGeneration runs a generation, at most once per key if the kind is not
// repeatable and the caller sent a key.
func (e *Entry) runGeneration(ctx context.Context, g caller.Generation, q generate.Request, emit forward.Emit) error {
	if !q.Kind.Repeatable && g.Key != "" && g.Resume == nil {
		return e.generateOnce(ctx, g, q, emit)
	}
	ctx, stop := cancelIfUnstreamed(ctx, g.Stream)
	defer stop()
	return e.Router.Do(ctx, q, emit)
}

// cancelIfUnstreamed returns a context that is cancelled with
// dispatch.ErrCancelled when ctx ends, if the response is not streamed: the
// caller of such a request can't return for the rest of the response.
func cancelIfUnstreamed(ctx context.Context, stream bool) (context.Context, func()) {
	if stream {
		return ctx, func() {}
	}
	out, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { cancel(dispatch.ErrCancelled) })
	return out, func() {
		stop()
		cancel(nil)
	}
}

// Call implements caller.Handler.
func (e *Entry) Call(ctx context.Context, sc caller.ServiceCall) (caller.ServiceResponse, error) {
	x, c, err := e.authenticate(sc.Bearer)
	if err != nil {
		return caller.ServiceResponse{}, e.recordRefusal("", err)
	}
	path, err := url.PathUnescape(sc.Path)
	if err != nil || strings.Contains(path+"/", "/../") {
		return caller.ServiceResponse{}, e.recordRefusal("", outcome.Refuse(outcome.BadRequest, "path", 0))
	}
	s, ok := x.Service(path)
	if !ok || !x.AllowedService(c.Name, s.Name) {
		return caller.ServiceResponse{}, e.recordRefusal("", outcome.Refuse(outcome.NotFound, "path "+path, 0))
	}
	k, ok := x.CallKind(s.Name, sc.Method, path)
	if !ok {
		return caller.ServiceResponse{}, e.recordRefusal("", outcome.Refuse(outcome.NotFound, sc.Method+" "+path, 0))
	}
	r := newRequest(c, k, sc.Deadline)
	e.Metrics.RequestStarted()
	a, err := e.call(ctx, sc, s, r)
	e.recordEnd(sc.RequestID, r, err, zap.String("service", s.Name), zap.String("server", a.Server))
	return caller.ServiceResponse{Status: a.Status, Header: a.Header, Body: a.Body, Stored: a.Stored}, err
}

// call applies limits and runs a call of a plain service.
func (e *Entry) call(ctx context.Context, sc caller.ServiceCall, s config.PlainService, r request) (call.Response, error) {
	settle, after, ok := e.Limits.Admit(r.team, r.kind, 1)
	if !ok {
		return call.Response{}, outcome.Refuse(outcome.TeamLimit, r.team.Name, after)
	}
	defer settle(1)
	path := sc.Path
	if sc.Query != "" {
		path += "?" + sc.Query
	}
	return e.Calls.Do(ctx, call.Request{
		Team:           r.team.Name,
		Kind:           r.kind,
		Service:        s.Name,
		Method:         sc.Method,
		Path:           path,
		Header:         forwardedHeaders(sc.Header),
		Body:           sc.Body,
		IdempotencyKey: sc.Key,
		RequestID:      sc.RequestID,
		Deadline:       r.deadline,
	})
}

// RequestEnded implements caller.Handler.
func (e *Entry) RequestEnded(requestID string, started time.Time, err error) {
	e.Metrics.CountAnswer(err)
	f := outcome.From(err)
	if f == nil {
		e.Trace(requestID, "answered", zap.String("outcome", string(outcome.Done)))
		return
	}
	e.Trace(requestID, "answered", zap.String("outcome", string(f.Outcome)), zap.String("reason", string(f.Reason)),
		zap.Duration("took", time.Since(started)))
}

// recordRefusal counts a request that ended before its kind was known.
func (e *Entry) recordRefusal(kind string, err error) error {
	e.Metrics.RequestStarted()
	e.Metrics.RequestEnded(kind, err, 0, false)
	return err
}

// recordEnd counts and logs the end of a request.
func (e *Entry) recordEnd(id string, r request, err error, extra ...zap.Field) {
	now := time.Now()
	took := now.Sub(r.started)
	e.Metrics.RequestEnded(r.kind.Name, err, took, now.After(r.deadline))
	fields := append([]zap.Field{
		zap.String("request-id", id),
		zap.String("team", r.team.Name),
		zap.String("kind", r.kind.Name),
		zap.Int64("took-ms", took.Milliseconds()),
	}, extra...)
	if f := outcome.From(err); f != nil {
		fields = append(fields, zap.String("outcome", string(f.Outcome)), zap.String("reason", string(f.Reason)),
			zap.String("detail", f.Detail))
	} else {
		fields = append(fields, zap.String("outcome", string(outcome.Done)))
	}
	e.Log.Info("request", fields...)
}

// prefixHash returns the hash of the item and the prefix of a prompt, which
// selects servers that may have the prefix cached.
func prefixHash(item, prompt string) uint64 {
	return xxhash.Sum64String(item + "\x00" + prompt[:min(len(prompt), prefixBytes)])
}

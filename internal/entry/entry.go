// Package entry is what a node does for callers: it finds out who calls and
// what for, applies limits, and passes the request on to the router of
// generations or to the plain services.
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
	noConfigRetry = time.Second
	// prefixBytes is how much of a prompt decides which cache it may hit.
	prefixBytes = 256
)

type (
	// Router runs generations.
	Router interface {
		Do(ctx context.Context, q generate.Request, emit forward.Emit) error
	}

	// Calls runs calls of plain services.
	Calls interface {
		Do(ctx context.Context, r call.Request) (call.Answer, error)
	}

	// Limits takes requests on or refuses them.
	Limits interface {
		// Admit returns a function that settles what the request used, or
		// false and when to come back.
		Admit(c config.Team, k config.Kind, estimate float64) (settle func(actual float64), after time.Duration, ok bool)
	}

	// Demand learns what callers ask for.
	Demand interface {
		Asked(name string, u config.Urgency)
		Took(name string, seconds float64)
	}

	// Entry handles the requests of callers. Its fields are set before the
	// first request.
	Entry struct {
		Index   func() *config.Index // nil if there is no configuration
		Fresh   func() bool          // whether the configuration may be relied on
		Router  Router
		Calls   Calls
		Claims  Claims
		Limits  Limits
		Demand  Demand
		Metrics *metrics.Requests
		Log     *zap.Logger
		Note    func(requestID, event string, fields ...zap.Field) // for explain
	}

	// request is what is known of one request while it runs.
	request struct {
		team     config.Team
		kind     config.Kind
		deadline time.Time
		started  time.Time
	}
)

// Models implements caller.Handler.
func (e *Entry) Models(bearer string) ([]string, error) {
	x, c, err := e.who(bearer)
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

// who returns the configuration in force and the team of a key.
func (e *Entry) who(bearer string) (*config.Index, config.Team, error) {
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

// kind returns the kind of a request that names one, or the team's default.
func kind(x *config.Index, c config.Team, name string) (config.Kind, error) {
	if name == "" {
		name = c.DefaultKind
	}
	k, ok := x.Kind(name)
	if !ok || !x.AllowedKind(c.Name, name) {
		return k, outcome.Refuse(outcome.BadRequest, fmt.Sprintf("kind %q is not declared for the team", name), 0)
	}
	return k, nil
}

// begin fixes kind and deadline of a request.
func begin(c config.Team, k config.Kind, asked time.Duration) request {
	r := request{team: c, kind: k, started: time.Now()}
	d := time.Duration(k.DeadlineMS) * time.Millisecond
	if asked > 0 && asked < d {
		d = asked
	}
	r.deadline = r.started.Add(d)
	return r
}

// Generate implements caller.Handler.
func (e *Entry) Generate(ctx context.Context, g caller.Generation, emit forward.Emit) error {
	x, c, err := e.who(g.Bearer)
	if err != nil {
		return e.refused("", err)
	}
	k, err := kind(x, c, g.Kind)
	if err != nil {
		return e.refused("", err)
	}
	item, ok := x.Resolve(g.Model)
	if !ok || !x.Allowed(c.Name, g.Model) {
		return e.refused(k.Name, outcome.Refuse(outcome.NotFound, fmt.Sprintf("model %q", g.Model), 0))
	}
	r := begin(c, k, g.Deadline)
	e.Metrics.Begin()
	e.Demand.Asked(g.Model, k.Urgency)
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
	err = e.admitted(ctx, g, q, r, emit)
	e.ended(g.RequestID, r, err, zap.String("model", g.Model))
	return err
}

// admitted applies limits and runs a generation.
func (e *Entry) admitted(ctx context.Context, g caller.Generation, q generate.Request, r request, emit forward.Emit) error {
	settle, after, ok := e.Limits.Admit(r.team, r.kind, float64(q.MaxTokens))
	if !ok {
		return outcome.Refuse(outcome.TeamLimit, r.team.Name, after)
	}
	tokens := 0
	defer func() { settle(float64(tokens)) }()
	var first time.Time
	q.Started = func() {
		first = time.Now()
		e.Metrics.First(r.kind.Name, first.Sub(r.started))
	}
	q.Fingerprint = suspect.FingerprintOf(r.team.Name, g.Model, g.Body)
	err := e.run(ctx, g, q, func(reply forward.Reply, at forward.ResumeToken) error {
		tokens++
		return emit(reply, at)
	})
	if err == nil && q.Resume == nil && !first.IsZero() {
		e.Demand.Took(g.Model, time.Since(first).Seconds())
	}
	return err
}

// run runs a generation, once only if its kind and its caller ask for it.
func (e *Entry) run(ctx context.Context, g caller.Generation, q generate.Request, emit forward.Emit) error {
	if !q.Kind.Repeatable && g.Key != "" && g.Resume == nil {
		return e.once(ctx, g, q, emit)
	}
	ctx, stop := finalWithoutStream(ctx, g.Stream)
	defer stop()
	return e.Router.Do(ctx, q, emit)
}

// finalWithoutStream makes the end of ctx a cancellation for good if the answer
// is not streamed, since a caller can't come back for the rest of it.
func finalWithoutStream(ctx context.Context, stream bool) (context.Context, func()) {
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
func (e *Entry) Call(ctx context.Context, sc caller.ServiceCall) (caller.ServiceAnswer, error) {
	x, c, err := e.who(sc.Bearer)
	if err != nil {
		return caller.ServiceAnswer{}, e.refused("", err)
	}
	path, err := url.PathUnescape(sc.Path)
	if err != nil || strings.Contains(path+"/", "/../") {
		return caller.ServiceAnswer{}, e.refused("", outcome.Refuse(outcome.BadRequest, "path", 0))
	}
	s, ok := x.Service(path)
	if !ok || !x.AllowedService(c.Name, s.Name) {
		return caller.ServiceAnswer{}, e.refused("", outcome.Refuse(outcome.NotFound, "path "+path, 0))
	}
	k, ok := x.CallKind(s.Name, sc.Method, path)
	if !ok {
		return caller.ServiceAnswer{}, e.refused("", outcome.Refuse(outcome.NotFound, sc.Method+" "+path, 0))
	}
	r := begin(c, k, sc.Deadline)
	e.Metrics.Begin()
	a, err := e.call(ctx, sc, s, r)
	e.ended(sc.RequestID, r, err, zap.String("service", s.Name), zap.String("server", a.Server))
	return caller.ServiceAnswer{Status: a.Status, Header: a.Header, Body: a.Body, Stored: a.Stored}, err
}

// call applies limits and runs a call of a plain service.
func (e *Entry) call(ctx context.Context, sc caller.ServiceCall, s config.PlainService, r request) (call.Answer, error) {
	settle, after, ok := e.Limits.Admit(r.team, r.kind, 1)
	if !ok {
		return call.Answer{}, outcome.Refuse(outcome.TeamLimit, r.team.Name, after)
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
		Header:         passedOn(sc.Header),
		Body:           sc.Body,
		IdempotencyKey: sc.Key,
		RequestID:      sc.RequestID,
		Deadline:       r.deadline,
	})
}

// Ended implements caller.Handler.
func (e *Entry) Ended(requestID string, started time.Time, err error) {
	e.Metrics.Answered(err)
	f := outcome.From(err)
	if f == nil {
		e.Note(requestID, "answered", zap.String("outcome", string(outcome.Done)))
		return
	}
	e.Note(requestID, "answered", zap.String("outcome", string(f.Outcome)), zap.String("reason", string(f.Reason)),
		zap.Duration("took", time.Since(started)))
}

// refused counts a request that ended before its kind was known.
func (e *Entry) refused(kind string, err error) error {
	e.Metrics.Begin()
	e.Metrics.End(kind, err, 0, false)
	return err
}

// ended counts and logs the end of a request.
func (e *Entry) ended(id string, r request, err error, more ...zap.Field) {
	now := time.Now()
	took := now.Sub(r.started)
	e.Metrics.End(r.kind.Name, err, took, now.After(r.deadline))
	fields := append([]zap.Field{
		zap.String("request-id", id),
		zap.String("team", r.team.Name),
		zap.String("kind", r.kind.Name),
		zap.Int64("took-ms", took.Milliseconds()),
	}, more...)
	if f := outcome.From(err); f != nil {
		fields = append(fields, zap.String("outcome", string(f.Outcome)), zap.String("reason", string(f.Reason)),
			zap.String("detail", f.Detail))
	} else {
		fields = append(fields, zap.String("outcome", string(outcome.Done)))
	}
	e.Log.Info("request", fields...)
}

// prefixHash returns the hash of what may be cached of a prompt.
func prefixHash(item, prompt string) uint64 {
	return xxhash.Sum64String(item + "\x00" + prompt[:min(len(prompt), prefixBytes)])
}

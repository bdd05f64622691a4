package service

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/core/backend"
	"guavapaddle/io/jsonhttp"
)

// Kind tells what a failure means.
type Kind string

const (
	// NotSent means that no byte was written to the server: it did not run.
	NotSent Kind = "not-sent"
	// Refused means that the server affirmed that it did not run the call.
	Refused Kind = "refused"
	// Lost means that the call was sent and no whole answer came: it may have
	// run.
	Lost Kind = "lost"
	// Timeout means that the call was sent and no answer came in time: it may
	// have run or run later.
	Timeout Kind = "timeout"
	// Cancelled means that the caller's context ended after the call was sent.
	Cancelled Kind = "cancelled"
	// WrongRequest means that the answer belongs to another request.
	WrongRequest Kind = "wrong-request"
	// Malformed means that the answer is too long or could not be understood.
	Malformed Kind = "malformed"
)

const (
	// NotRunHeader is set to "1" on a 503 that affirms that the call did not
	// run.
	NotRunHeader = "Guavapaddle-Not-Run"
	// RequestIDHeader carries the request id, which the answer echoes.
	RequestIDHeader = "X-Request-Id"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// LoadPath is the path of a server's report of its load.
	LoadPath = "/load"
	// DefaultTimeout bounds a call.
	DefaultTimeout = 10 * time.Second
)

// errTimeout is the cause of an Error of kind Timeout.
var errTimeout = eris.New("no whole answer in time")

type (
	// Client makes calls to one backend server. Its exported fields are set
	// before the first call. It is safe for concurrent use.
	Client struct {
		Address string        // IP:port
		Timeout time.Duration // of each call, DefaultTimeout if zero

		reused jsonhttp.Lazy
		fresh  jsonhttp.Lazy
	}

	// Request is one call.
	Request struct {
		Method         string
		Path           string // escaped, with query if any
		RequestID      string
		IdempotencyKey string // passed on if set
		Header         http.Header
		Body           []byte
		Repeatable     bool // false: never sent twice by anyone below
	}

	// Response is a whole answer, of any status but an affirmed 503.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Error is the failure of a call.
	Error struct {
		Kind    Kind
		Address string
		Err     error // cause, may be nil
	}
)

// Error returns kind, address and cause in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("service: %s: %s", e.Kind, e.Address)
	}
	return fmt.Sprintf("service: %s: %s: %v", e.Kind, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun tells whether the call certainly did not run.
func (e *Error) NotRun() bool { return e.Kind == NotSent || e.Kind == Refused }

// KindOf returns the kind of the *Error inside err, empty if err is nil and
// Lost if there is none.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return Lost
}

// NotRun tells whether err proves that the call did not run.
func NotRun(err error) bool {
	e, ok := errors.AsType[*Error](err)
	return ok && e.NotRun()
}

// Do makes one call and returns its whole answer. Every failure is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, cmp.Or(c.Timeout, DefaultTimeout), errTimeout)
	defer cancel()
	a, err := c.http(r).Do(ctx, jsonhttp.Call{Method: r.Method, Path: r.Path, Header: header(r), Body: r.Body})
	if err != nil {
		return Response{}, c.failed(ctx, err)
	}
	echo := a.Header.Get(RequestIDHeader)
	refused := a.Status == http.StatusServiceUnavailable && a.Header.Get(NotRunHeader) == "1"
	if echo != r.RequestID && (echo != "" || !refused) {
		return Response{}, c.fail(WrongRequest, eris.Errorf("answer of %q to %q", echo, r.RequestID))
	}
	if refused {
		return Response{}, c.fail(Refused, nil)
	}
	return Response{Status: a.Status, Header: a.Header, Body: a.Body}, nil
}

// Load returns the server's report of its load, which lags. Every failure is
// an *Error.
func (c *Client) Load(ctx context.Context) (backend.LoadReport, error) {
	var out backend.LoadReport
	ctx, cancel := context.WithTimeoutCause(ctx, cmp.Or(c.Timeout, DefaultTimeout), errTimeout)
	defer cancel()
	a, err := c.reused.Get(c.Address).JSON(ctx, http.MethodGet, LoadPath, nil, &out)
	if err != nil {
		return out, c.failed(ctx, err)
	}
	if a.Status != http.StatusOK {
		return out, c.fail(Malformed, eris.Errorf("status %d", a.Status))
	}
	return out, nil
}

// Close closes unused connections.
func (c *Client) Close() { c.reused.Get(c.Address).Close() }

// http returns the client that fits the call.
func (c *Client) http(r Request) *jsonhttp.Client {
	if r.Repeatable {
		return c.reused.Get(c.Address)
	}
	return c.fresh.Fresh(c.Address)
}

// header returns the header to send.
func header(r Request) http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(RequestIDHeader, r.RequestID)
	if r.IdempotencyKey != "" {
		h.Set(KeyHeader, r.IdempotencyKey)
	}
	return h
}

// failed returns the error of a call without a whole answer.
func (c *Client) failed(ctx context.Context, err error) *Error {
	switch jsonhttp.StageOf(err) {
	case jsonhttp.NotSent:
		return c.fail(NotSent, err)
	case jsonhttp.Malformed, jsonhttp.TooLarge:
		return c.fail(Malformed, err)
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errTimeout):
		return c.fail(Timeout, err)
	case cause != nil:
		return c.fail(Cancelled, err)
	}
	return c.fail(Lost, err)
}

// fail returns an *Error.
func (c *Client) fail(k Kind, err error) *Error {
	return &Error{Kind: k, Address: c.Address, Err: err}
}

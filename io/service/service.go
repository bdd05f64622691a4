package service

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/core/backend"
	"guavapaddle/core/recent"
	"guavapaddle/core/sse"
	"guavapaddle/io/jsonhttp"
)

// Kind classifies a failure by its meaning for the call.
type Kind string

const (
	// NotSent means that no byte was written to the server. The call did not run.
	NotSent Kind = "not-sent"
	// Refused means that the server stated that it did not run the call.
	Refused Kind = "refused"
	// Lost means that the call was sent and no complete response arrived; a stream of events that
	// ends inside an event isn't complete. The call may have run.
	Lost Kind = "lost"
	// Timeout means that the call was sent and no response arrived in time. The call may
	// have run or may still run.
	Timeout Kind = "timeout"
	// Cancelled means that the caller's context ended after the call was sent.
	Cancelled Kind = "cancelled"
	// WrongRequest means that the response belongs to another request.
	WrongRequest Kind = "wrong-request"
	// Malformed means that the response is too large or could not be parsed.
	Malformed Kind = "malformed"
)

const (
	// NotRunHeader is set to "1" on a 503 response that states that the call did not run.
	NotRunHeader = "Guavapaddle-Not-Run"
	// RequestIDHeader carries the request id, which the response echoes.
	RequestIDHeader = "X-Request-Id"
	// IdempotencyKeyHeader carries the idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// LoadPath is the path of a server's load report.
	LoadPath = "/load"
	// DefaultTimeout bounds a call.
	DefaultTimeout = 10 * time.Second

	// maxCalledIDs bounds the ids of calls that a client remembers, to find those that are repeated.
	maxCalledIDs = 1024
)

// errTimeout is the cause of an Error of kind Timeout.
var errTimeout = eris.New("no whole answer in time")

type (
	// Client makes calls to one backend server. Its exported fields must be set before the
	// first call. It is safe for concurrent use.
	Client struct {
		Address string        // IP:port
		Timeout time.Duration // per call, DefaultTimeout if zero

		reusing    jsonhttp.Lazy
		nonReusing jsonhttp.Lazy

		mu     sync.Mutex
		called recent.IDs // ids of the calls over connections that are reused
	}

	// Request is a call.
	Request struct {
		Method         string
		Path           string // escaped, including the query
		RequestID      string
		IdempotencyKey string // sent if not empty
		Header         http.Header
		Body           []byte
		Repeatable     bool // if false, no lower layer may send it twice
	}

	// Response is a complete response with any status other than a 503 that states that the
	// call did not run.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Error is a failed call.
	Error struct {
		Kind    Kind
		Address string
		Err     error // cause; may be nil
	}
)

// Error returns the kind, the address and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("service: %s: %s", e.Kind, e.Address)
	}
	return fmt.Sprintf("service: %s: %s: %v", e.Kind, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the call certainly did not run.
func (e *Error) NotRun() bool { return e.Kind == NotSent || e.Kind == Refused }

// KindOf returns the kind of the *Error in err. It returns empty if err is nil, and Lost if
// err contains no *Error.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	return Lost
}

// NotRun reports whether err proves that the call did not run.
func NotRun(err error) bool {
	e, ok := errors.AsType[*Error](err)
	return ok && e.NotRun()
}

// Do makes one call and returns the complete response. Every failure is an *Error.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, cmp.Or(c.Timeout, DefaultTimeout), errTimeout)
	defer cancel()
	resp, err := c.httpClient(r).Do(ctx, jsonhttp.Call{Method: r.Method, Path: r.Path, Header: requestHeader(r), Body: r.Body})
	if err != nil {
		return Response{}, c.transportError(ctx, err)
	}
	echo := resp.Header.Get(RequestIDHeader)
	refused := resp.Status == http.StatusServiceUnavailable && resp.Header.Get(NotRunHeader) == "1"
	if echo != r.RequestID && (echo != "" || !refused) {
		return Response{}, c.newError(WrongRequest, eris.Errorf("answer of %q to %q", echo, r.RequestID))
	}
	if refused {
		return Response{}, c.newError(Refused, nil)
	}
	if !sse.IsWhole(resp.Header.Get("Content-Type"), resp.Body) {
		return Response{}, c.newError(Lost, io.ErrUnexpectedEOF)
	}
	return Response{Status: resp.Status, Header: resp.Header, Body: resp.Body}, nil
}

// Load returns the server's load report, which may be out of date. Every failure is an
// *Error.
func (c *Client) Load(ctx context.Context) (backend.LoadReport, error) {
	var out backend.LoadReport
	ctx, cancel := context.WithTimeoutCause(ctx, cmp.Or(c.Timeout, DefaultTimeout), errTimeout)
	defer cancel()
	resp, err := c.reusing.Backend(c.Address, nil).JSON(ctx, http.MethodGet, LoadPath, nil, &out)
	if err != nil {
		return out, c.transportError(ctx, err)
	}
	if resp.Status != http.StatusOK {
		return out, c.newError(Malformed, eris.Errorf("status %d", resp.Status))
	}
	return out, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.reusing.Backend(c.Address, nil).Close() }

// httpClient returns the client with the connection policy that the call requires. A call that is repeated gets a connection of its own: if the server
// sends its earlier response again, it can't be distinguished from the next one.
func (c *Client) httpClient(r Request) *jsonhttp.Client {
	if r.Repeatable && !c.isRepeated(r.RequestID) {
		return c.reusing.Backend(c.Address, nil)
	}
	return c.nonReusing.BackendWithoutReuse(c.Address)
}

// isRepeated records a call and reports whether one with the same id was made before.
func (c *Client) isRepeated(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.called.Contains(id) {
		return true
	}
	c.called.Max = maxCalledIDs
	c.called.Add(id)
	return false
}

// requestHeader returns the header to send.
func requestHeader(r Request) http.Header {
	h := r.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	h.Set(RequestIDHeader, r.RequestID)
	if r.IdempotencyKey != "" {
		h.Set(IdempotencyKeyHeader, r.IdempotencyKey)
	}
	return h
}

// transportError returns the error for a call without a complete response.
func (c *Client) transportError(ctx context.Context, err error) *Error {
	switch jsonhttp.StageOf(err) {
	case jsonhttp.NotSent:
		return c.newError(NotSent, err)
	case jsonhttp.Malformed, jsonhttp.TooLarge:
		return c.newError(Malformed, err)
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errTimeout):
		return c.newError(Timeout, err)
	case cause != nil:
		return c.newError(Cancelled, err)
	}
	return c.newError(Lost, err)
}

// newError returns an *Error with the client's address.
func (c *Client) newError(k Kind, err error) *Error {
	return &Error{Kind: k, Address: c.Address, Err: err}
}

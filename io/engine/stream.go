package engine

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/core/backend"
	"guavapaddle/io/jsonhttp"
)

const (
	// DefaultFirstEventTimeout bounds the wait for the first event of a stream.
	DefaultFirstEventTimeout = 30 * time.Second
	// DefaultProgressTimeout bounds the wait between two events.
	DefaultProgressTimeout = 2 * time.Second

	maxLine  = 64 << 10 // bytes of one event; there may be thousands of streams
	readSize = 4 << 10
)

var (
	errSilent   = eris.New("no event in time")
	errNoFinish = eris.New("stream ended without finish")
	errClosed   = eris.New("stream closed")
)

type (
	// StreamOptions sets the timeouts of a stream. Zero values select the defaults.
	StreamOptions struct {
		FirstEventTimeout time.Duration // from the call to the first event
		ProgressTimeout   time.Duration // from one event to the next
	}

	// Stream reads the response to one request. Next must be called from one goroutine only;
	// Close may be called from any.
	Stream struct {
		client   *Client
		id       string
		next     int  // offset of the next event
		started  bool // the first event has arrived
		progress time.Duration
		stream   *jsonhttp.Stream
		scanner  *bufio.Scanner
		ctx      context.Context
		cancel   context.CancelCauseFunc
		timer    *time.Timer
		err      error // why the stream ended, io.EOF after the finish event
		once     sync.Once
	}
)

// Generate sends g and returns once the request has started in the engine's batch, or with
// an error after FirstEventTimeout. Every failure is an *Error whose NotRun reports whether
// the request certainly did not run. The stream ends when ctx ends.
func (c *Client) Generate(ctx context.Context, g backend.Generate, o StreamOptions) (*Stream, error) {
	s, e := c.open(ctx, generatePath, g, g.RequestID, 0, o)
	if e != nil {
		return nil, e
	}
	return s, nil
}

// Resume returns the rest of a response from r.Offset. Every failure is an *Error, of kind
// UnknownRequest if the engine has no such request. No failure proves that the request did
// not run.
func (c *Client) Resume(ctx context.Context, r backend.Resume, o StreamOptions) (*Stream, error) {
	s, e := c.open(ctx, resumePath, r, r.RequestID, r.Offset, o)
	if e != nil {
		e.resumed = true
		return nil, e
	}
	return s, nil
}

// Next returns the next event; the one with Finish set is the last. Every failure is an
// *Error. After a failure, Next keeps returning the same error; after the finish event it
// returns io.EOF.
func (s *Stream) Next() (backend.Event, error) {
	if s.err != nil {
		return backend.Event{}, s.err
	}
	if s.started {
		s.timer.Reset(s.progress)
	}
	e, err := s.read()
	s.timer.Stop()
	if err != nil {
		s.end(err)
		return backend.Event{}, err
	}
	s.started = true
	s.next++
	if e.Finish != "" {
		s.end(io.EOF)
	}
	return e, nil
}

// Close ends the stream and closes its connection. The engine continues to run the request
// unless it is cancelled.
func (s *Stream) Close() { s.shutdown(errClosed) }

// open makes a call whose response is a stream.
func (c *Client) open(ctx context.Context, path string, in any, id string, offset int, o StreamOptions) (*Stream, *Error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, c.newError(NotSent, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{client: c, id: id, next: offset, progress: cmp.Or(o.ProgressTimeout, DefaultProgressTimeout), ctx: ctx, cancel: cancel}
	// The timer runs until the first event. Next restarts it for each further event, so that
	// the time that the reader spends between calls does not count.
	s.timer = time.AfterFunc(cmp.Or(o.FirstEventTimeout, DefaultFirstEventTimeout), func() { cancel(errSilent) })
	s.stream, err = c.streams.BackendWithoutReuse(c.Address).Open(ctx, jsonhttp.Call{
		Method: http.MethodPost, Path: path, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}, "X-Request-Id": {id}},
	})
	if err != nil {
		s.timer.Stop()
		defer cancel(errClosed)
		return nil, c.openError(ctx, err)
	}
	if s.stream.Status != http.StatusOK {
		defer s.shutdown(errClosed)
		return nil, c.statusError(s.stream, path)
	}
	s.scanner = bufio.NewScanner(s.stream.Body)
	s.scanner.Buffer(make([]byte, 0, readSize), maxLine)
	return s, nil
}

// openError returns the error for a stream that received no response.
func (c *Client) openError(ctx context.Context, err error) *Error {
	e := c.transportError(err)
	if e.Kind != Lost {
		return e
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		return c.newError(Silent, cause)
	case cause != nil:
		return c.newError(Cancelled, cause)
	}
	return e
}

// statusError returns the error for a stream whose response has a status other than 200.
func (c *Client) statusError(s *jsonhttp.Stream, path string) *Error {
	body, _ := io.ReadAll(io.LimitReader(s.Body, readSize))
	e := c.newError(Failed, eris.Errorf("status %d: %s", s.Status, body))
	e.statedNotRun = s.Header.Get(NotRunHeader) == "1"
	switch {
	case s.Status == http.StatusConflict:
		e.Kind = Duplicate
	case s.Status == http.StatusNotFound && path == resumePath:
		e.Kind = UnknownRequest
	case !e.statedNotRun:
	case s.Status == http.StatusNotFound:
		e.Kind = NotResident
	case s.Status == http.StatusTooManyRequests:
		e.Kind = Full
	case s.Status == http.StatusServiceUnavailable:
		e.Kind = Leaving
	default:
		e.Kind = Refused
	}
	return e
}

// read reads and validates one event.
func (s *Stream) read() (backend.Event, error) {
	var e backend.Event
	if !s.scanner.Scan() {
		return e, s.endError(s.scanner.Err())
	}
	if err := json.Unmarshal(s.scanner.Bytes(), &e); err != nil {
		if !s.scanner.Scan() {
			return e, s.endError(s.scanner.Err()) // the last line is incomplete
		}
		return e, s.client.newError(Malformed, err)
	}
	if e.RequestID != s.id {
		return e, s.client.newError(WrongRequest, eris.Errorf("answer of %q to %q", e.RequestID, s.id))
	}
	if e.Offset != s.next {
		return e, s.client.newError(WrongOffset, eris.Errorf("offset %d after %d", e.Offset, s.next-1))
	}
	if (e.Token == "") == (e.Finish == "") {
		return e, s.client.newError(Malformed, eris.New("event needs a token or a finish"))
	}
	return e, nil
}

// endError returns the error for a stream that ended early.
func (s *Stream) endError(err error) *Error {
	cause := context.Cause(s.ctx)
	switch {
	case errors.Is(cause, errSilent):
		return s.client.newError(Silent, cause)
	case errors.Is(err, bufio.ErrTooLong):
		return s.client.newError(Malformed, err)
	case cause != nil:
		return s.client.newError(Cancelled, cause)
	case err == nil:
		return s.client.newError(Cut, errNoFinish)
	}
	return s.client.newError(Cut, err)
}

// end records the reason for the end of the stream and closes it.
func (s *Stream) end(err error) {
	s.err = err
	s.shutdown(errClosed)
}

// shutdown closes the connection. Calls after the first have no effect.
func (s *Stream) shutdown(cause error) {
	s.once.Do(func() {
		s.timer.Stop()
		s.cancel(cause)
		if s.stream != nil {
			s.stream.Abort()
		}
	})
}

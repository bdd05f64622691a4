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
	// DefaultFirstTimeout bounds the wait for the first event of a stream.
	DefaultFirstTimeout = 30 * time.Second
	// DefaultProgressTimeout bounds the wait between two events.
	DefaultProgressTimeout = 2 * time.Second

	maxLine  = 1 << 20
	readSize = 4 << 10
)

var (
	errSilent   = eris.New("no event in time")
	errNoFinish = eris.New("stream ended without finish")
	errClosed   = eris.New("stream closed")
)

type (
	// StreamOptions bounds the waits of a stream. The zero value takes the
	// defaults.
	StreamOptions struct {
		FirstTimeout    time.Duration // from the call to the first event
		ProgressTimeout time.Duration // from one event to the next
	}

	// Stream reads the answer to one request. Next is for one goroutine, Close
	// for any.
	Stream struct {
		client   *Client
		id       string
		next     int  // offset of the next event
		started  bool // the first event has come
		progress time.Duration
		stream   *jsonhttp.Stream
		scanner  *bufio.Scanner
		ctx      context.Context
		cancel   context.CancelCauseFunc
		timer    *time.Timer
		err      error // of the end, io.EOF after the finish
		once     sync.Once
	}
)

// Generate sends g and returns when it has started in the engine's batch, at
// the latest after FirstTimeout. Every failure is an *Error whose NotRun tells
// whether the request certainly did not run. The stream ends when ctx ends.
func (c *Client) Generate(ctx context.Context, g backend.Generate, o StreamOptions) (*Stream, error) {
	s, e := c.open(ctx, generatePath, g, g.RequestID, 0, o)
	if e != nil {
		return nil, e
	}
	return s, nil
}

// Resume returns the rest of an answer from r.Offset on. Every failure is an
// *Error, of kind UnknownRequest if the engine does not know the request, and
// none proves that the request did not run.
func (c *Client) Resume(ctx context.Context, r backend.Resume, o StreamOptions) (*Stream, error) {
	s, e := c.open(ctx, resumePath, r, r.RequestID, r.Offset, o)
	if e != nil {
		e.resumed = true
		return nil, e
	}
	return s, nil
}

// Next returns the next event; the one with Finish is the last. Every failure
// is an *Error, and after it or after the finish Next returns the same error
// or io.EOF again.
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

// Close ends the stream and closes its connection. The engine goes on with the
// request unless it is cancelled.
func (s *Stream) Close() { s.shut(errClosed) }

// open sends a call whose answer is a stream.
func (c *Client) open(ctx context.Context, path string, in any, id string, offset int, o StreamOptions) (*Stream, *Error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, c.fail(NotSent, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{client: c, id: id, next: offset, progress: cmp.Or(o.ProgressTimeout, DefaultProgressTimeout), ctx: ctx, cancel: cancel}
	// The timer runs until the first event; Next sets it anew for each further
	// one, so that the time that the reader takes for itself does not count.
	s.timer = time.AfterFunc(cmp.Or(o.FirstTimeout, DefaultFirstTimeout), func() { cancel(errSilent) })
	s.stream, err = c.streams.Fresh(c.Address).Open(ctx, jsonhttp.Call{
		Method: http.MethodPost, Path: path, Body: body,
		Header: http.Header{"Content-Type": {"application/json"}, "X-Request-Id": {id}},
	})
	if err != nil {
		s.timer.Stop()
		defer cancel(errClosed)
		return nil, c.unopened(ctx, err)
	}
	if s.stream.Status != http.StatusOK {
		defer s.shut(errClosed)
		return nil, c.refused(s.stream, path)
	}
	s.scanner = bufio.NewScanner(s.stream.Body)
	s.scanner.Buffer(make([]byte, 0, readSize), maxLine)
	return s, nil
}

// unopened returns the error of a stream that got no answer.
func (c *Client) unopened(ctx context.Context, err error) *Error {
	e := c.lost(err)
	if e.Kind != Lost {
		return e
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		return c.fail(Silent, cause)
	case cause != nil:
		return c.fail(Cancelled, cause)
	}
	return e
}

// refused returns the error of a stream that was answered with another status.
func (c *Client) refused(s *jsonhttp.Stream, path string) *Error {
	body, _ := io.ReadAll(io.LimitReader(s.Body, readSize))
	e := c.fail(Failed, eris.Errorf("status %d: %s", s.Status, body))
	e.affirmed = s.Header.Get(NotRunHeader) == "1"
	switch {
	case s.Status == http.StatusConflict:
		e.Kind = Duplicate
	case s.Status == http.StatusNotFound && path == resumePath:
		e.Kind = UnknownRequest
	case !e.affirmed:
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

// read reads and checks one event.
func (s *Stream) read() (backend.Event, error) {
	var e backend.Event
	if !s.scanner.Scan() {
		return e, s.broken(s.scanner.Err())
	}
	if err := json.Unmarshal(s.scanner.Bytes(), &e); err != nil {
		if !s.scanner.Scan() {
			return e, s.broken(s.scanner.Err()) // the last line was cut
		}
		return e, s.client.fail(Malformed, err)
	}
	if e.RequestID != s.id {
		return e, s.client.fail(WrongRequest, eris.Errorf("answer of %q to %q", e.RequestID, s.id))
	}
	if e.Offset != s.next {
		return e, s.client.fail(WrongOffset, eris.Errorf("offset %d after %d", e.Offset, s.next-1))
	}
	if (e.Token == "") == (e.Finish == "") {
		return e, s.client.fail(Malformed, eris.New("event needs a token or a finish"))
	}
	return e, nil
}

// broken returns the error of a stream that ended too early.
func (s *Stream) broken(err error) *Error {
	cause := context.Cause(s.ctx)
	switch {
	case errors.Is(cause, errSilent):
		return s.client.fail(Silent, cause)
	case errors.Is(err, bufio.ErrTooLong):
		return s.client.fail(Malformed, err)
	case cause != nil:
		return s.client.fail(Cancelled, cause)
	case err == nil:
		return s.client.fail(Cut, errNoFinish)
	}
	return s.client.fail(Cut, err)
}

// end remembers how the stream ended and closes it.
func (s *Stream) end(err error) {
	s.err = err
	s.shut(errClosed)
}

// shut closes the connection once.
func (s *Stream) shut(cause error) {
	s.once.Do(func() {
		s.timer.Stop()
		s.cancel(cause)
		if s.stream != nil {
			s.stream.Abort()
		}
	})
}

package jsonhttp

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"guavapaddle/internal/lag"
	"guavapaddle/io/http1"
	"guavapaddle/io/tcp"
)

const (
	// DefaultConnectTimeout is the default timeout for opening a connection.
	DefaultConnectTimeout = time.Second
	// DefaultIdleTimeout is the default time for which an unused connection is kept. It is
	// short because a connection may become unresponsive while it is idle.
	DefaultIdleTimeout = 5 * time.Second
	// DefaultMaxBody is the default limit of a response body, in bytes.
	DefaultMaxBody = 64 << 20
	maxIdlePerHost = 16
	maxHeaderBytes = 64 << 10
)

// errTooLarge is the cause of an Error with stage TooLarge.
var errTooLarge = eris.New("answer exceeds bound")

type (
	// Client makes calls to one address. Exported fields must be set before the first call.
	// It is safe for concurrent use.
	Client struct {
		Address        string        // IP:port
		ConnectTimeout time.Duration // DefaultConnectTimeout if zero
		IdleTimeout    time.Duration // DefaultIdleTimeout if zero
		MaxBody        int64         // limit of a response body in bytes, DefaultMaxBody if zero
		DisableReuse   bool          // opens a new connection for each call
		Traffic        *tcp.Traffic  // counts the bytes on the client's connections, may be nil
		// Bodies bounds the memory of the response bodies that this and other clients read at the same time. It may be nil.
		Bodies *http1.Buffers

		once      sync.Once
		transport *http.Transport
	}

	// Call is an HTTP request.
	Call struct {
		Method string
		Path   string // escaped, including the query if any
		Header http.Header
		Body   []byte
	}

	// Response is a complete HTTP response.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Stream is an HTTP response whose body is read as it arrives.
	Stream struct {
		Status int
		Header http.Header
		Body   io.Reader

		body    io.Closer
		tracker *tracker
		address string
	}
)

// Open sends a call and returns once the header of the response has been read. Every error
// is an *Error. Reading from the Stream fails after ctx ends.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	c.once.Do(c.init)
	t := &tracker{start: time.Now()}
	req, err := c.request(httptrace.WithClientTrace(ctx, t.trace()), call)
	if err != nil {
		return nil, c.newError(NotSent, t, err)
	}
	resp, err := c.transport.RoundTrip(req) //nolint:bodyclose // closed by the Stream
	if err != nil {
		stage := NotSent
		if t.sealAll() {
			stage = Sent
		}
		c.transport.CloseIdleConnections()
		return nil, c.newError(stage, t, err)
	}
	return &Stream{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body,
		body: resp.Body, tracker: t, address: c.Address}, nil
}

// Do sends a call and returns the complete response. Every error is an *Error. If a call
// fails, its connection is closed, and so are all idle ones, since they may be unresponsive
// as well. A response is too large if its body exceeds MaxBody, or if there is no room for it beside those that other calls are reading.
//
// If the process was not running when the deadline of ctx passed, a response that arrived in
// the meantime is still read. A call whose ctx has ended before isn't sent.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	if ctx.Err() != nil {
		return Response{}, c.newError(NotSent, nil, context.Cause(ctx))
	}
	ctx, done := extendAfterStall(ctx)
	defer done()
	s, err := c.Open(ctx, call)
	if err != nil {
		return Response{}, err
	}
	body, release, err := c.Bodies.Read(s.Body, -1, cmp.Or(c.MaxBody, DefaultMaxBody))
	defer release()
	switch {
	case errors.Is(err, http1.ErrBodyTooLong):
		s.Abort()
		return Response{}, c.newError(TooLarge, s.tracker, errTooLarge)
	case err != nil:
		s.Abort()
		c.transport.CloseIdleConnections()
		return Response{}, c.newError(Sent, s.tracker, err)
	}
	s.Close()
	return Response{Status: s.Status, Header: s.Header, Body: body}, nil
}

// JSON sends in, unless it is nil, as JSON. It decodes a response with status 200 into out,
// unless out is nil; other responses are returned undecoded.
func (c *Client) JSON(ctx context.Context, method, path string, in, out any) (Response, error) {
	call := Call{Method: method, Path: path, Header: http.Header{}}
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return Response{}, c.newError(NotSent, nil, err)
		}
		call.Body = b
		call.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.Do(ctx, call)
	if err != nil {
		return Response{}, err
	}
	if resp.Status != http.StatusOK || out == nil {
		return resp, nil
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return resp, c.newError(Malformed, nil, err)
	}
	return resp, nil
}

// Close closes idle connections. Calls in progress are not affected.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.transport.CloseIdleConnections()
}

// Close ends the reading. A connection whose response was read to its end is kept for the
// next call unless Client.DisableReuse is set.
func (s *Stream) Close() { _ = s.body.Close() }

// Abort closes the connection, so that no part of the response can be read by a later call.
func (s *Stream) Abort() {
	s.tracker.sealAll()
	_ = s.body.Close()
}

// init creates the transport.
func (c *Client) init() {
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dialer := &net.Dialer{Timeout: lag.Extend(cmp.Or(c.ConnectTimeout, DefaultConnectTimeout))}
			trip := lag.BeginRoundTrip(address)
			nc, err := dialer.DialContext(ctx, network, address)
			trip.EndWith(err)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: &tcp.Conn{TCPConn: nc.(*net.TCPConn), Traffic: c.Traffic}}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      c.DisableReuse,
		IdleConnTimeout:        cmp.Or(c.IdleTimeout, DefaultIdleTimeout),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// request builds the HTTP request. GetBody is cleared so that the transport cannot replay
// it.
func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	var body io.Reader
	if len(call.Body) > 0 {
		body = bytes.NewReader(call.Body)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.Address+call.Path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for name, values := range call.Header {
		req.Header[http.CanonicalHeaderKey(name)] = values
	}
	return req, nil
}

// newError returns the *Error of a call. t is nil for a call that was never started or that
// has already completed.
func (c *Client) newError(stage Stage, t *tracker, err error) *Error {
	e := &Error{Stage: stage, Address: c.Address, Err: err}
	if t != nil {
		e.Progress = t.failureProgress()
	}
	return e
}

// StageOf returns the stage of the *Error in err's chain, or Sent if there is none.
func StageOf(err error) Stage {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Stage
	}
	return Sent
}

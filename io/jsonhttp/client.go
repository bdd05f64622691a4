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
)

const (
	// DefaultConnectTimeout bounds the opening of a connection.
	DefaultConnectTimeout = time.Second
	// DefaultIdleTimeout bounds how long an unused connection is kept. It is
	// short since a connection may go silent while it is idle.
	DefaultIdleTimeout = 5 * time.Second
	// DefaultMaxBody bounds the bytes of a whole answer.
	DefaultMaxBody = 64 << 20

	maxIdlePerHost = 16
	maxHeaderBytes = 64 << 10
)

// errTooLarge is the cause of an Error with stage TooLarge.
var errTooLarge = eris.New("answer exceeds bound")

type (
	// Client makes calls to one address. Its exported fields are set before
	// the first call. It is safe for concurrent use.
	Client struct {
		Address        string        // IP:port
		ConnectTimeout time.Duration // DefaultConnectTimeout if zero
		IdleTimeout    time.Duration // DefaultIdleTimeout if zero
		MaxBody        int64         // bytes, DefaultMaxBody if zero
		Fresh          bool          // a new connection for each call
		Traffic        *Traffic      // counts the bytes on its connections, may be nil

		once      sync.Once
		transport *http.Transport
	}

	// Call is one request.
	Call struct {
		Method string
		Path   string // escaped, with query if any
		Header http.Header
		Body   []byte
	}

	// Answer is a whole answer.
	Answer struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Stream is an answer whose body is still coming.
	Stream struct {
		Status int
		Header http.Header
		Body   io.Reader

		body    io.Closer
		tracker *tracker
		address string
	}
)

// Open sends a call and returns when the header of the answer is there. Every
// failure is an *Error. The Stream ends early when ctx ends.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	c.once.Do(c.init)
	t := &tracker{began: time.Now()}
	req, err := c.request(httptrace.WithClientTrace(ctx, t.trace()), call)
	if err != nil {
		return nil, c.fail(NotSent, t, err)
	}
	resp, err := c.transport.RoundTrip(req) //nolint:bodyclose // the Stream closes it
	if err != nil {
		stage := NotSent
		if t.abandon() {
			stage = Sent
		}
		c.transport.CloseIdleConnections()
		return nil, c.fail(stage, t, err)
	}
	return &Stream{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body,
		body: resp.Body, tracker: t, address: c.Address}, nil
}

// Do sends a call and returns the whole answer. Every failure is an *Error. A
// connection whose call failed is closed, and unused ones with it: they may be
// as silent as the first.
//
// If the process stood still past the deadline of ctx, an answer that came
// meanwhile is still read.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	ctx, done := lenient(ctx)
	defer done()
	s, err := c.Open(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	limit := cmp.Or(c.MaxBody, DefaultMaxBody)
	body, err := io.ReadAll(io.LimitReader(s.Body, limit+1))
	if err != nil {
		s.Abort()
		c.transport.CloseIdleConnections()
		return Answer{}, c.fail(Sent, s.tracker, err)
	}
	if int64(len(body)) > limit {
		s.Abort()
		return Answer{}, c.fail(TooLarge, s.tracker, errTooLarge)
	}
	s.Close()
	return Answer{Status: s.Status, Header: s.Header, Body: body}, nil
}

// JSON sends in as JSON, unless it is nil, and decodes an answer with status
// 200 into out, unless that is nil. Other answers are returned as they are.
func (c *Client) JSON(ctx context.Context, method, path string, in, out any) (Answer, error) {
	call := Call{Method: method, Path: path, Header: http.Header{}}
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return Answer{}, c.fail(NotSent, nil, err)
		}
		call.Body = b
		call.Header.Set("Content-Type", "application/json")
	}
	a, err := c.Do(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	if a.Status != http.StatusOK || out == nil {
		return a, nil
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return a, c.fail(Malformed, nil, err)
	}
	return a, nil
}

// Close closes unused connections. Calls under way go on.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.transport.CloseIdleConnections()
}

// Close ends the reading; a connection whose answer was read whole is kept for
// the next call unless the client is Fresh.
func (s *Stream) Close() { _ = s.body.Close() }

// Abort closes the connection, so that nothing of the answer can reach a later
// call.
func (s *Stream) Abort() {
	s.tracker.abandon()
	_ = s.body.Close()
}

// init sets up the transport.
func (c *Client) init() {
	dialer := &net.Dialer{Timeout: cmp.Or(c.ConnectTimeout, DefaultConnectTimeout)}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: nc, traffic: c.Traffic}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      c.Fresh,
		IdleConnTimeout:        cmp.Or(c.IdleTimeout, DefaultIdleTimeout),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// request builds the HTTP request. It has no GetBody, so the transport can't
// replay it.
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

// fail returns the *Error of a call, whose tracker is nil if it never began or
// ended.
func (c *Client) fail(stage Stage, t *tracker, err error) *Error {
	e := &Error{Stage: stage, Address: c.Address, Err: err}
	if t != nil {
		e.Progress = t.failed()
	}
	return e
}

// StageOf returns the stage of the *Error inside err, or Sent if there is none.
func StageOf(err error) Stage {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Stage
	}
	return Sent
}

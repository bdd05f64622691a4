package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"guavapaddle/core/admission"
	"guavapaddle/io/tcp"
)

const (
	// DefaultHeaderBytes is the default limit of a request head, in bytes.
	DefaultHeaderBytes = 16 << 10
	// DefaultBodyBytes is the default limit of a request body, in bytes.
	DefaultBodyBytes = 4 << 20
	// DefaultHeaderTimeout is the default limit of the time for reading a request head.
	DefaultHeaderTimeout = 3 * time.Second
	// DefaultIdleTimeout is the default limit of the time between requests on a connection.
	DefaultIdleTimeout = 15 * time.Second

	readBuffer      = 4 << 10
	lingerTime      = 200 * time.Millisecond // how long to drain bytes that the client sent before it noticed the close
	lingerBytes     = 1 << 20                // how many such bytes to drain
	maxTrailerBytes = 4 << 10                // limit of the trailer section, in bytes
	bodyTimeout     = 10 * time.Second       // for reading a whole body; well-behaved clients send it without pauses
)

type (
	// Handler responds to requests. It must complete or abort the response to each request
	// before it returns.
	Handler interface {
		Handle(x *Exchange)
	}

	// Limits bounds what a client may send. Zero fields take the defaults.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Server accepts connections and serves HTTP/1.1 requests. Exported fields must be set
	// before Serve is called.
	Server struct {
		Handler      Handler
		Limits       func() Limits   // returns the current limits; called for each request
		MaxConns     int             // maximum number of connections; above it an idle one is closed; zero means unlimited
		OnBadRequest func(err error) // called for each request that could not be read, may be nil
		// Admit decides on the next request. It is called once for each request, before any of its bytes is read. It may be nil.
		Admit func() admission.Verdict
		// AcceptFailed is called when accepting a connection fails, may be nil. The server
		// then retries.
		AcceptFailed func(err error)
		// Bodies bounds the memory of request bodies that are held at the same time. A request whose body has no room gets 503
		// unread. It may be nil.
		Bodies *Buffers
		// Traffic counts the bytes of the clients' connections. It may be nil.
		Traffic *tcp.Traffic

		draining atomic.Bool
		stopping atomic.Bool
		mu       sync.Mutex
		conns    map[*serverConn]struct{}
		active   sync.WaitGroup
	}

	// serverConn is a connection of a client.
	serverConn struct {
		s    *Server
		nc   net.Conn
		br   *bufio.Reader
		buf  []byte
		idle atomic.Bool
		// verdict is on the request that is read next.
		verdict admission.Verdict
	}
)

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	tcp.Accept(l, func(nc net.Conn) {
		verdict := s.admit()
		if verdict == admission.Close {
			_ = nc.Close()
			return
		}
		nc = s.Traffic.Count(nc)
		c := &serverConn{s: s, nc: nc, br: bufio.NewReaderSize(nc, readBuffer), verdict: verdict}
		if !s.add(c) {
			_ = nc.Close()
			return
		}
		go c.run()
	}, s.AcceptFailed)
}

// Drain makes the next response on each connection the last one.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes idle connections and waits until the open requests have completed or ctx
// is done.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	s.stopping.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		c.interruptIdle()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// add registers a connection and returns false if the server is shutting down. At the limit
// of connections it also closes an idle one.
func (s *Server) add(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return false
	}
	if s.conns == nil {
		s.conns = map[*serverConn]struct{}{}
	}
	if s.MaxConns > 0 && len(s.conns) >= s.MaxConns {
		for o := range s.conns {
			if o.interruptIdle() {
				break
			}
		}
	}
	s.conns[c] = struct{}{}
	s.active.Add(1)
	return true
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.active.Done()
}

// limits returns the current limits with defaults applied.
func (s *Server) limits() Limits {
	var l Limits
	if s.Limits != nil {
		l = s.Limits()
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// interruptIdle makes an idle connection stop waiting for its next request. It reports
// whether the connection was idle.
func (c *serverConn) interruptIdle() bool {
	if !c.idle.Load() {
		return false
	}
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	return true
}

// run serves the requests of a connection sequentially.
func (c *serverConn) run() {
	defer c.s.remove(c)
	defer func() { _ = c.nc.Close() }()
	for first := true; ; first = false {
		if !first && !c.admitNext() {
			return
		}
		keepOpen, err := c.serveOne()
		if err != nil {
			c.reject(err)
		}
		if !keepOpen || err != nil {
			c.linger()
			return
		}
	}
}

// serveOne waits for a request and serves it. It reports whether the connection stays open.
func (c *serverConn) serveOne() (bool, error) {
	l := c.s.limits()
	if !c.awaitRequest(l.IdleTimeout) {
		return false, nil
	}
	received := time.Now()
	if err := c.nc.SetReadDeadline(received.Add(l.HeaderTimeout)); err != nil {
		return false, nil
	}
	head, err := readHead(c.br, c.buf, l.HeaderBytes)
	if cap(head) <= maxPooledHead {
		c.buf = head
	}
	if err != nil {
		return false, timeoutToStatus(err)
	}
	r, bodyFraming, err := parseHead(head)
	if err != nil {
		return false, err
	}
	body, reserved, err := c.body(r, bodyFraming, l)
	defer c.s.releaseBody(reserved)
	if err != nil {
		return false, timeoutToStatus(err)
	}
	return c.handle(&Exchange{Request: r, Body: body, Received: received, Rejected: c.verdict == admission.Reject, conn: c.nc, server: c.s}), nil
}

// admit returns the verdict on the next request.
func (s *Server) admit() admission.Verdict {
	if s.Admit == nil {
		return admission.Admit
	}
	return s.Admit()
}

// admitNext waits until the next request on a kept connection can be read and decides on it. It reports whether to read on: also when the
// connection has ended or the wait has passed its limit, which the read then shows.
func (c *serverConn) admitNext() bool {
	c.verdict = admission.Admit
	if c.s.Admit == nil || c.br.Buffered() > 0 {
		return true
	}
	c.whileIdle(c.s.limits().IdleTimeout, func() {
		if awaitReadable(c.nc) {
			c.verdict = c.s.Admit()
		}
	})
	return c.verdict != admission.Close
}

// awaitRequest waits for the first byte of a request and reports whether it arrived.
func (c *serverConn) awaitRequest(timeout time.Duration) bool {
	if c.br.Buffered() > 0 {
		return true
	}
	var err error
	c.whileIdle(timeout, func() { _, err = c.br.Peek(1) })
	return err == nil
}

// whileIdle calls wait, which may be interrupted, with a limit of time for reads.
func (c *serverConn) whileIdle(timeout time.Duration, wait func()) {
	_ = c.nc.SetReadDeadline(time.Now().Add(timeout))
	c.idle.Store(true)
	if c.s.stopping.Load() {
		c.interruptIdle()
	}
	wait()
	c.idle.Store(false)
}

// handle runs the handler and cancels its context if the client disconnects meanwhile. It
// reports whether the connection can serve another request.
func (c *serverConn) handle(x *Exchange) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x.ctx, x.cancel = ctx, cancel
	x.closing = x.Request.Close
	_ = c.nc.SetReadDeadline(time.Time{})
	watching, stop := context.WithCancel(ctx)
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		c.watch(watching, cancel)
	}()
	c.s.Handler.Handle(x)
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	stop()
	<-watchDone
	if x.state != ended {
		if !x.Request.ProtoAtLeast(1, 1) {
			c.reset()
		}
		return false
	}
	return !x.closing && ctx.Err() == nil
}

// reset makes the connection end with a reset. A response to HTTP/1.0 that was written in pieces ends with its
// connection, so that one which was broken off would look complete otherwise.
func (c *serverConn) reset() {
	if t, ok := c.nc.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // fails only if the connection has ended
	}
	_ = c.nc.Close()
}

// body reads the request body to its end. It reserves memory for all but short bodies, since clients may send them slowly and servers may
// read them slowly, which has to be released, also after an error.
func (c *serverConn) body(r *http.Request, f framing, l Limits) (body []byte, reserved int64, err error) {
	if f.length > l.BodyBytes {
		return nil, 0, &RequestError{Status: http.StatusRequestEntityTooLarge, Reason: "request body too large"}
	}
	if f.length == 0 && !f.chunked {
		return nil, 0, nil
	}
	if !f.chunked && f.length > unreservedBody && c.s.Bodies != nil {
		if !c.s.Bodies.reserve(f.length) {
			return nil, 0, noRoom()
		}
		reserved = f.length
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, reserved, err
		}
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	if !f.chunked {
		b := make([]byte, f.length)
		_, err := io.ReadFull(c.br, b)
		return b, reserved, err
	}
	b, reserved, err := c.s.Bodies.readAll(httputil.NewChunkedReader(c.br), -1, l.BodyBytes)
	switch {
	case errors.Is(err, ErrBodyTooLong):
		return nil, reserved, &RequestError{Status: http.StatusRequestEntityTooLarge, Reason: "request body too large"}
	case errors.Is(err, errNoRoom):
		return nil, reserved, noRoom()
	case err != nil && !timedOut(err) && !errors.Is(err, io.ErrUnexpectedEOF):
		return nil, reserved, badRequest("malformed chunk")
	case err != nil:
		return nil, reserved, err
	}
	return b, reserved, c.readTrailer()
}

// noRoom returns the error for a request whose body has no room beside those of others.
func noRoom() error {
	return &RequestError{Status: http.StatusServiceUnavailable, Reason: "no room for the request body"}
}

// releaseBody gives reserved memory back.
func (s *Server) releaseBody(n int64) {
	if n > 0 {
		s.Bodies.release(n)
	}
}

// readTrailer reads and discards the fields after the last chunk.
func (c *serverConn) readTrailer() error {
	for n := 0; n < maxTrailerBytes; {
		line, err := c.br.ReadSlice('\n')
		n += len(line)
		if err != nil {
			return err
		}
		if string(line) == "\r\n" {
			return nil
		}
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return badRequest("line does not end with CR LF")
		}
	}
	return &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "trailer section too large"}
}

// reject reports a request that could not be read and responds to it. A client that
// disconnected or sent an incomplete request gets no response.
func (c *serverConn) reject(err error) {
	if c.s.OnBadRequest != nil {
		c.s.OnBadRequest(err)
	}
	var requestErr *RequestError
	if !errors.As(err, &requestErr) {
		return
	}
	x := &Exchange{Request: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, conn: c.nc, closing: true}
	_ = x.Respond(requestErr.Status, http.Header{}, nil) // the connection is closed even if this fails
}

// linger closes the sending side and keeps reading for a short time: closing a connection
// with unread bytes would reset it, and the client could lose the response.
func (c *serverConn) linger() {
	t, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || t.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.br, lingerBytes)
}

// timeoutToStatus converts a read timeout inside a request to a RequestError with status
// 408.
func timeoutToStatus(err error) error {
	if timedOut(err) {
		return &RequestError{Status: http.StatusRequestTimeout, Reason: "timeout while reading the request"}
	}
	return err
}

func timedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

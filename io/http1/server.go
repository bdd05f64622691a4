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

	"guavapaddle/io/tcp"
)

const (
	// DefaultHeaderBytes bounds a request head, in bytes.
	DefaultHeaderBytes = 16 << 10
	// DefaultBodyBytes bounds a request body, in bytes.
	DefaultBodyBytes = 4 << 20
	// DefaultHeaderTimeout bounds the reading of a head.
	DefaultHeaderTimeout = 3 * time.Second
	// DefaultIdleTimeout bounds the time between requests on a connection.
	DefaultIdleTimeout = 15 * time.Second

	readBuffer  = 4 << 10
	lingerTime  = 200 * time.Millisecond // for a client's bytes that cross our close
	lingerBytes = 1 << 20                // of them
	trailerMax  = 4 << 10                // bytes of trailing fields
	bodyTimeout = 10 * time.Second       // for a whole body; proper clients send it at once
)

type (
	// Handler answers requests. It must answer or abort each of them before it
	// returns.
	Handler interface {
		Handle(x *Exchange)
	}

	// Limits bound what a client may send. Zero fields take the defaults.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Server serves clients. Its exported fields are set before Serve.
	Server struct {
		Handler Handler
		Limits  func() Limits // of this moment
		Most    int           // connections; beyond it an idle one is closed, zero for no bound
		Refused func(err error)
		// AcceptFailed is called for a connection that could not be accepted,
		// may be nil. The server tries again.
		AcceptFailed func(err error)

		draining atomic.Bool
		stopping atomic.Bool
		mu       sync.Mutex
		conns    map[*serverConn]struct{}
		open     sync.WaitGroup
	}

	serverConn struct {
		s    *Server
		nc   net.Conn
		br   *bufio.Reader
		buf  []byte
		idle atomic.Bool
	}
)

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	tcp.Accept(l, func(nc net.Conn) {
		c := &serverConn{s: s, nc: nc, br: bufio.NewReaderSize(nc, readBuffer)}
		if !s.add(c) {
			_ = nc.Close()
			return
		}
		go c.run()
	}, s.AcceptFailed)
}

// Drain makes every further answer the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes idle connections and waits until open requests have ended,
// or ctx has.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	s.stopping.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		c.wake()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.open.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Open returns the number of connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) add(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Load() {
		return false
	}
	if s.conns == nil {
		s.conns = map[*serverConn]struct{}{}
	}
	if s.Most > 0 && len(s.conns) >= s.Most {
		for o := range s.conns {
			if o.wake() {
				break
			}
		}
	}
	s.conns[c] = struct{}{}
	s.open.Add(1)
	return true
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.open.Done()
}

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

// wake ends the wait of an idle connection for its next request.
func (c *serverConn) wake() bool {
	if !c.idle.Load() {
		return false
	}
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	return true
}

// run serves the requests of a connection one after the other.
func (c *serverConn) run() {
	defer c.s.remove(c)
	defer func() { _ = c.nc.Close() }()
	for {
		again, err := c.serveOne()
		if err != nil {
			c.refuse(err)
		}
		if !again || err != nil {
			c.linger()
			return
		}
	}
}

// serveOne waits for a request and serves it. It returns whether the
// connection stays open.
func (c *serverConn) serveOne() (bool, error) {
	l := c.s.limits()
	if !c.await(l.IdleTimeout) {
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
		return false, slow(err)
	}
	r, f, err := parseHead(head)
	if err != nil {
		return false, err
	}
	body, err := c.body(r, f, l)
	if err != nil {
		return false, slow(err)
	}
	return c.handle(&Exchange{Request: r, Body: body, Received: received, conn: c.nc, server: c.s}), nil
}

// await waits for the first byte of a request.
func (c *serverConn) await(timeout time.Duration) bool {
	if c.br.Buffered() > 0 {
		return true
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(timeout))
	c.idle.Store(true)
	if c.s.stopping.Load() {
		c.wake()
	}
	_, err := c.br.Peek(1)
	c.idle.Store(false)
	return err == nil
}

// handle runs the handler while it watches whether the client leaves.
func (c *serverConn) handle(x *Exchange) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x.ctx = ctx
	x.closing = x.Request.Close
	_ = c.nc.SetReadDeadline(time.Time{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := c.br.Peek(1); err != nil {
			cancel()
		}
	}()
	c.s.Handler.Handle(x)
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	<-watched
	if x.state != ended {
		return false
	}
	return !x.closing
}

// body reads the body of a request to its end.
func (c *serverConn) body(r *http.Request, f framing, l Limits) ([]byte, error) {
	if f.length > l.BodyBytes {
		return nil, &RequestError{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
	}
	if f.length == 0 && !f.chunked {
		return nil, nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	if !f.chunked {
		b := make([]byte, f.length)
		_, err := io.ReadFull(c.br, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.br), l.BodyBytes+1))
	switch {
	case err != nil && !timedOut(err) && !errors.Is(err, io.ErrUnexpectedEOF):
		return nil, bad("malformed chunk")
	case err != nil:
		return nil, err
	case int64(len(b)) > l.BodyBytes:
		return nil, &RequestError{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
	}
	return b, c.trailer()
}

// trailer reads the fields after the last chunk, which are not passed on.
func (c *serverConn) trailer() error {
	for n := 0; n < trailerMax; {
		line, err := c.br.ReadSlice('\n')
		n += len(line)
		if err != nil {
			return err
		}
		if string(line) == "\r\n" {
			return nil
		}
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return bad("line without carriage return")
		}
	}
	return &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "trailer too large"}
}

// refuse answers a request that can't be read; a client that has left, or sent
// no more than a part of a request, gets no answer.
func (c *serverConn) refuse(err error) {
	if c.s.Refused != nil {
		c.s.Refused(err)
	}
	var e *RequestError
	if !errors.As(err, &e) {
		return
	}
	x := &Exchange{Request: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, conn: c.nc, closing: true}
	_ = x.Respond(e.Status, http.Header{}, nil) // the connection is closed in any case
}

// linger closes the sending side and reads on for a moment: closing with
// unread bytes would reset the connection and take the answer away.
func (c *serverConn) linger() {
	t, ok := c.nc.(*net.TCPConn)
	if !ok || t.CloseWrite() != nil {
		return
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.br, lingerBytes)
}

// slow turns the timeout of a request that has begun into an answer.
func slow(err error) error {
	if timedOut(err) {
		return &RequestError{Status: http.StatusRequestTimeout, Reason: "request came too slowly"}
	}
	return err
}

func timedOut(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

const (
	protocol     = "guavapaddle/1"
	defaultIdle  = 30 * time.Second
	defaultDial  = time.Second
	defaultWrite = 3 * time.Second
	maxStreams   = 1 << 14
)

type (
	// TLSSource gives the TLS settings of this moment, so that keys can be
	// replaced while the node runs.
	TLSSource interface {
		// Server returns settings that demand a certificate of the peer.
		Server() *tls.Config
		// Client returns settings that check the peer against the same authority.
		Client() *tls.Config
	}

	// Endpoint is a node's end of all connections to other nodes.
	Endpoint struct {
		Address      string // IP:port to listen on
		TLS          TLSSource
		OnMessage    func(from string, f Frame)
		OnCall       func(ctx context.Context, from string, f Frame, s *Stream)
		IdleTimeout  time.Duration // silence that ends a connection, default 30 s
		DialTimeout  time.Duration // default 1 s
		WriteTimeout time.Duration // a peer that takes nothing for so long is lost, default 3 s

		transport *quic.Transport
		frames    traffic
		datagrams atomic.Uint64

		mu    sync.Mutex
		conns map[string]*dialled
	}

	// dialled is a connection to one address, or one that is being opened.
	dialled struct {
		ready chan struct{}
		conn  *quic.Conn
		err   error
	}

	// Stream is one end of a call.
	Stream struct {
		s    *quic.Stream
		r    *bufio.Reader
		e    *Endpoint
		peer string
		wmu  sync.Mutex
	}
)

// Listen opens the endpoint's UDP socket; the address may have port zero. It
// returns the address that others can dial.
func (e *Endpoint) Listen() (string, error) {
	a, err := net.ResolveUDPAddr("udp", e.Address)
	if err != nil {
		return "", &Error{Kind: Listen, Peer: e.Address, Err: err}
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return "", &Error{Kind: Listen, Peer: e.Address, Err: err}
	}
	e.IdleTimeout = orDefault(e.IdleTimeout, defaultIdle)
	e.DialTimeout = orDefault(e.DialTimeout, defaultDial)
	e.WriteTimeout = orDefault(e.WriteTimeout, defaultWrite)
	e.transport = &quic.Transport{Conn: &counted{UDPConn: c, sent: &e.datagrams}}
	e.conns = map[string]*dialled{}
	return c.LocalAddr().String(), nil
}

// Run accepts connections until ctx ends. Listen must have been called.
func (e *Endpoint) Run(ctx context.Context) error {
	settings := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := e.TLS.Server()
			c.NextProtos = []string{protocol}
			return c, nil
		},
	}
	l, err := e.transport.Listen(settings, e.quic())
	if err != nil {
		return &Error{Kind: Listen, Peer: e.Address, Err: err}
	}
	defer func() { _ = e.transport.Close() }()
	defer func() { _ = l.Close() }()
	for {
		c, err := l.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(&Error{Kind: Listen, Peer: e.Address, Err: err}, "accept")
		}
		go e.serve(ctx, c)
	}
}

// Send gives one message to the node at address and does not wait for it to be
// read.
func (e *Endpoint) Send(ctx context.Context, address string, f Frame) error {
	c, err := e.connection(ctx, address)
	if err != nil {
		return err
	}
	s, err := c.OpenUniStreamSync(ctx)
	if err != nil {
		e.drop(address, c)
		return &Error{Kind: Lost, Peer: address, Err: err}
	}
	_ = s.SetWriteDeadline(time.Now().Add(e.WriteTimeout))
	if err := WriteFrame(s, f); err != nil {
		s.CancelWrite(0)
		e.drop(address, c)
		return &Error{Kind: Lost, Peer: address, Err: err}
	}
	e.frames.countSent(f)
	return s.Close()
}

// Open starts a call to the node at address with f as its first frame. An
// error of kind Unreachable means that nothing of f was sent.
func (e *Endpoint) Open(ctx context.Context, address string, f Frame) (*Stream, error) {
	c, err := e.connection(ctx, address)
	if err != nil {
		return nil, err
	}
	dial, cancel := context.WithTimeout(ctx, e.DialTimeout)
	defer cancel()
	qs, err := c.OpenStreamSync(dial)
	if err != nil {
		e.drop(address, c)
		return nil, &Error{Kind: Unreachable, Peer: address, Err: err}
	}
	s := &Stream{s: qs, r: bufio.NewReader(qs), e: e, peer: address}
	if err := s.Write(f); err != nil {
		s.Cancel()
		return nil, err
	}
	return s, nil
}

// connection returns the open connection to address or dials one; callers that
// come while it is being dialled share it.
func (e *Endpoint) connection(ctx context.Context, address string) (*quic.Conn, error) {
	e.mu.Lock()
	d := e.conns[address]
	if d == nil || d.broken() {
		d = &dialled{ready: make(chan struct{})}
		e.conns[address] = d
		go e.dial(address, d)
	}
	e.mu.Unlock()
	select {
	case <-d.ready:
	case <-ctx.Done():
		return nil, &Error{Kind: Unreachable, Peer: address, Err: ctx.Err()}
	}
	if d.err != nil {
		return nil, &Error{Kind: Unreachable, Peer: address, Err: d.err}
	}
	return d.conn, nil
}

// broken tells whether a dial failed or its connection has ended.
func (d *dialled) broken() bool {
	select {
	case <-d.ready:
		return d.err != nil || d.conn.Context().Err() != nil
	default:
		return false
	}
}

func (e *Endpoint) dial(address string, d *dialled) {
	defer close(d.ready)
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		d.err = err
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.DialTimeout)
	defer cancel()
	settings := e.TLS.Client()
	settings.NextProtos = []string{protocol}
	d.conn, d.err = e.transport.Dial(ctx, a, settings, e.quic())
}

// drop closes a connection that failed, so that the next use dials anew.
func (e *Endpoint) drop(address string, c *quic.Conn) {
	_ = c.CloseWithError(0, "")
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.conns[address]; d != nil && d.broken() {
		delete(e.conns, address)
	}
}

// Renew makes the next use of an address dial anew, because the connection may
// have gone silent. What still goes over the old one goes on; it ends after
// IdleTimeout if it is silent.
func (e *Endpoint) Renew(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.conns[address]; d != nil && d.opened() {
		delete(e.conns, address)
	}
}

// opened tells whether a dial has ended.
func (d *dialled) opened() bool {
	select {
	case <-d.ready:
		return true
	default:
		return false
	}
}

// Forget closes the connection to an address, whose process began anew.
func (e *Endpoint) Forget(address string) {
	e.mu.Lock()
	d := e.conns[address]
	delete(e.conns, address)
	e.mu.Unlock()
	if d == nil {
		return
	}
	<-d.ready
	if d.conn != nil {
		_ = d.conn.CloseWithError(0, "")
	}
}

func (e *Endpoint) quic() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        e.IdleTimeout,
		HandshakeIdleTimeout:  e.DialTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: maxStreams,
	}
}

// serve reads what the peer of one accepted connection starts.
func (e *Endpoint) serve(ctx context.Context, c *quic.Conn) {
	from := name(c)
	go func() {
		for {
			s, err := c.AcceptUniStream(ctx)
			if err != nil {
				return
			}
			go e.message(from, s)
		}
	}()
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			if ctx.Err() != nil {
				_ = c.CloseWithError(0, "")
			}
			return
		}
		go e.call(from, c, s)
	}
}

func (e *Endpoint) message(from string, s *quic.ReceiveStream) {
	_ = s.SetReadDeadline(time.Now().Add(e.IdleTimeout))
	f, err := ReadFrame(bufio.NewReader(s))
	if err != nil {
		s.CancelRead(0)
		return
	}
	e.frames.countReceived(f)
	e.OnMessage(from, f)
}

func (e *Endpoint) call(from string, c *quic.Conn, qs *quic.Stream) {
	s := &Stream{s: qs, r: bufio.NewReader(qs), e: e, peer: c.RemoteAddr().String()}
	_ = qs.SetReadDeadline(time.Now().Add(e.IdleTimeout))
	f, err := s.Read()
	if err != nil {
		s.Cancel()
		return
	}
	_ = qs.SetReadDeadline(time.Time{})
	e.OnCall(qs.Context(), from, f, s)
}

// name returns the node name in the peer's certificate.
func name(c *quic.Conn) string {
	certs := c.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}

// Write sends one frame.
func (s *Stream) Write(f Frame) error {
	s.wmu.Lock()
	defer s.wmu.Unlock()
	_ = s.s.SetWriteDeadline(time.Now().Add(s.e.WriteTimeout))
	if err := WriteFrame(s.s, f); err != nil {
		return s.fail(err)
	}
	s.e.frames.countSent(f)
	return nil
}

// Read returns the next frame, or io.EOF once the peer has closed the stream.
func (s *Stream) Read() (Frame, error) {
	f, err := ReadFrame(s.r)
	if err != nil {
		return Frame{}, s.fail(err)
	}
	s.e.frames.countReceived(f)
	return f, nil
}

// Close ends the own side of the stream.
func (s *Stream) Close() error { return s.s.Close() }

// ReadBy makes Read fail from a time on, one under way included.
func (s *Stream) ReadBy(at time.Time) { _ = s.s.SetReadDeadline(at) }

// Drain waits until the peer has closed its side, at most for d. No
// other goroutine may read.
func (s *Stream) Drain(d time.Duration) {
	_ = s.s.SetReadDeadline(time.Now().Add(d))
	for {
		if _, err := s.Read(); err != nil {
			return
		}
	}
}

// CancelRead makes Read fail and leaves what was written to arrive.
func (s *Stream) CancelRead() { s.s.CancelRead(0) }

// Cancel ends both sides at once.
func (s *Stream) Cancel() {
	s.s.CancelRead(0)
	s.s.CancelWrite(0)
}

// Context ends when the peer gives up reading the stream, cancels it, or when
// the connection breaks.
func (s *Stream) Context() context.Context { return s.s.Context() }

// fail gives an error of the stream its kind.
func (s *Stream) fail(err error) error {
	if isEnd(err) {
		return err
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return &Error{Kind: Lost, Peer: s.peer, Err: err}
}

func orDefault(d, v time.Duration) time.Duration {
	if d == 0 {
		return v
	}
	return d
}

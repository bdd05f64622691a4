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

	"guavapaddle/internal/lag"
)

const (
	protocol            = "guavapaddle/1"
	defaultIdleTimeout  = 30 * time.Second
	defaultDialTimeout  = time.Second
	defaultWriteTimeout = 3 * time.Second
	maxStreams          = 1 << 14
)

type (
	// TLSSource returns the current TLS configuration, so that keys can be replaced while
	// the node runs.
	TLSSource interface {
		// Server returns a configuration that requires a certificate from the peer.
		Server() *tls.Config
		// Client returns a configuration that verifies the peer against the same authority.
		Client() *tls.Config
	}

	// Endpoint manages all connections between this node and the other nodes.
	Endpoint struct {
		Address   string // IP:port to listen on
		TLS       TLSSource
		OnMessage func(from string, f Frame)
		OnCall    func(ctx context.Context, from string, f Frame, s *Stream)
		// Accept reports whether a connection from an address is accepted while the given number of
		// accepted ones is open; nil for always. A refused one costs no handshake.
		Accept       func(address string, open int) bool
		IdleTimeout  time.Duration // idle time after which a connection is closed, default 30 s
		DialTimeout  time.Duration // default 1 s
		WriteTimeout time.Duration // limit of one write, after which the peer counts as lost, default 3 s

		transport     *quic.Transport
		frameBytes    frameTraffic
		datagramBytes atomic.Uint64
		accepted      atomic.Int64 // open connections that other nodes have dialled

		mu    sync.Mutex
		conns map[string]*dialledConn
	}

	// dialledConn is a connection to one address, or a dial in progress.
	dialledConn struct {
		ready chan struct{}
		conn  *quic.Conn
		err   error
	}

	// Stream is one end of a call.
	Stream struct {
		s       *quic.Stream
		r       *bufio.Reader
		e       *Endpoint
		peer    string
		writeMu sync.Mutex
	}
)

// Listen opens the endpoint's UDP socket. The address may have port zero. Listen returns the
// address that other nodes can dial.
func (e *Endpoint) Listen() (string, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", e.Address)
	if err != nil {
		return "", &Error{Kind: Listen, Peer: e.Address, Err: err}
	}
	c, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return "", &Error{Kind: Listen, Peer: e.Address, Err: err}
	}
	e.IdleTimeout = orDefault(e.IdleTimeout, defaultIdleTimeout)
	e.DialTimeout = orDefault(e.DialTimeout, defaultDialTimeout)
	e.WriteTimeout = orDefault(e.WriteTimeout, defaultWriteTimeout)
	e.transport = &quic.Transport{Conn: &countingConn{UDPConn: c, sent: &e.datagramBytes}, ConnContext: e.admit}
	e.conns = map[string]*dialledConn{}
	return c.LocalAddr().String(), nil
}

// admit counts a connection that another node dials, or refuses it.
func (e *Endpoint) admit(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	address := info.RemoteAddr.String()
	if e.Accept != nil && !e.Accept(address, int(e.accepted.Load())) {
		return nil, &Error{Kind: Refused, Peer: address}
	}
	e.accepted.Add(1)
	context.AfterFunc(ctx, func() { e.accepted.Add(-1) })
	return ctx, nil
}

// Run accepts connections until ctx ends. Listen must have been called before.
func (e *Endpoint) Run(ctx context.Context) error {
	tlsConfig := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := e.TLS.Server()
			c.NextProtos = []string{protocol}
			return c, nil
		},
	}
	l, err := e.transport.Listen(tlsConfig, e.quic())
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

// Send sends one message to the node at address. It does not wait until the message is read.
func (e *Endpoint) Send(ctx context.Context, address string, f Frame) error {
	c, err := e.connection(ctx, address)
	if err != nil {
		return err
	}
	s, err := c.OpenUniStreamSync(ctx)
	if err != nil {
		e.discardUnlessGivenUp(ctx, address, c)
		return &Error{Kind: Lost, Peer: address, Err: err}
	}
	_ = s.SetWriteDeadline(time.Now().Add(e.WriteTimeout))
	if err := WriteFrame(s, f); err != nil {
		s.CancelWrite(0)
		e.discard(address, c)
		return &Error{Kind: Lost, Peer: address, Err: err}
	}
	e.frameBytes.countSent(f)
	return s.Close()
}

// Open starts a call to the node at address with f as its first frame. An error of kind
// Unreachable means that no part of f was sent.
func (e *Endpoint) Open(ctx context.Context, address string, f Frame) (*Stream, error) {
	c, err := e.connection(ctx, address)
	if err != nil {
		return nil, err
	}
	openCtx, cancel := lag.WithTimeout(ctx, e.DialTimeout)
	defer cancel()
	qs, err := c.OpenStreamSync(openCtx)
	if err != nil {
		e.discardUnlessGivenUp(ctx, address, c)
		return nil, &Error{Kind: Unreachable, Peer: address, Err: err}
	}
	s := &Stream{s: qs, r: bufio.NewReader(qs), e: e, peer: address}
	if err := s.Write(f); err != nil {
		s.Cancel()
		return nil, err
	}
	return s, nil
}

// connection returns the open connection to address or dials one. Concurrent callers share a
// dial in progress.
func (e *Endpoint) connection(ctx context.Context, address string) (*quic.Conn, error) {
	e.mu.Lock()
	d := e.conns[address]
	if d == nil || d.failed() {
		d = &dialledConn{ready: make(chan struct{})}
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

// failed reports whether the dial failed or the connection has ended.
func (d *dialledConn) failed() bool {
	select {
	case <-d.ready:
		return d.err != nil || d.conn.Context().Err() != nil
	default:
		return false
	}
}

// dial opens a connection to address and stores the result in d.
func (e *Endpoint) dial(address string, d *dialledConn) {
	defer close(d.ready)
	udpAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		d.err = err
		return
	}
	ctx, cancel := lag.WithTimeout(context.Background(), e.DialTimeout)
	defer cancel()
	tlsConfig := e.TLS.Client()
	tlsConfig.NextProtos = []string{protocol}
	d.conn, d.err = e.transport.Dial(ctx, udpAddr, tlsConfig, e.quic())
}

// discardUnlessGivenUp discards a connection on which no stream could be opened, unless the caller has given up: that doesn't show that the
// connection has failed.
func (e *Endpoint) discardUnlessGivenUp(ctx context.Context, address string, c *quic.Conn) {
	if ctx.Err() == nil {
		e.discard(address, c)
	}
}

// discard closes a connection that failed, so that the next use of the address dials again. It ends all other streams on it too.
func (e *Endpoint) discard(address string, c *quic.Conn) {
	_ = c.CloseWithError(0, "")
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.conns[address]; d != nil && d.failed() {
		delete(e.conns, address)
	}
}

// Redial makes the next use of an address dial again, because the connection may have become
// unresponsive. Streams that are open on the old connection continue; it is closed after it
// has been idle for IdleTimeout.
func (e *Endpoint) Redial(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.conns[address]; d != nil && d.dialDone() {
		delete(e.conns, address)
	}
}

// dialDone reports whether the dial has finished.
func (d *dialledConn) dialDone() bool {
	select {
	case <-d.ready:
		return true
	default:
		return false
	}
}

// CloseConn closes the connection to an address whose process has restarted.
func (e *Endpoint) CloseConn(address string) {
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

// quic returns the QUIC configuration.
func (e *Endpoint) quic() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        e.IdleTimeout,
		HandshakeIdleTimeout:  lag.Extend(e.DialTimeout),
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: maxStreams,
	}
}

// serve handles the streams that the peer opens on an accepted connection.
func (e *Endpoint) serve(ctx context.Context, c *quic.Conn) {
	from := peerName(c)
	go func() {
		for {
			s, err := c.AcceptUniStream(ctx)
			if err != nil {
				return
			}
			go e.handleMessage(from, s)
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
		go e.handleCall(from, c, s)
	}
}

// handleMessage reads the frame of a unidirectional stream and passes it to OnMessage.
func (e *Endpoint) handleMessage(from string, s *quic.ReceiveStream) {
	_ = s.SetReadDeadline(time.Now().Add(e.IdleTimeout))
	f, err := ReadFrame(bufio.NewReader(s))
	if err != nil {
		s.CancelRead(0)
		return
	}
	e.frameBytes.countReceived(f)
	e.OnMessage(from, f)
}

// handleCall reads the first frame of a bidirectional stream and passes the call to OnCall.
func (e *Endpoint) handleCall(from string, c *quic.Conn, qs *quic.Stream) {
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

// peerName returns the node name in the peer's certificate.
func peerName(c *quic.Conn) string {
	certs := c.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}

// Write sends one frame.
func (s *Stream) Write(f Frame) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_ = s.s.SetWriteDeadline(time.Now().Add(s.e.WriteTimeout))
	if err := WriteFrame(s.s, f); err != nil {
		return s.wrapError(err)
	}
	s.e.frameBytes.countSent(f)
	return nil
}

// Read returns the next frame, or io.EOF once the peer has closed its side.
func (s *Stream) Read() (Frame, error) {
	f, err := ReadFrame(s.r)
	if err != nil {
		return Frame{}, s.wrapError(err)
	}
	s.e.frameBytes.countReceived(f)
	return f, nil
}

// Close closes this side of the stream.
func (s *Stream) Close() error { return s.s.Close() }

// SetReadDeadline sets a deadline for Read, including a Read in progress.
func (s *Stream) SetReadDeadline(at time.Time) { _ = s.s.SetReadDeadline(at) }

// Drain waits until the peer has closed its side, at most for d. No other goroutine may read
// concurrently.
func (s *Stream) Drain(d time.Duration) {
	_ = s.s.SetReadDeadline(time.Now().Add(d))
	for {
		if _, err := s.Read(); err != nil {
			return
		}
	}
}

// CancelRead makes Read fail. Frames that were already written are still delivered.
func (s *Stream) CancelRead() { s.s.CancelRead(0) }

// Cancel aborts both directions of the stream immediately.
func (s *Stream) Cancel() {
	s.s.CancelRead(0)
	s.s.CancelWrite(0)
}

// Context returns a context that ends when the peer stops reading or cancels the stream, or
// when the connection breaks.
func (s *Stream) Context() context.Context { return s.s.Context() }

// wrapError returns io.EOF and an *Error unchanged and wraps any other error in an *Error of
// kind Lost.
func (s *Stream) wrapError(err error) error {
	if isEOF(err) {
		return err
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return &Error{Kind: Lost, Peer: s.peer, Err: err}
}

// orDefault returns d, or v if d is zero.
func orDefault(d, v time.Duration) time.Duration {
	if d == 0 {
		return v
	}
	return d
}

package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"guavapaddle/internal/lag"
)

const (
	// dialTimeout bounds the opening of a connection to a backend server. Within a region it
	// takes a few milliseconds; a server without power never responds.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout bounds how long sent bytes, and keep-alive probes, may stay unacknowledged before the connection
	// is considered broken. A working server may be silent for a second or so. Where it is set, it also
	// decides when probes give up, whatever their number, by the time since the last byte or acknowledgement was
	// received: a server whose silence begins just before a probe is lost only after
	// ackTimeout - keepAliveInterval.
	ackTimeout = 2500 * time.Millisecond
	// keepAliveInterval is the time without received bytes before the first probe, and between probes.
	keepAliveInterval = time.Second
	// defaultKeepAlive is how long an idle connection is kept if the server sends no
	// Keep-Alive timeout.
	defaultKeepAlive = 4 * time.Second
	// maxInlineBody is the size up to which a body is sent before the response is read.
	// Longer bodies are sent concurrently, since a server may respond before it has read the
	// whole body.
	maxInlineBody = 16 << 10
	// maxResponseHead bounds the head of a response, with the informational responses before it, in bytes.
	maxResponseHead = 64 << 10
	// unreservedBody is the length up to which a body is buffered without a reservation, and the step of reservations, in bytes.
	unreservedBody = 64 << 10
	// bufferGrowth is by how much the capacity of a buffer may exceed what it holds, as it doubles when it grows.
	bufferGrowth = 2
)

var (
	// ErrTrailingData reports that a connection carried bytes that belong to no response.
	ErrTrailingData = errors.New("http1: unexpected bytes after the response")
	// ErrHeadTooLong reports a response whose head, with the informational responses before it, exceeds 64 KiB.
	ErrHeadTooLong = errors.New("http1: head of the response too long")
	// ErrBodyTooLong reports a response body that exceeds its limit, or for which there is no room beside those that are being read.
	ErrBodyTooLong = errors.New("http1: body of the response too long")
)

type (
	// ClientRequest is a request to a backend server.
	ClientRequest struct {
		Method string
		Target string // path and query, unmodified from the client's request
		Host   string
		Header http.Header
		Body   []byte
	}

	// Pool keeps idle connections to backend servers for reuse. The zero value is ready to
	// use.
	Pool struct {
		Opened atomic.Int64 // connections opened in total
		// Dial opens a connection to a backend server; nil for Dial of this package. It must be set
		// before the first call.
		Dial func(ctx context.Context, address string) (net.Conn, error)

		mu   sync.Mutex
		idle map[string][]*Conn // by address, most recently used last
	}

	// Conn is a connection to a backend server that carries one request at a time.
	Conn struct {
		Reused bool

		address     string
		nc          net.Conn
		br          *bufio.Reader
		head        *headLimiter  // below br
		idleSince   time.Time     // end of the last response
		idleLimit   time.Duration // maximum idle time
		method      string
		bodySent    chan error // result of sending the body concurrently with reading the response
		bodyPending bool
	}
)

// Get returns a pooled connection to address that has been idle for less than maxIdle, or
// opens a new one. If forceNew is set, it always opens a new one.
func (p *Pool) Get(ctx context.Context, address string, maxIdle time.Duration, forceNew bool) (*Conn, error) {
	now := time.Now()
	for !forceNew {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if idle := now.Sub(c.idleSince); idle < min(maxIdle, c.idleLimit) && c.stillIdle() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	dial := p.Dial
	if dial == nil {
		dial = Dial
	}
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.Opened.Add(1)
	head := &headLimiter{r: nc}
	return &Conn{address: address, nc: nc, head: head, br: bufio.NewReaderSize(head, readBuffer)}, nil
}

// Dial opens a TCP connection to a backend server.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: lag.Extend(dialTimeout), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1 + int(ackTimeout/keepAliveInterval)}, Control: setUserTimeout}
	trip := lag.BeginRoundTrip(address)
	c, err := d.DialContext(ctx, "tcp4", address)
	trip.EndWith(err)
	return c, err
}

// Through returns the name of the node that passes the connection's bytes on, empty if it is open from this
// node to the server.
func (c *Conn) Through() string {
	if t, ok := c.nc.(interface{ Through() string }); ok {
		return t.Through()
	}
	return ""
}

// Put returns a connection to the pool for reuse if its response allows it, and closes it
// otherwise. The body of the response must have been read to its end. A connection through another node is
// never reused, as it can't be seen whether it is idle.
func (p *Pool) Put(c *Conn, resp *http.Response) error {
	if c.br.Buffered() > 0 {
		c.Close()
		return ErrTrailingData
	}
	if c.Through() != "" || resp.Close || c.bodyPending || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.StatusCode != http.StatusNoContent {
		c.Close()
		return nil
	}
	c.idleLimit = keepAliveTimeout(resp.Header)
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	return nil
}

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// DropAll closes all idle connections.
func (p *Pool) DropAll() {
	p.mu.Lock()
	addresses := slices.Collect(maps.Keys(p.idle))
	p.mu.Unlock()
	for _, a := range addresses {
		p.Drop(a)
	}
}

// Sweep closes connections that exceeded their maximum idle time.
func (p *Pool) Sweep() {
	now := time.Now()
	var expired []*Conn
	p.mu.Lock()
	for a, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if p.idle[a] = kept; len(kept) == 0 {
			delete(p.idle, a)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection to address, or nil.
func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Close closes the connection, which cancels the server's work on the current request.
func (c *Conn) Close() { _ = c.nc.Close() }

// Send writes a request. wrote reports whether any byte may have reached the server; if it
// is false, the server cannot have run the request.
func (c *Conn) Send(request ClientRequest, deadline time.Time) (wrote bool, err error) {
	_ = c.nc.SetDeadline(deadline)
	var buf bytes.Buffer
	buf.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.WriteSubset(&buf, hopByHop) // writes to a bytes.Buffer do not fail
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	c.method = request.Method
	if len(request.Body) <= maxInlineBody {
		buf.Write(request.Body)
		n, err := c.nc.Write(buf.Bytes())
		return n > 0, err
	}
	n, err := c.nc.Write(buf.Bytes())
	if err != nil {
		return n > 0, err
	}
	c.bodySent = make(chan error, 1)
	c.bodyPending = true
	go func() {
		_, err := c.nc.Write(request.Body)
		c.bodySent <- err
	}()
	return true, nil
}

// Receive reads the head of the response. Informational responses are skipped. The error is ErrHeadTooLong if there is no end of the head.
func (c *Conn) Receive() (*http.Response, error) {
	c.head.limit(maxResponseHead)
	defer c.head.lift()
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: c.method})
		if c.head.exceeded {
			return nil, ErrHeadTooLong
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// SetReadDeadline sets the deadline for reading the response.
func (c *Conn) SetReadDeadline(at time.Time) { _ = c.nc.SetReadDeadline(at) }

// CheckBodySent records, without blocking, whether a body that is sent concurrently has been
// written completely. A connection whose request was not written completely is never reused.
func (c *Conn) CheckBodySent() {
	if !c.bodyPending {
		return
	}
	select {
	case err := <-c.bodySent:
		c.bodyPending = err != nil
	default:
	}
}

// stillIdle reports whether an idle connection is open and has no unread bytes: any byte
// would belong to a response that was not requested.
func (c *Conn) stillIdle() bool {
	tcp, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return empty && err == nil
}

// setUserTimeout makes the kernel close a connection whose bytes stay unacknowledged for
// ackTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// keepAliveTimeout returns how long the server keeps an idle connection open, reduced by
// 700 ms for the transmission delay.
func keepAliveTimeout(h http.Header) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - 700*time.Millisecond
		}
	}
	return defaultKeepAlive
}

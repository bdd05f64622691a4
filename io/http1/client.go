package http1

import (
	"bufio"
	"bytes"
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"guavapaddle/core/recent"
	"guavapaddle/internal/lag"
	"guavapaddle/io/responsehead"
	"guavapaddle/io/tcp"
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

	// Conn is a connection to a backend server that carries one request at a time.
	Conn struct {
		Reused bool
		// Opening is why the connection was opened in place of using one of the pool, and Idle how long a reused one was idle, or the
		// last one that couldn't be used.
		Opening Opening
		Idle    time.Duration

		pool        *Pool
		ended       atomic.Bool // it is no longer counted as open
		address     string
		nc          net.Conn
		br          *bufio.Reader
		head        *headReader   // below br
		idleSince   time.Time     // end of the last response
		idleLimit   time.Duration // maximum idle time
		carried     recent.IDs    // ids of its requests
		entry       *list.Element // in the pool's list of idle connections, nil while it carries a request
		method      string
		bodySent    chan error // result of sending the body concurrently with reading the response
		bodyPending bool
	}
)

// Dial opens a TCP connection to a backend server, a *tcp.Conn.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: lag.Extend(dialTimeout), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1 + int(ackTimeout/keepAliveInterval)}, Control: setUserTimeout}
	trip := lag.BeginRoundTrip(address)
	c, err := d.DialContext(ctx, "tcp4", address)
	if trip.EndWith(err); err != nil {
		return nil, err
	}
	return &tcp.Conn{TCPConn: c.(*net.TCPConn)}, nil
}

// Through returns the name of the node that passes the connection's bytes on, empty if it is open from this
// node to the server.
func (c *Conn) Through() string {
	if t, ok := c.nc.(interface{ Through() string }); ok {
		return t.Through()
	}
	return ""
}

// Local returns this node's address on the connection, which identifies it among those to its server. It is empty for a connection through another node.
func (c *Conn) Local() string { return c.nc.LocalAddr().String() }

// Close closes the connection, which cancels the server's work on the current request.
func (c *Conn) Close() {
	_ = c.nc.Close()
	if c.pool != nil && c.ended.CompareAndSwap(false, true) {
		c.pool.recordEnd(c.address, Ended)
	}
}

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

// Receive reads the head of the response. Informational responses are skipped. The error is ErrHeadTooLong if there is no end of the head, and a
// *responsehead.MalformedError if it is malformed.
func (c *Conn) Receive() (*http.Response, error) {
	first, _ := c.br.Peek(c.br.Buffered()) // can't fail
	if err := c.head.begin(maxResponseHead, first); err != nil {
		return nil, err
	}
	defer c.head.end()
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: c.method})
		switch {
		case c.head.exceeded:
			return nil, ErrHeadTooLong
		case err != nil && c.head.scanner.Done():
			return nil, &responsehead.MalformedError{Reason: err.Error()}
		case err != nil:
			return nil, err
		case resp.StatusCode >= http.StatusOK:
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

// idleState is what has become of an idle connection.
type idleState int

const (
	idleOpen   idleState = iota // open, without unread bytes
	idleClosed                  // the server has closed it
	idleReset                   // it was reset, or its state can't be found out
	idleBytes                   // it has bytes that belong to no response that was requested
)

// idleState returns the state of an idle connection.
func (c *Conn) idleState() idleState {
	tcp, ok := c.nc.(syscall.Conn)
	if !ok {
		return idleReset
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return idleReset
	}
	state := idleReset
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), b[:])
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = idleOpen
		case err == nil && n == 0:
			state = idleClosed
		case err == nil:
			state = idleBytes
		}
		return true
	})
	if err != nil {
		return idleReset
	}
	return state
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

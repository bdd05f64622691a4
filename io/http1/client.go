package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection to a backend server. Within
	// a region it takes a few milliseconds; a server without power never answers.
	dialTimeout = 300 * time.Millisecond
	// silence bounds how long sent bytes may stay unacknowledged before the
	// connection counts as broken.
	silence = 1500 * time.Millisecond
	// defaultKeep is how long an idle connection is kept when the server
	// doesn't say.
	defaultKeep = 4 * time.Second
	// inlineBody is the size up to which a body is sent before the answer is
	// awaited; longer ones are sent beside it, since a server may answer first.
	inlineBody = 16 << 10
)

// ErrMore means that a connection carried bytes that belong to no answer.
var ErrMore = errors.New("http1: bytes after the answer")

type (
	// Outgoing is a request to a backend server.
	Outgoing struct {
		Method string
		Target string // path and query as the client sent them
		Host   string
		Header http.Header
		Body   []byte
	}

	// Pool keeps idle connections to backend servers. The zero value is ready.
	Pool struct {
		Opened atomic.Int64 // connections opened so far

		mu   sync.Mutex
		idle map[string][]*Conn // by address, the last used at the end
	}

	// Conn is a connection to a backend server that carries one request at a
	// time.
	Conn struct {
		Reused bool

		address string
		nc      *net.TCPConn
		br      *bufio.Reader
		since   time.Time     // of the end of the last answer
		keep    time.Duration // how long it may be idle
		method  string
		sent    chan error // result of a body that is sent beside the answer
		sending bool
	}
)

// Get returns a connection to address that was idle for less than maxIdle, or
// a new one. fresh demands a new one.
func (p *Pool) Get(ctx context.Context, address string, maxIdle time.Duration, fresh bool) (*Conn, error) {
	now := time.Now()
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if idle := now.Sub(c.since); idle < min(maxIdle, c.keep) && c.quiet() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}, Control: userTimeout}
	nc, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.Opened.Add(1)
	return &Conn{address: address, nc: nc.(*net.TCPConn), br: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// Put keeps the connection for the next request if its answer allows it. The
// answer's body must have been read to its end.
func (p *Pool) Put(c *Conn, resp *http.Response) error {
	if c.br.Buffered() > 0 {
		c.Close()
		return ErrMore
	}
	if resp.Close || c.sending || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.StatusCode != http.StatusNoContent {
		c.Close()
		return nil
	}
	c.keep = keepAlive(resp.Header)
	c.since = time.Now()
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

// Sweep closes connections that were idle for longer than they may be.
func (p *Pool) Sweep() {
	now := time.Now()
	var old []*Conn
	p.mu.Lock()
	for a, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.since) < c.keep {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[a] = kept; len(kept) == 0 {
			delete(p.idle, a)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

func (p *Pool) take(address string) *Conn {
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

// Close closes the connection, which cancels the server's work on it.
func (c *Conn) Close() { _ = c.nc.Close() }

// Send writes a request. wrote tells whether any byte may have reached the
// server; if not, it can't have run.
func (c *Conn) Send(o Outgoing, deadline time.Time) (wrote bool, err error) {
	_ = c.nc.SetDeadline(deadline)
	var b bytes.Buffer
	b.WriteString(o.Method + " " + o.Target + " HTTP/1.1\r\nHost: " + o.Host + "\r\n")
	_ = o.Header.WriteSubset(&b, hopByHop) // a bytes.Buffer takes all
	if len(o.Body) > 0 || o.Method == http.MethodPost || o.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(o.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	c.method = o.Method
	if len(o.Body) <= inlineBody {
		b.Write(o.Body)
		n, err := c.nc.Write(b.Bytes())
		return n > 0, err
	}
	n, err := c.nc.Write(b.Bytes())
	if err != nil {
		return n > 0, err
	}
	c.sent = make(chan error, 1)
	c.sending = true
	go func() {
		_, err := c.nc.Write(o.Body)
		c.sent <- err
	}()
	return true, nil
}

// Receive reads the head of the answer.
func (c *Conn) Receive() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: c.method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// ReadBy bounds the reading of the answer.
func (c *Conn) ReadBy(at time.Time) { _ = c.nc.SetReadDeadline(at) }

// Settle waits for nothing: it notes whether a body that was sent beside the
// answer is out whole. A connection whose request isn't is never used again.
func (c *Conn) Settle() {
	if !c.sending {
		return
	}
	select {
	case err := <-c.sent:
		c.sending = err != nil
	default:
	}
}

// quiet tells whether an idle connection is open and nothing has arrived on
// it: a byte would be part of an answer that nobody asked for.
func (c *Conn) quiet() bool {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	ok := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		ok = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return ok && err == nil
}

// userTimeout makes the kernel break a connection whose bytes are not
// acknowledged.
func userTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// keepAlive returns for how long a server keeps a connection open, less a part
// for the way.
func keepAlive(h http.Header) time.Duration {
	for f := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		n, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		if s, err := strconv.Atoi(v); err == nil && strings.EqualFold(n, "timeout") {
			return time.Duration(s)*time.Second - 700*time.Millisecond
		}
	}
	return defaultKeep
}

// ReadBody reads a body of at most limit bytes to its end.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = io.ErrShortBuffer
	}
	return b, err
}

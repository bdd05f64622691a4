package jsonhttp

import (
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// conn is a connection that knows whether anything was written to it.
type conn struct {
	net.Conn
	traffic *Traffic // may be nil
	mu      sync.Mutex
	writes  uint64
	sealed  bool
}

// Write writes b unless the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.traffic.add(n, 0)
	return n, err
}

// Read reads into b.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.add(0, n)
	return n, err
}

// count returns how often something was written.
func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection and returns how often something was written. The
// figure is final.
func (c *conn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	n := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return n
}

// attempt is a connection that a call was given and its writes before that.
type attempt struct {
	conn   *conn
	before uint64
}

// tracker records the connections that a call was given, and how far it got.
type tracker struct {
	began time.Time

	mu       sync.Mutex
	progress Progress
	attempts []attempt
	foreign  bool // a connection of unknown type: nothing can be proved
}

// trace returns the hooks by which the transport reports to t.
func (t *tracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.progress.Connected = time.Since(t.began)
			c, ok := i.Conn.(*conn)
			if !ok {
				t.foreign = true
				return
			}
			t.attempts = append(t.attempts, attempt{conn: c, before: c.count()})
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			if i.Err == nil {
				t.progress.Written = time.Since(t.began)
			}
		},
		GotFirstResponseByte: func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.progress.Answered = time.Since(t.began)
		},
	}
}

// failed returns how far a call got that fails now.
func (t *tracker) failed() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.progress
	p.Failed = time.Since(t.began)
	return p
}

// abandon seals all connections of a failed call and tells whether any byte of
// the call was written.
func (t *tracker) abandon() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.foreign
	for _, a := range t.attempts {
		if a.conn.seal() != a.before {
			sent = true
		}
	}
	return sent
}

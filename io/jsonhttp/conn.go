package jsonhttp

import (
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"guavapaddle/io/responsehead"
)

// conn is a connection that counts writes, can be sealed against further ones, and checks the heads of responses, which the transport
// doesn't do in full.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
	head   responsehead.Scanner // of the response that is being read
}

// Read reads into b. The error is a *responsehead.MalformedError if that completes a line of a response's head that is malformed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if malformed := c.head.Scan(b[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// begin makes the connection check the head of the next response.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Done() {
		c.head.Reset()
	}
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
	return c.Conn.Write(b)
}

// writeCount returns the number of writes.
func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection, prevents further writes, and returns the final number of
// writes.
func (c *conn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	n := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return n
}

// attempt is a connection that the transport selected for a call, with the number of writes
// at that time.
type attempt struct {
	conn         *conn
	writesBefore uint64
}

// tracker records the connections that were used for a call and the call's progress.
type tracker struct {
	start time.Time

	mu          sync.Mutex
	progress    Progress
	attempts    []attempt
	unknownConn bool // a connection of another type was used, so the call has to be considered sent
}

// trace returns the hooks by which the transport reports to t.
func (t *tracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.progress.Connected = time.Since(t.start)
			c, ok := i.Conn.(*conn)
			if !ok {
				t.unknownConn = true
				return
			}
			c.begin()
			t.attempts = append(t.attempts, attempt{conn: c, writesBefore: c.writeCount()})
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			if i.Err == nil {
				t.progress.Written = time.Since(t.start)
			}
		},
		GotFirstResponseByte: func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.progress.FirstByte = time.Since(t.start)
		},
	}
}

// failureProgress returns the progress of a call that has just failed.
func (t *tracker) failureProgress() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.progress
	p.Failed = time.Since(t.start)
	return p
}

// sealAll seals all connections of a failed call and reports whether any byte of the call
// may have been written.
func (t *tracker) sealAll() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.unknownConn
	for _, a := range t.attempts {
		if a.conn.seal() != a.writesBefore {
			sent = true
		}
	}
	return sent
}

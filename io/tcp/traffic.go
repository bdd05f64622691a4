package tcp

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes, including headers, that are written to and read from connections, without TCP and IP
// overhead. Several connections may share one Traffic. The zero value is ready to use.
type Traffic struct{ sent, received atomic.Uint64 }

// Bytes returns the number of bytes sent and received since the start.
func (t *Traffic) Bytes() (sent, received uint64) { return t.sent.Load(), t.received.Load() }

// Add counts bytes. It does nothing on a nil Traffic.
func (t *Traffic) Add(sent, received int) {
	if t != nil {
		t.sent.Add(uint64(max(sent, 0)))
		t.received.Add(uint64(max(received, 0)))
	}
}

// Count returns a connection that counts the bytes of c in t. It returns c if that is no TCP connection, or if t is nil.
func (t *Traffic) Count(c net.Conn) net.Conn {
	if tc, ok := c.(*net.TCPConn); ok && t != nil {
		return &Conn{TCPConn: tc, Traffic: t}
	}
	return c
}

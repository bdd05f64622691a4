package tunnel

import (
	"net"
	"time"

	"guavapaddle/io/peer"
)

// maxSilence is how long the callee of a tunnel may send nothing at all before it counts as lost.
const maxSilence = 3 * aliveInterval

type (
	// Conn is the caller's end of a tunnel. It implements net.Conn.
	Conn struct {
		stream   *peer.Stream
		node     string    // callee
		address  string    // of the server
		rest     []byte    // received and not yet read
		deadline time.Time // for reads, zero for none
		onClose  func()
	}

	// SilentError reports that the node at the other end of a tunnel doesn't respond any more.
	SilentError struct{ Node string }
)

// Error implements error.
func (e *SilentError) Error() string { return "tunnel: nothing from " + e.Node }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for len(c.rest) == 0 {
		silentAt := time.Now().Add(maxSilence)
		isLimited := !c.deadline.IsZero() && c.deadline.Before(silentAt)
		if isLimited {
			silentAt = c.deadline
		}
		c.stream.SetReadDeadline(silentAt)
		f, err := c.stream.Read()
		if err != nil && !isLimited && !time.Now().Before(silentAt) {
			return 0, &SilentError{Node: c.node}
		}
		if err != nil {
			return 0, err
		}
		c.rest = f.Body // empty if the callee only shows that it is alive
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		chunk := b[:min(len(b), maxChunk)]
		if err := c.stream.Write(peer.Frame{Kind: kindData, Body: chunk}); err != nil {
			return written, err
		}
		written += len(chunk)
		b = b[len(chunk):]
	}
	return written, nil
}

// Close implements net.Conn. The callee closes its connection to the server.
func (c *Conn) Close() error {
	c.stream.Cancel()
	c.onClose()
	return nil
}

// Through returns the name of the node that passes the bytes on.
func (c *Conn) Through() string { return c.node }

// LocalAddr implements net.Conn. The address of this node's end isn't known.
func (c *Conn) LocalAddr() net.Addr { return address("") }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return address(c.address) }

// SetDeadline implements net.Conn. Writes are bounded by the endpoint.
func (c *Conn) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

// SetReadDeadline implements net.Conn. It must not be called during a Read.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.deadline = at
	return nil
}

// SetWriteDeadline implements net.Conn. It does nothing, since writes are bounded by the endpoint.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// address is the address of a server, as IP:port.
type address string

// Network implements net.Addr.
func (address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

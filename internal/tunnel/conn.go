package tunnel

import (
	"net"
	"time"

	"guavapaddle/io/peer"
)

// Conn is the caller's end of a tunnel. It implements net.Conn.
type Conn struct {
	stream  *peer.Stream
	node    string // callee
	address string // of the server
	rest    []byte // received and not yet read
	onClose func()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for len(c.rest) == 0 {
		f, err := c.stream.Read()
		if err != nil {
			return 0, err
		}
		c.rest = f.Body
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

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.stream.SetReadDeadline(at)
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

package tcp

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose Read reports a failure of the connection also if a concurrent Write has received it. The kernel reports a
// failure once, to whichever call comes first, and later reads return the end of the stream: a body that ends with its connection would
// look complete. The fields must be set before the first call.
type Conn struct {
	*net.TCPConn
	Traffic *Traffic // counts the bytes; may be nil

	mu      sync.Mutex // held by Write
	failure error      // that a Write received
}

// Write writes b.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.TCPConn.Write(b)
	c.Traffic.Add(n, 0)
	if isFailure(err) {
		c.failure = err
	}
	return n, err
}

// Read reads into b. It returns io.EOF only if the peer has ended the stream.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.Traffic.Add(0, n)
	if !errors.Is(err, io.EOF) || !c.isClosed() {
		return n, err
	}
	c.mu.Lock() // a Write on a closed connection returns at once
	defer c.mu.Unlock()
	if c.failure != nil {
		return n, c.failure
	}
	return n, err
}

// isFailure reports whether an error of a write is a failure of the connection. EPIPE means that it had been closed before: the peer may
// have ended its stream in order, without reading the rest of what is written.
func isFailure(err error) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && errno != syscall.EPIPE
}

// isClosed reports whether the connection is closed in both directions.
func (c *Conn) isClosed() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || closed
}

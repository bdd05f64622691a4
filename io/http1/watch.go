package http1

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// watchInterval is how often the state of a client's connection is polled when the read buffer is full of bytes that follow the request.
	watchInterval = 100 * time.Millisecond
	// peerClosed are the events of a connection that the peer has closed or reset.
	peerClosed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
)

// watch cancels the context of the request that is being handled when the client disconnects. It returns when the read deadline of the
// connection passes. Bytes of a next request may precede the end of the connection: they stay in the read buffer, and once that is full
// the connection is polled.
func (c *serverConn) watch(ctx context.Context, cancel context.CancelFunc) {
	for n := 1; n <= c.br.Size(); n = c.br.Buffered() + 1 {
		if _, err := c.br.Peek(n); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				cancel()
			}
			return
		}
	}
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if isClosedByPeer(c.nc) {
			cancel()
			return
		}
	}
}

// isClosedByPeer reports whether the peer has closed or reset a TCP connection, even if bytes that it sent before are unread. For other
// connections it returns false.
func isClosedByPeer(nc net.Conn) bool {
	raw, ok := rawConn(nc)
	if !ok {
		return false
	}
	closed := false
	err := raw.Control(func(fd uintptr) { closed = poll(fd, 0)&peerClosed != 0 })
	return err == nil && closed
}

// awaitReadable waits until a read from a TCP connection wouldn't block, without reading, and reports whether there are bytes to be read: not
// if the wait fails or the peer has closed the connection, and not for other connections.
func awaitReadable(nc net.Conn) bool {
	raw, ok := rawConn(nc)
	if !ok {
		return false
	}
	closed := false
	err := raw.Read(func(fd uintptr) bool {
		events := poll(fd, unix.POLLIN)
		closed = events&peerClosed != 0
		return events != 0
	})
	return err == nil && !closed
}

// poll returns which of the given events and peerClosed a descriptor has now. A failed call has none.
func poll(fd uintptr, events int16) int16 {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events | unix.POLLRDHUP}}
	if n, err := unix.Poll(fds, 0); err != nil || n == 0 {
		return 0
	}
	return fds[0].Revents
}

// rawConn returns the descriptor of a TCP connection.
func rawConn(nc net.Conn) (syscall.RawConn, bool) {
	t, ok := nc.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := t.SyscallConn()
	return raw, err == nil
}

// Package cutpath cuts one node off from all backend servers.
//
// # Usage
//
// Let the node open its connections to servers over a Path before it runs:
//
//	p := &cutpath.Path{}
//	node.DialServer = p.Dial
//	p.Set(cutpath.Hanging)
package cutpath

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"guavapaddle/io/http1"
	"guavapaddle/io/tcp"
)

const (
	// Open means that there is no cut.
	Open Mode = iota
	// Refusing means that new connections are refused and open ones live on.
	Refusing
	// Hanging means that new connections don't open and open ones deliver nothing.
	Hanging
	// Resetting means that new connections are refused and open ones were reset.
	Resetting
	// Modes is the number of modes.
	Modes
)

const (
	// dialLimit is how long an attempt to open a connection hangs.
	dialLimit = 300 * time.Millisecond
	// readLimit is how long a read hangs at most.
	readLimit = 5 * time.Second
)

type (
	// Mode is what a cut does to connections.
	Mode int

	// Path is the path between one node and all backend servers. The zero value is open.
	Path struct {
		mu    sync.Mutex
		mode  Mode
		conns map[*conn]bool
	}

	// conn is a connection over a Path.
	conn struct {
		*tcp.Conn

		path   *Path
		closed chan struct{}
		once   sync.Once
	}
)

// Set changes the mode.
func (p *Path) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for c := range p.conns {
		switch m {
		case Resetting:
			_ = c.SetLinger(0)
			_ = c.TCPConn.Close()
		case Hanging:
			_ = c.CloseWrite() // they never deliver anything again
		}
	}
}

// Mode returns the current mode.
func (p *Path) Mode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Dial opens a connection over the path.
func (p *Path) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch p.Mode() {
	case Refusing, Resetting:
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case Hanging:
		ctx, cancel := context.WithTimeout(ctx, dialLimit)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}
	nc, err := http1.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc.(*tcp.Conn), path: p, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*conn]bool{}
	}
	p.conns[c] = true
	return c, nil
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.path.Mode() == Hanging {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.path.Mode() != Hanging {
		return n, err
	}
	t := time.NewTimer(readLimit)
	defer t.Stop()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-t.C:
		return 0, os.ErrDeadlineExceeded
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.TCPConn.Close()
}

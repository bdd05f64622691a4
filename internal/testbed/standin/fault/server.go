package fault

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
)

const maxBody = 64 << 20

// connKey is the context key of the connection of a request.
type connKey struct{}

type (
	// Server is an HTTP server whose connections can be closed or silenced. The
	// exported fields must be set before Start.
	Server struct {
		Listen  string // IP:port; a free port of 127.0.0.1 if empty
		Handler http.Handler

		http  *http.Server
		mu    sync.Mutex
		conns map[*conn]struct{}
	}

	// conn is a connection that can be silenced: it then discards what it receives
	// and what is written to it.
	conn struct {
		net.Conn
		server *Server
		mu     sync.Mutex
		silent bool
		calls  int  // calls received on it
		set    *Set // faults of the stand-in that received the last call
	}

	// listener wraps each accepted connection in a conn.
	listener struct {
		net.Listener
		server *Server
	}
)

// Start starts the server and returns its address.
func (s *Server) Start() (string, error) {
	address := s.Listen
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.conns = map[*conn]struct{}{}
	s.http = &http.Server{
		Handler:  s.Handler,
		ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	go func() { _ = s.http.Serve(&listener{Listener: l, server: s}) }()
	return l.Addr().String(), nil
}

// Close stops the server and closes all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	s.Break(nil)
}

// Break closes the connections whose last call was for the stand-in of set, or all
// connections if set is nil.
func (s *Server) Break(set *Set) {
	for _, c := range s.connsOf(set) {
		_ = c.Conn.Close()
	}
}

// silence permanently silences the connections whose last call was for the
// stand-in of set.
func (s *Server) silence(set *Set) {
	for _, c := range s.connsOf(set) {
		c.silence()
	}
}

// connsOf returns the open connections whose last call was for the stand-in of set,
// or all open connections if set is nil.
func (s *Server) connsOf(set *Set) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*conn
	for c := range s.conns {
		if c.lastCalledFor(set) {
			out = append(out, c)
		}
	}
	return out
}

// remove removes a closed connection.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, server: l.server}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

// Read reads from the connection. If it is silent, the data is discarded.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write writes to the connection. If it is silent, the data is discarded.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A silent connection stays open, so that the peer
// does not notice, until the peer closes its end.
func (c *conn) Close() error {
	if !c.isSilent() {
		c.server.remove(c)
		return c.Conn.Close()
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close()
		c.server.remove(c)
	}()
	return nil
}

// silence permanently silences the connection.
func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// isSilent reports whether the connection was silenced.
func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// recordCall records a call for the stand-in of set and returns the number of
// earlier calls on the connection.
func (c *conn) recordCall(set *Set) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.set = set
	return c.calls - 1
}

// lastCalledFor reports whether the last call was for the stand-in of set. It
// returns true if set is nil.
func (c *conn) lastCalledFor(set *Set) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return set == nil || c.set == set
}

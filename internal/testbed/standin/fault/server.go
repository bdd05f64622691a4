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

// connKey is the context key of a request's connection.
type connKey struct{}

type (
	// Server listens for a stand-in. Its exported fields are set before Start.
	Server struct {
		Listen  string // IP:port, a free port of 127.0.0.1 if empty
		Handler http.Handler

		http  *http.Server
		mu    sync.Mutex
		conns map[*conn]struct{}
	}

	// conn is a connection that can be silenced.
	conn struct {
		net.Conn
		server   *Server
		mu       sync.Mutex
		silent   bool
		requests int  // calls that came on it
		user     *Set // of the last call
	}

	// listener wraps each connection that it accepts.
	listener struct {
		net.Listener
		server *Server
	}
)

// Start begins to serve and returns the address.
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

// Close stops listening and closes all connections.
func (s *Server) Close() {
	_ = s.http.Close()
	s.Break(nil)
}

// Break closes all connections whose last call was for user, or all if user is
// nil.
func (s *Server) Break(user *Set) {
	for _, c := range s.open(user) {
		_ = c.Conn.Close()
	}
}

// silence makes the connections of user go silent for good.
func (s *Server) silence(user *Set) {
	for _, c := range s.open(user) {
		c.silence()
	}
}

// open returns the open connections of user.
func (s *Server) open(user *Set) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*conn
	for c := range s.conns {
		if c.usedBy(user) {
			out = append(out, c)
		}
	}
	return out
}

// forget drops a closed connection.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Accept waits for a connection.
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

// Read reads from the connection. What comes on a silent one is lost.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write writes to the connection. What is written to a silent one is lost.
func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. The peer of a silent one does not notice; it is
// closed when the peer closes its end.
func (c *conn) Close() error {
	if !c.isSilent() {
		c.server.forget(c)
		return c.Conn.Close()
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close()
		c.server.forget(c)
	}()
	return nil
}

// silence makes the connection go silent for good.
func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// isSilent tells whether the connection has gone silent.
func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// use notes a call for user and returns how many calls came before it.
func (c *conn) use(user *Set) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.user = user
	return c.requests - 1
}

// usedBy tells whether the last call was for user; any user if that is nil.
func (c *conn) usedBy(user *Set) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return user == nil || c.user == user
}

package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"guavapaddle/io/tcp"
)

// Listen starts to accept connections and returns the address. It returns once
// the server can be stopped.
func (s *Server) Listen() (string, error) {
	logging.SetLevel(logging.LevelNone)
	s.watch = map[net.Conn]*watched{}
	if s.Idle == 0 {
		s.Idle = defaultIdle
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return "", &ListenError{Address: s.Address, Err: err}
	}
	s.listener = l
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Handler:            http.HandlerFunc(s.serve),
		NPoller:            pollers,
		MaxHTTPBodySize:    hardBodyBytes,
		ReadLimit:          hardReadBytes,
		MaxWriteBufferSize: writeBuffer,
		KeepaliveTime:      s.Idle,
		ServerExecutor:     func(f func()) { go f() },
	})
	s.polling = make(chan struct{})
	s.handOver()
	if err := s.engine.Start(); err != nil {
		_ = l.Close()
		return "", &ListenError{Address: s.Address, Err: err}
	}
	s.accepting = make(chan struct{})
	go s.accept()
	bound := l.Addr().String()
	if err := s.awaitPoller(bound); err != nil {
		_ = l.Close()
		return "", &ListenError{Address: s.Address, Err: err}
	}
	return bound, nil
}

// handOver orders the accept of a connection before its first read. The kernel
// orders them already (a connection is read when epoll says so, after it was
// added), but the race detector can't see that. The first read closes polling.
func (s *Server) handOver() {
	var accepted atomic.Int64
	var first sync.Once
	s.engine.Engine.OnOpen(func(*nbio.Conn) {
		accepted.Add(1)
		if s.accepted != nil {
			s.accepted()
		}
	})
	s.engine.OnReadBufferAlloc(func(c *nbio.Conn) *[]byte {
		accepted.Load()
		first.Do(func() { close(s.polling) })
		return s.engine.PollerBufferPtr(c)
	})
}

// awaitPoller returns once the engine's poller reads, for which it opens and
// closes a connection. A poller resets its stop mark when its goroutine begins
// to run, so an engine that is stopped before that never ends.
func (s *Server) awaitPoller(address string) error {
	c, err := net.DialTimeout("tcp", address, pollerTimeout)
	if err != nil {
		return err
	}
	if err := c.Close(); err != nil {
		return err
	}
	select {
	case <-s.polling:
		return nil
	case <-time.After(pollerTimeout):
		return &PollerError{Timeout: pollerTimeout}
	}
}

// accept passes connections to the engine until the listener is closed. Unlike
// the engine's own loop it can be waited for: the engine's Stop waits for all
// connections but closes only those added before, and a connection added during
// Stop would keep it until that is idle.
func (s *Server) accept() {
	defer close(s.accepting)
	tcp.Accept(s.listener, func(c net.Conn) {
		s.engine.AddConnNonTLSNonBlocking(&nbhttp.Conn{Conn: c}, nil, func() {})
	}, s.AcceptFailed)
}

// Run watches connections until ctx ends and then closes what is open. Callers
// of Run wait for Open to be zero first if nothing may be cut.
func (s *Server) Run(ctx context.Context) error {
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.cancelClosed()
		case <-ctx.Done():
			err := s.listener.Close()
			<-s.accepting
			s.engine.Stop()
			return err
		}
	}
}

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

// Listen starts accepting connections and returns the bound address. After it returns, the
// server can be stopped safely.
func (s *Server) Listen() (string, error) {
	logging.SetLevel(logging.LevelNone)
	s.watchedConns = map[net.Conn]*watchedConn{}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return "", &ListenError{Address: s.Address, Err: err}
	}
	s.listener = l
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Handler:            http.HandlerFunc(s.serve),
		NPoller:            pollerCount,
		MaxHTTPBodySize:    hardBodyBytes,
		ReadLimit:          hardReadBytes,
		MaxWriteBufferSize: writeBuffer,
		KeepaliveTime:      s.IdleTimeout,
		ServerExecutor:     func(f func()) { go f() },
	})
	s.pollerReady = make(chan struct{})
	s.orderAcceptBeforeRead()
	if err := s.engine.Start(); err != nil {
		_ = l.Close()
		return "", &ListenError{Address: s.Address, Err: err}
	}
	s.acceptDone = make(chan struct{})
	go s.accept()
	bound := l.Addr().String()
	if err := s.awaitPoller(bound); err != nil {
		_ = l.Close()
		return "", &ListenError{Address: s.Address, Err: err}
	}
	return bound, nil
}

// orderAcceptBeforeRead makes the acceptance of a connection happen before its first read,
// in the sense of the Go memory model. The kernel already orders them, because epoll reports
// a connection as readable only after it was added, but the race detector cannot see that.
// The first read closes pollerReady.
func (s *Server) orderAcceptBeforeRead() {
	var accepted atomic.Int64
	var firstRead sync.Once
	s.engine.Engine.OnOpen(func(*nbio.Conn) {
		accepted.Add(1)
		if s.accepted != nil {
			s.accepted()
		}
	})
	s.engine.OnReadBufferAlloc(func(c *nbio.Conn) *[]byte {
		accepted.Load()
		firstRead.Do(func() { close(s.pollerReady) })
		return s.engine.PollerBufferPtr(c)
	})
}

// awaitPoller opens and closes a connection and returns once the engine's poller has read
// from it. A poller clears its stop flag when its goroutine starts to run, so an engine that
// is stopped before that would never terminate.
func (s *Server) awaitPoller(address string) error {
	c, err := net.DialTimeout("tcp", address, pollerTimeout)
	if err != nil {
		return err
	}
	if err := c.Close(); err != nil {
		return err
	}
	select {
	case <-s.pollerReady:
		return nil
	case <-time.After(pollerTimeout):
		return &PollerError{Timeout: pollerTimeout}
	}
}

// accept passes connections to the engine until the listener is closed. It replaces the
// engine's own accept loop because that cannot be waited for: the engine's Stop waits for
// all connections but closes only those added before the call, so a connection added during
// Stop would block it until that connection's idle timeout.
func (s *Server) accept() {
	defer close(s.acceptDone)
	tcp.Accept(s.listener, func(c net.Conn) {
		s.engine.AddConnNonTLSNonBlocking(&nbhttp.Conn{Conn: c}, nil, func() {})
	}, s.AcceptFailed)
}

// Run watches connections until ctx ends and then closes the open ones. To shut down without
// cutting off requests, wait until OpenRequests returns zero before ending ctx.
func (s *Server) Run(ctx context.Context) error {
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.cancelClosed()
		case <-ctx.Done():
			err := s.listener.Close()
			<-s.acceptDone
			s.engine.Stop()
			return err
		}
	}
}

package caller_test

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/await"
	"guavapaddle/io/caller"
)

const (
	maxStopTime   = 5 * time.Second        // how long a server without requests may take to stop
	shutdownDelay = 100 * time.Millisecond // from closing the listener until the engine's Stop collects its connections
)

// newServer returns a server that listens on a free port.
func newServer() *caller.Server {
	return &caller.Server{
		Address: "127.0.0.1:0", Handler: &handler{},
		NewID:    func() string { return "id" },
		Draining: func() (time.Duration, bool) { return 0, false },
	}
}

// TestStopRightAfterStart guards against a server that never terminates and keeps one core
// busy because it was stopped before the engine's poller had run.
func TestStopRightAfterStart(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for range 100 {
		s := newServer()
		_, err := s.Listen()
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		require.NoError(t, await.Within(t, done, maxStopTime, "the server's end"))
	}
}

// TestStopWhileCallerConnects guards against a server that panics, or that stops only after
// an idle timeout, when a connection is added while it stops.
func TestStopWhileCallerConnects(t *testing.T) {
	var blockNextAccept atomic.Bool
	accepted, resume := make(chan struct{}), make(chan struct{})
	s := newServer()
	caller.OnAccept(s, func() {
		if blockNextAccept.Swap(false) {
			accepted <- struct{}{}
			<-resume
		}
	})
	address, err := s.Listen()
	require.NoError(t, err)
	blockNextAccept.Store(true)
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	await.Value(t, accepted, "the connection")

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	require.Eventually(t, func() bool {
		d, err := net.Dial("tcp", address)
		if err == nil {
			_ = d.Close()
		}
		return err != nil
	}, maxStopTime, time.Millisecond, "the listener is closed")
	<-time.After(shutdownDelay)
	close(resume)
	require.NoError(t, await.Within(t, done, maxStopTime, "the server's end"))
}

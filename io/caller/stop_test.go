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
	stopLimit = 5 * time.Second        // of a server without requests
	settle    = 100 * time.Millisecond // from the closed listener to the engine's look at its connections
)

// newServer returns a server on a free port.
func newServer() *caller.Server {
	return &caller.Server{
		Address: "127.0.0.1:0", Handler: &handler{},
		NewID:    func() string { return "id" },
		Draining: func() (time.Duration, bool) { return 0, false },
	}
}

// TestStopRightAfterStart guards against a server that never ends, with one
// core busy, because it was stopped before the engine's poller had run.
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
		require.NoError(t, await.Within(t, done, stopLimit, "the server's end"))
	}
}

// TestStopWhileCallerConnects guards against a server that ends only when a
// connection, added while it stopped, has been idle for too long, or that
// panics on it.
func TestStopWhileCallerConnects(t *testing.T) {
	var armed atomic.Bool
	accepted, resume := make(chan struct{}), make(chan struct{})
	s := newServer()
	caller.OnAccept(s, func() {
		if armed.Swap(false) {
			accepted <- struct{}{}
			<-resume
		}
	})
	address, err := s.Listen()
	require.NoError(t, err)
	armed.Store(true)
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
	}, stopLimit, time.Millisecond, "the listener is closed")
	<-time.After(settle)
	close(resume)
	require.NoError(t, await.Within(t, done, stopLimit, "the server's end"))
}

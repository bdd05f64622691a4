package caller_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/await"
	"guavapaddle/io/caller"
)

// stopLimit bounds the stop of a server without requests.
const stopLimit = 5 * time.Second

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

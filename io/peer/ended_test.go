package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/keys"
	"guavapaddle/io/peer"
)

// TestCallThatItsCallerGaveUpLeavesOtherCallsOpen guards against calls of clients that have left which close the connection that slots and
// tunnels of all others use.
func TestCallThatItsCallerGaveUpLeavesOtherCallsOpen(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, []string{"a", "b"}))
	a := &peer.Endpoint{TLS: loadFiles(t, dir, "a"), OnCall: echo}
	b := &peer.Endpoint{TLS: loadFiles(t, dir, "b"), OnCall: func(_ context.Context, _ string, f peer.Frame, s *peer.Stream) {
		for s.Write(f) == nil {
			var err error
			if f, err = s.Read(); err != nil {
				return
			}
		}
	}}
	start(t, a)
	address := start(t, b)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s, err := a.Open(ctx, address, peer.Frame{Kind: 2})
	require.NoError(t, err)
	defer s.Cancel()
	_, err = s.Read()
	require.NoError(t, err)

	ended, end := context.WithCancel(ctx)
	end()
	for range 20 {
		_, err := a.Open(ended, address, peer.Frame{Kind: 2})
		require.ErrorIs(t, err, context.Canceled)
		require.ErrorIs(t, a.Send(ended, address, peer.Frame{Kind: 1}), context.Canceled)
	}
	require.NoError(t, s.Write(peer.Frame{Kind: 2}))
	_, err = s.Read()
	require.NoError(t, err)
}

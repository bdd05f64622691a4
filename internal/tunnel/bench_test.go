package tunnel_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/rawhttp"
)

// BenchmarkExchange measures the opening of a connection, 1 kB to a server, 1 kB back, and its end: from the node itself and
// through another one. Both nodes run in the benchmark's process, so that it counts the work of both.
func BenchmarkExchange(b *testing.B) {
	for name, cut := range map[string]bool{"own": false, "tunnel": true} {
		b.Run(name, func(b *testing.B) {
			n := startNodes(b, 10, "cut", "open")
			n[0].cut.Store(cut)
			addresses := []string{rawhttp.Listen(b, echo), rawhttp.Listen(b, echo)}
			buf := make([]byte, 1000)
			for i := 0; b.Loop(); i++ {
				c, err := n[0].dialer.Dial(context.Background(), addresses[i%2])
				require.NoError(b, err)
				exchange(b, c, buf)
			}
		})
	}
}

// exchange sends bytes over a connection, reads as many, and closes it.
func exchange(b *testing.B, c net.Conn, buf []byte) {
	_, err := c.Write(buf)
	require.NoError(b, err)
	_, err = io.ReadFull(c, buf)
	require.NoError(b, err)
	require.NoError(b, c.Close())
}

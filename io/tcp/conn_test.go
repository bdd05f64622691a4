package tcp_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/io/tcp"
)

// blockedWrite returns a connection on which a Write of more bytes than the kernel takes is in progress, its peer, and the result of the Write. The
// peer has received some of the bytes and sent a text, which has been read.
func blockedWrite(t *testing.T, text string) (c *tcp.Conn, peer *net.TCPConn, written chan error) {
	t.Helper()
	a, b := connect(t)
	c, peer, written = &tcp.Conn{TCPConn: a.(*net.TCPConn)}, b.(*net.TCPConn), make(chan error, 1)
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		written <- err
	}()
	_, err := io.ReadFull(peer, make([]byte, 1))
	require.NoError(t, err)
	_, err = io.WriteString(peer, text)
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, len(text)))
	require.NoError(t, err)
	return c, peer, written
}

// TestReadReportsFailureThatWriteReceived guards against a body that ends with its connection and is taken for complete, as the reset of the
// connection was reported to the write of the request.
func TestReadReportsFailureThatWriteReceived(t *testing.T) {
	t.Parallel()
	c, peer, written := blockedWrite(t, "part")
	require.NoError(t, peer.SetLinger(0))
	require.NoError(t, peer.Close())
	require.ErrorIs(t, <-written, syscall.ECONNRESET)
	for range 2 {
		_, err := c.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// TestReadReportsEndOfStreamWhileWriteIsBlocked guards against a response that is complete, and is taken for a broken one since its server
// hasn't read the rest of the request.
func TestReadReportsEndOfStreamWhileWriteIsBlocked(t *testing.T) {
	t.Parallel()
	for name, closes := range map[string]bool{"half closed": false, "closed later": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, peer, written := blockedWrite(t, "whole")
			require.NoError(t, peer.CloseWrite())
			got := make([]byte, 1)
			if closes {
				_, err := c.Read(got)
				require.Equal(t, io.EOF, err)
				require.NoError(t, peer.Close())
				require.Error(t, <-written)
			}
			_, err := c.Read(got)
			require.Equal(t, io.EOF, err)
		})
	}
}

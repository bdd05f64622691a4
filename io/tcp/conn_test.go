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

// blockedWrite starts a Write of more bytes than the kernel takes, and returns its result. The peer has received some of them.
func blockedWrite(t *testing.T, c, peer net.Conn) chan error {
	t.Helper()
	result := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		result <- err
	}()
	_, err := io.ReadFull(peer, make([]byte, 1))
	require.NoError(t, err)
	return result
}

// TestReadReportsFailureThatWriteReceived guards against a body that ends with its connection and is taken for complete, as the reset of the
// connection was reported to the write of the request.
func TestReadReportsFailureThatWriteReceived(t *testing.T) {
	t.Parallel()
	a, b := connect(t)
	c := &tcp.Conn{TCPConn: a.(*net.TCPConn)}
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	written := blockedWrite(t, c, b)
	_, err := io.WriteString(b, "part")
	require.NoError(t, err)
	got := make([]byte, 4)
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.NoError(t, b.(*net.TCPConn).SetLinger(0))
	require.NoError(t, b.Close())
	require.ErrorIs(t, <-written, syscall.ECONNRESET)
	for range 2 {
		_, err = c.Read(got)
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
			a, b := connect(t)
			c := &tcp.Conn{TCPConn: a.(*net.TCPConn)}
			require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			written := blockedWrite(t, c, b)
			_, err := io.WriteString(b, "whole")
			require.NoError(t, err)
			require.NoError(t, b.(*net.TCPConn).CloseWrite())
			got := make([]byte, 5)
			_, err = io.ReadFull(c, got)
			require.NoError(t, err)
			if closes {
				_, err = c.Read(got)
				require.Equal(t, io.EOF, err)
				require.NoError(t, b.Close())
				require.Error(t, <-written)
			}
			_, err = c.Read(got)
			require.Equal(t, io.EOF, err)
		})
	}
}

package http1_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"guavapaddle/io/http1"
)

// TestConnectionOutlastsShortSilence guards against connections that are given up while a working server is silent for
// up to one and a half seconds, whenever that begins: TCP_USER_TIMEOUT also decides when keep-alive probes give up.
func TestConnectionOutlastsShortSilence(t *testing.T) {
	const silence = 1500 // ms
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := http1.Dial(context.Background(), l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	option := func(level, name int) int {
		v := 0
		require.NoError(t, raw.Control(func(fd uintptr) {
			v, err = unix.GetsockoptInt(int(fd), level, name)
		}))
		require.NoError(t, err)
		return v
	}
	userTimeout := option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	idle := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE) * 1000
	interval := option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL) * 1000
	require.Equal(t, 1, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	lastSign := max(idle, interval) // before the silence, if it begins just before a probe
	require.GreaterOrEqual(t, userTimeout-lastSign, silence)
	require.LessOrEqual(t, time.Duration(userTimeout)*time.Millisecond, 3*time.Second, "a server that is gone is noticed")
}

package tcp_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/io/tcp"
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (a, b net.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	a, err = net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	b, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = a.Close(), b.Close() }) // may be closed by the test
	return a, b
}

func TestTrafficCountsBytesOfConnection(t *testing.T) {
	var traffic tcp.Traffic
	a, b := connect(t)
	c := traffic.Count(a)
	_, err := c.Write([]byte("12345"))
	require.NoError(t, err)
	_, err = io.ReadFull(b, make([]byte, 5))
	require.NoError(t, err)
	_, err = b.Write([]byte("123"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 3))
	require.NoError(t, err)
	sent, received := traffic.Bytes()
	require.Equal(t, []uint64{5, 3}, []uint64{sent, received})
}

func TestNilTrafficCountsNothing(t *testing.T) {
	var none *tcp.Traffic
	a, _ := connect(t)
	require.Same(t, a, none.Count(a))
	none.Add(1, 1)
}

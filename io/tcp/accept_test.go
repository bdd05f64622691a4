package tcp_test

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/io/tcp"
)

// scarce is a listener that fails for a while, then has a connection, and is
// closed then.
type scarce struct {
	net.Listener
	until    time.Time
	accepted bool
}

func (s *scarce) Accept() (net.Conn, error) {
	if time.Now().Before(s.until) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	if s.accepted {
		return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
	}
	s.accepted = true
	near, _ := net.Pipe()
	return near, nil
}

// TestAcceptOutlivesLackOfDescriptors guards against a server that accepts
// nothing any more once it had too many open files.
func TestAcceptOutlivesLackOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		l := &scarce{until: began.Add(10 * time.Second)}
		var failures []error
		served := 0
		tcp.Accept(l, func(net.Conn) { served++ }, func(err error) { failures = append(failures, err) })
		require.Equal(t, 1, served)
		require.ErrorIs(t, failures[0], syscall.EMFILE)
		require.Less(t, len(failures), 50, "it pauses")
		require.Less(t, time.Since(began), 12*time.Second)
	})
}

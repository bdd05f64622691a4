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

// exhaustedListener is a listener whose Accept fails with EMFILE until a given time, then
// returns one connection, and then reports that it is closed.
type exhaustedListener struct {
	net.Listener
	failsUntil time.Time
	accepted   bool
}

func (s *exhaustedListener) Accept() (net.Conn, error) {
	if time.Now().Before(s.failsUntil) {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	if s.accepted {
		return nil, &net.OpError{Op: "accept", Err: net.ErrClosed}
	}
	s.accepted = true
	server, _ := net.Pipe()
	return server, nil
}

// TestAcceptRetriesAfterTooManyOpenFiles guards against a server that stops accepting
// connections for good after it ran out of file descriptors.
func TestAcceptRetriesAfterTooManyOpenFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := &exhaustedListener{failsUntil: start.Add(10 * time.Second)}
		var failures []error
		served := 0
		tcp.Accept(l, func(net.Conn) { served++ }, func(err error) { failures = append(failures, err) })
		require.Equal(t, 1, served)
		require.ErrorIs(t, failures[0], syscall.EMFILE)
		require.Less(t, len(failures), 50, "backoff limits the number of retries")
		require.Less(t, time.Since(start), 12*time.Second)
	})
}

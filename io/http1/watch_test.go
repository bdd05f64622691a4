package http1_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/io/http1"
)

// contextWatcher is a handler that works until the client has left, for a time at most.
type contextWatcher struct {
	begun, ended chan bool // whether the client was known to have left
}

// Handle implements http1.Handler.
func (h *contextWatcher) Handle(x *http1.Exchange) {
	h.begun <- x.Departed()
	select {
	case <-x.Context().Done():
	case <-time.After(2 * time.Second):
	}
	h.ended <- x.Context().Err() != nil
	x.Abort()
}

// TestDepartureIsDetectedBehindBytes guards against departures of clients that bytes of a next request hide, and against handling that
// request.
func TestDepartureIsDetectedBehindBytes(t *testing.T) {
	t.Parallel()
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, behind := range map[string]string{"none": "", "blank line": "\r\n", "whole request": request, "part": request[:10],
		"more than the read buffer": request + strings.Repeat("b", 100000)} {
		for _, reset := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				h := &contextWatcher{begun: make(chan bool, 2), ended: make(chan bool, 2)}
				_, address := serve(t, h, http1.Limits{})
				c, err := net.Dial("tcp4", address)
				require.NoError(t, err)
				_, err = io.WriteString(c, request+behind)
				require.NoError(t, err)
				require.False(t, <-h.begun)
				if reset {
					require.NoError(t, c.(*net.TCPConn).SetLinger(0))
				}
				require.NoError(t, c.Close())
				select {
				case left := <-h.ended:
					require.True(t, left)
				case <-time.After(500 * time.Millisecond):
					t.Error("the departure isn't detected in time")
				}
				require.Never(t, func() bool { return len(h.begun) > 0 }, 100*time.Millisecond, 10*time.Millisecond)
			})
		}
	}
}

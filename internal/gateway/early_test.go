package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/testbed/rawhttp"
)

// earlyTries is how often a server resets a connection whose request is still being written: the failure is reported either to the reader of the
// response or to the writer of the request.
const earlyTries = 30

// uploadTo sends a long request to a server that responds by itself, and returns the response.
func uploadTo(t *testing.T, path string, respond func(c *net.TCPConn, r *http.Request)) response {
	t.Helper()
	r := newRig(t, startWorker(t, "unused"))
	r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Address: rawhttp.Start(t, respond), Zone: "z", Slots: 64}})
	return r.do("POST", path, "r", strings.Repeat("x", rawhttp.LongBody))
}

// TestResetWhileRequestIsWrittenIsNotTheEndOfTheResponse guards against the beginning of a response without a length that reaches the client as a
// whole one, since the reset of its connection was reported to the write of the request.
func TestResetWhileRequestIsWrittenIsNotTheEndOfTheResponse(t *testing.T) {
	t.Parallel()
	for path, body := range map[string]string{"/unsafe/": "part", "/safe/": "part", "/stream/": "data: a\n\n", "/resumable/": "data: a\n\n"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			for n := range earlyTries {
				got := uploadTo(t, path, func(c *net.TCPConn, _ *http.Request) {
					rawhttp.Reset(c, "HTTP/1.1 200 OK\r\nX-Guavapaddle-Request-Id: r\r\nX-Guavapaddle-Server-Stamp: i-1\r\n\r\n"+body)
				})
				require.True(t, got.err != nil || got.status == 502, "try %d: %d %q", n, got.status, got.body)
			}
		})
	}
}

// TestEarlyResponseIsForwardedWhole guards against a response that its server completes before it has read the request, and that is taken for a
// broken one.
func TestEarlyResponseIsForwardedWhole(t *testing.T) {
	t.Parallel()
	const event = "data: a\n\n"
	for framing, text := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(event), event),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event),
		"none":   "\r\n" + event,
	} {
		for _, path := range []string{"/unsafe/", "/safe/", "/stream/", "/resumable/"} {
			t.Run(framing+path, func(t *testing.T) {
				t.Parallel()
				got := uploadTo(t, path, func(c *net.TCPConn, r *http.Request) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Guavapaddle-Request-Id: r\r\nX-Guavapaddle-Server-Stamp: i-1\r\n"+text)
					_ = c.CloseWrite()
					rawhttp.ReadBody(r)
				})
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, event, got.body)
			})
		}
	}
}

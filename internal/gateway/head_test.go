package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/testbed/rawhttp"
)

// retriedEach is the number of bytes of a head after which requests that may be repeated are tried.
const retriedEach = 24

// cutHeadServer responds to each request with the beginning of a response, up to a byte in its head, and ends the connection.
// The first requests of a connection get a whole response.
type cutHeadServer struct {
	whole int                    // requests of a connection that get a whole response
	text  atomic.Pointer[string] // of the other responses
	reset atomic.Bool            // whether the connection is reset then, not closed
	cuts  atomic.Int64           // responses that were cut
}

// start starts the server and returns its address.
func (s *cutHeadServer) start(t *testing.T) string {
	t.Helper()
	return rawhttp.Listen(t, s.serve)
}

func (s *cutHeadServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Guavapaddle-Request-Id")
		if n < s.whole {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Guavapaddle-Request-Id: %s\r\nX-Guavapaddle-Server-Stamp: i-1\r\nContent-Length: 2\r\n\r\nok", id)
			continue
		}
		s.cuts.Add(1)
		_, _ = io.WriteString(c, *s.text.Load())
		if s.reset.Load() {
			_ = c.SetLinger(0)
		}
		return
	}
}

// TestResponseCutInItsHeadIsNotForwarded guards against a success with an empty or short body, framed as whole, for a response that its server
// has broken off in its head.
func TestResponseCutInItsHeadIsNotForwarded(t *testing.T) {
	t.Parallel()
	const id = "X-Guavapaddle-Request-Id: r\r\nX-Guavapaddle-Server-Stamp: i-1\r\n"
	heads := map[string]string{
		"length": "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 0\r\n\r\n",
		"chunks": "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n",
		"none":   "HTTP/1.1 200 OK\r\n" + id + "\r\n",
		"1.0":    "HTTP/1.0 200 OK\n" + id + "\n",
	}
	for name, head := range heads {
		for _, informational := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"} {
			for _, reused := range []int{0, 1} {
				t.Run(fmt.Sprint(name, ", ", strings.Fields(informational + " x x")[1], ", ", reused), func(t *testing.T) {
					t.Parallel()
					cut := &cutHeadServer{whole: reused}
					r := newRig(t, startWorker(t, "unused"))
					r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Address: cut.start(t), Zone: "z", Slots: 64}})
					text := informational + head
					for n := range len(text) {
						part := text[:n]
						cut.text.Store(&part)
						cut.reset.Store(n%2 == 1)
						for _, path := range []string{"/unsafe/", "/stream/", "/safe/", "/resumable/"} {
							if (path == "/safe/" || path == "/resumable/") && n%retriedEach != 0 && n < len(text)-3 {
								continue // these wait for another server
							}
							for i := range reused {
								require.Equal(t, 200, r.do("GET", fmt.Sprint("/safe/", n, path, i), "w", "").status)
							}
							before := cut.cuts.Load()
							got := r.do("POST", fmt.Sprint(path, n), "r", "body")
							require.Greater(t, cut.cuts.Load(), before, "%s after %q reached the server", path, part)
							require.True(t, got.err != nil || got.status == 502 || got.status == 504, "%s after %q: %d %q", path, part, got.status, got.body)
						}
					}
				})
			}
		}
	}
}

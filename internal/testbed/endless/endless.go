// Package endless runs servers whose bytes don't end, for tests of bounds.
//
// # Usage
//
//	address := endless.Start(t, "HTTP/1.1 200 OK\r\nX: ", "x")
//	peak := endless.PeakHeap(func() { call(address) })
package endless

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"guavapaddle/internal/testbed/rawhttp"
)

// writeBytes is the least length of one write, in bytes.
const writeBytes = 4 << 10

// Start runs a server until the test ends and returns its address. It answers each request with start, and then repeats piece until
// the client closes the connection.
func Start(t testing.TB, start, piece string) string {
	t.Helper()
	piece = strings.Repeat(piece, 1+writeBytes/len(piece))
	return rawhttp.Start(t, func(c *net.TCPConn, _ *http.Request) {
		for _, err := io.WriteString(c, start); err == nil; {
			_, err = io.WriteString(c, piece)
		}
	})
}

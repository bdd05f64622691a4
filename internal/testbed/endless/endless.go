// Package endless runs servers whose bytes don't end, for tests of bounds.
//
// # Usage
//
//	address := endless.Start(t, "HTTP/1.1 200 OK\r\nX: ", "x")
//	peak := endless.PeakHeap(func() { call(address) })
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeBytes is the least length of one write, in bytes.
const writeBytes = 4 << 10

// Start runs a server until the test ends and returns its address. It answers each request with start, and then repeats piece until
// the client closes the connection.
func Start(t testing.TB, start, piece string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	piece = strings.Repeat(piece, 1+writeBytes/len(piece))
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serve(nc, start, piece)
		}
	}()
	return l.Addr().String()
}

// serve answers one request.
func serve(nc net.Conn, start, piece string) {
	defer func() { _ = nc.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
		return
	}
	for _, err := io.WriteString(nc, start); err == nil; {
		_, err = io.WriteString(nc, piece)
	}
}

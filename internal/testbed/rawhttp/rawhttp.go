// Package rawhttp runs servers that write the bytes of their responses themselves, for tests of responses that break HTTP's rules or end early.
//
// # Usage
//
//	address := rawhttp.Start(t, func(c *net.TCPConn, r *http.Request) {
//		_, _ = io.WriteString(c, "HTTP/1.1 000 \r\n\r\n")
//	})
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/io/tcp"
)

const (
	// LongBody is the length, in bytes, of a request body that isn't written completely while the server doesn't read it.
	LongBody = 3 << 20

	receiveBuffer = 4 << 10 // of a server's connection, in bytes
)

// Listen runs a TCP server until the test ends and returns its address. It passes each connection to handle, in a goroutine of its own.
func Listen(t testing.TB, handle func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go tcp.Accept(l, func(nc net.Conn) { go handle(nc.(*net.TCPConn)) }, nil)
	return l.Addr().String()
}

// Start runs a server until the test ends and returns its address. It passes the first request of each connection to respond once its head
// has been read, and closes the connection afterwards.
func Start(t testing.TB, respond func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	return Listen(t, func(c *net.TCPConn) { serve(c, respond) })
}

// StartKept runs a server that keeps its connections until the test ends and returns its address. It answers each request with the bytes that respond
// returns. If again is set they are sent once more, late: before the response to the next request on the connection.
func StartKept(t testing.TB, respond func(r *http.Request) (response string, again bool)) string {
	t.Helper()
	return Listen(t, func(c *net.TCPConn) { serveKept(c, respond) })
}

// serveKept answers requests until the connection ends.
func serveKept(c *net.TCPConn, respond func(r *http.Request) (string, bool)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for late := ""; ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		ReadBody(r)
		response, again := respond(r)
		_, _ = io.WriteString(c, late+response)
		if late = ""; again {
			late = response
		}
	}
}

// serve answers one request.
func serve(c *net.TCPConn, respond func(c *net.TCPConn, r *http.Request)) {
	defer func() { _ = c.Close() }()
	_ = c.SetReadBuffer(receiveBuffer)
	r, err := http.ReadRequest(bufio.NewReaderSize(c, receiveBuffer))
	if err != nil {
		return
	}
	respond(c, r)
}

// Reset writes the beginning of a response and resets the connection.
func Reset(c *net.TCPConn, part string) {
	_, _ = io.WriteString(c, part)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// ReadBody reads the rest of a request.
func ReadBody(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

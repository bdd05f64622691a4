package service_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/rawhttp"
	"guavapaddle/io/service"
)

// serveUnframed answers one call with a body that ends with its connection, which is reset if reset is set.
func serveUnframed(t *testing.T, contentType, body string, reset bool) *service.Client {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: a\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", service.RequestIDHeader, contentType, body)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	c := &service.Client{Address: l.Addr().String()}
	t.Cleanup(c.Close)
	return c
}

// TestBrokenOffResponseIsLost guards against the beginning of a response without a length or chunks that is returned as
// a whole one.
func TestBrokenOffResponseIsLost(t *testing.T) {
	for _, x := range []struct {
		name, contentType, body string
		reset                   bool
		kind                    service.Kind
	}{
		{"whole", "text/plain", "answer", false, ""},
		{"reset", "text/plain", "answer", true, service.Lost},
		{"whole events", "text/event-stream", "data: a\n\n", false, ""},
		{"events that are broken off", "text/event-stream", "data: a\n\nda", false, service.Lost},
	} {
		t.Run(x.name, func(t *testing.T) {
			resp, err := serveUnframed(t, x.contentType, x.body, x.reset).Do(t.Context(), confirm("a"))
			require.Equal(t, x.kind, service.KindOf(err), "%v", err)
			require.False(t, service.NotRun(err))
			if err == nil {
				require.Equal(t, x.body, string(resp.Body))
			}
		})
	}
}

// TestResetWhileCallIsWrittenIsLost guards against the beginning of a response that is returned as a whole one, since the reset of its connection
// was reported to the write of the request.
func TestResetWhileCallIsWrittenIsLost(t *testing.T) {
	t.Parallel()
	const tries = 30 // the failure is reported either to the reader or to the writer
	address := rawhttp.Start(t, func(c *net.TCPConn, _ *http.Request) {
		rawhttp.Reset(c, "HTTP/1.1 200 OK\r\n"+service.RequestIDHeader+": a\r\n\r\npart")
	})
	for n := range tries {
		call := confirm("a")
		call.Body = make([]byte, rawhttp.LongBody)
		c := &service.Client{Address: address}
		resp, err := c.Do(t.Context(), call)
		require.Equal(t, service.Lost, service.KindOf(err), "try %d: %q, %v", n, resp.Body, err)
		c.Close()
	}
}

package service_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

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

package jsonhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/io/jsonhttp"
)

// TestResponseCutInItsHeadIsAnError guards against a response that is taken for a whole one, with an empty body, though its server has broken it
// off in its head.
func TestResponseCutInItsHeadIsAnError(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	parts := make(chan string, 1)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, <-parts)
			}
			_ = c.Close()
		}
	}()
	client := &jsonhttp.Client{Address: l.Addr().String()}
	t.Cleanup(client.Close)
	for n := range len(head) + 1 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		parts <- head[:n]
		resp, err := client.Do(ctx, jsonhttp.Call{Method: http.MethodGet, Path: "/x"})
		cancel()
		if n == len(head) {
			require.NoError(t, err)
			require.Equal(t, "{}", string(resp.Body))
			return
		}
		var failure *jsonhttp.Error
		require.ErrorAs(t, err, &failure, "after %q", head[:n])
	}
}

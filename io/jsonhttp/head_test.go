package jsonhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/rawhttp"
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

// TestMalformedHeadIsAnError guards against a response that breaks HTTP's rules and is returned as a whole one, with another status or body than its
// server's, on a new connection and on a kept one.
func TestMalformedHeadIsAnError(t *testing.T) {
	t.Parallel()
	for _, head := range []string{
		"HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 600 x\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n{}",
		"HTTP/3.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX\x01Y: z\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, %v", head, reused), func(t *testing.T) {
				t.Parallel()
				client := &jsonhttp.Client{Address: rawhttp.Start(t, func(c *net.TCPConn, _ *http.Request) {
					if reused {
						_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
						if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
							return
						}
					}
					_, _ = io.WriteString(c, head)
				})}
				t.Cleanup(client.Close)
				call := jsonhttp.Call{Method: http.MethodPost, Path: "/x", Body: []byte("{}")} // which the transport doesn't repeat
				if reused {
					resp, err := client.Do(t.Context(), call)
					require.NoError(t, err)
					require.Equal(t, "first", string(resp.Body))
				}
				resp, err := client.Do(t.Context(), call)
				require.Equal(t, jsonhttp.Sent, jsonhttp.StageOf(err), "%v", err)
				var failure *jsonhttp.Error
				require.ErrorAs(t, err, &failure, "%d %q", resp.Status, resp.Body)
			})
		}
	}
}

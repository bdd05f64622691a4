package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/await"
	"guavapaddle/internal/testbed/endless"
	"guavapaddle/io/http1"
)

// receiveWhole sends a request and reads the response to its end.
func receiveWhole(c *http1.Conn, b *http1.Buffers) error {
	defer c.Close()
	if _, err := c.Send(http1.ClientRequest{Method: "GET", Target: "/", Host: "h"}, time.Now().Add(20*time.Second)); err != nil {
		return err
	}
	resp, err := c.Receive() //nolint:bodyclose // its connection is closed; closing an endless body would read on
	if err != nil {
		return err
	}
	_, release, err := b.ReadBody(resp, 8<<20)
	release()
	return err
}

// TestEndlessAnswerIsBounded guards against a server whose bytes are no answer and don't end, which would take all of a node's memory.
func TestEndlessAnswerIsBounded(t *testing.T) {
	const (
		callers   = 50
		maxMemory = 138 << 20 // three quarters of that of a small VM, the garbage collector's limit there
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(maxMemory))
	for name, x := range map[string]struct {
		start, piece string
		want         error
	}{
		"status line":        {"HTTP/1.1 200 ", "x", http1.ErrHeadTooLong},
		"bytes of no answer": {"", "\x00", http1.ErrHeadTooLong},
		"one header line":    {"HTTP/1.1 200 OK\r\nX: ", "x", http1.ErrHeadTooLong},
		"header lines":       {"HTTP/1.1 200 OK\r\n", "X: y\r\n", http1.ErrHeadTooLong},
		"informational":      {"", "HTTP/1.1 100 Continue\r\n\r\n", http1.ErrHeadTooLong},
		"chunk extension":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", nil},
		"trailer":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", nil},
		"chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n", http1.ErrBodyTooLong},
		"body of no length":  {"HTTP/1.1 200 OK\r\n\r\n", "x", http1.ErrBodyTooLong},
		"body with a length": {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x", http1.ErrBodyTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			address := endless.Start(t, x.start, x.piece)
			var p http1.Pool
			b := &http1.Buffers{Max: 23 << 20}
			done := make(chan struct{})
			var all sync.WaitGroup
			var conns []*http1.Conn
			for range callers {
				c, err := p.Get(t.Context(), address, http1.Need{IdleShare: 1, New: true})
				require.NoError(t, err)
				conns = append(conns, c)
			}
			for _, c := range conns {
				all.Go(func() {
					if err := receiveWhole(c, b); x.want != nil {
						require.ErrorIs(t, err, x.want)
					} else {
						require.Error(t, err)
					}
				})
			}
			go func() {
				all.Wait()
				close(done)
			}()
			most := uint64(0)
			for open := true; open; {
				select {
				case <-done:
					open = false
				case <-time.After(50 * time.Millisecond):
				}
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				most = max(most, m.HeapAlloc)
			}
			require.Less(t, most, uint64(maxMemory))
			await.Value(t, done, "all callers have an answer")
		})
	}
}

func TestBodiesAreReadWhole(t *testing.T) {
	for _, n := range []int{0, 1, 800, 64 << 10, 64<<10 + 1, 5 << 20} {
		body := strings.Repeat("x", n)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(nc))
			_, _ = io.WriteString(nc, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"+body)
			_ = nc.Close()
		}()
		var p http1.Pool
		c, err := p.Get(t.Context(), l.Addr().String(), http1.Need{IdleShare: 1, New: true})
		require.NoError(t, err)
		_, err = c.Send(http1.ClientRequest{Method: "GET", Target: "/", Host: "h"}, time.Now().Add(10*time.Second))
		require.NoError(t, err)
		resp, err := c.Receive() //nolint:bodyclose // its connection is closed; closing an endless body would read on
		require.NoError(t, err)
		got, release, err := (&http1.Buffers{Max: 64 << 20}).ReadBody(resp, 8<<20)
		require.NoError(t, err)
		require.Equal(t, body, string(got))
		release()
		c.Close()
		_ = l.Close()
	}
}

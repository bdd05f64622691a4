package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/testbed/endless"
	"guavapaddle/internal/testbed/rawhttp"
)

// TestServerWithEndlessAnswerIsLeftAtOnce guards against requests that wait for their deadline at a server whose bytes are no answer and don't end.
func TestServerWithEndlessAnswerIsLeftAtOnce(t *testing.T) {
	for name, start := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX: ",
		"body": "HTTP/1.1 200 OK\r\nX-Guavapaddle-Server-Stamp: s\r\nX-Guavapaddle-Request-Id: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sound := startWorker(t, "i-sound")
			r := newRig(t, sound)
			r.gateway.SetServers([]fleet.Server{
				{ID: "i-endless", Service: "plain", Address: endless.Start(t, start, "x"), Zone: "z", Slots: 4},
				{ID: sound.ID, Service: "plain", Address: sound.Address(), Zone: "away", Slots: 4},
			})
			began := time.Now()
			require.Equal(t, http.StatusOK, r.do("GET", "/safe/x", "a", "").status)
			require.Less(t, time.Since(began), time.Second)
			require.Contains(t, r.log.String(), "reason=too-long")
			require.NotContains(t, r.log.String(), "server-crash")
			require.Equal(t, http.StatusOK, r.do("POST", "/unsafe/x", "b", "").status, "the server counts as failing")
		})
	}
}

// TestEventsWithoutEndTakeBoundedMemory guards against a server that doesn't end its events on a route where they are kept until they are whole: what
// the node keeps of all of them is bounded, however many there are.
func TestEventsWithoutEndTakeBoundedMemory(t *testing.T) {
	const (
		callers   = 150
		maxMemory = 138 << 20 // three quarters of that of a small VM, the garbage collector's limit there
		eventSize = 1 << 20   // the least that is too long for one event
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(maxMemory))
	var settled sync.Map // ids of requests that have sent what they send, or have ended
	part := make([]byte, eventSize-1<<10)
	r := newRig(t, startWorker(t, "unused"))
	r.gateway.Buffers.Max = 23 << 20
	r.gateway.SetServers([]fleet.Server{{ID: "i-1", Service: "plain", Zone: "z", Slots: 2 * callers, Address: rawhttp.Start(t, func(c *net.TCPConn, q *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Guavapaddle-Request-Id: %s\r\nX-Guavapaddle-Server-Stamp: i-1\r\n\r\ndata: ", q.Header.Get("X-Guavapaddle-Request-Id"))
		_, _ = c.Write(part)
		settled.Store(q.Header.Get("X-Guavapaddle-Request-Id"), true)
		_, _ = io.Copy(io.Discard, c) // until the node closes the connection
	})}})
	var clients sync.WaitGroup
	var conns []net.Conn
	peak := endless.PeakHeap(func() {
		for n := range callers {
			c, err := net.Dial("tcp4", r.address)
			require.NoError(t, err)
			conns = append(conns, c)
			clients.Go(func() {
				_, err := fmt.Fprintf(c, "GET /resumable/ HTTP/1.1\r\nHost: h.example\r\nX-Guavapaddle-Request-Id: r%d\r\n\r\n", n)
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, c) // until it has ended, or the test has
				settled.Store(fmt.Sprint("r", n), true)
			})
		}
		require.Eventually(t, func() bool {
			count := 0
			settled.Range(func(any, any) bool { count++; return true })
			return count == callers
		}, 20*time.Second, 10*time.Millisecond, "each has sent what it sends, or has ended")
		runtime.GC()
	})
	for _, c := range conns {
		_ = c.Close()
	}
	clients.Wait()
	require.Less(t, peak, uint64(maxMemory))
	require.Contains(t, r.log.String(), "reason=too-long")
}

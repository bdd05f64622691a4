package jsonhttp_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/endless"
	"guavapaddle/internal/testbed/rawhttp"
	"guavapaddle/io/jsonhttp"
)

// TestAnswersWithoutEndTakeBoundedMemory guards against backend servers whose answers to calls don't end: what is kept of all of them is bounded,
// not only of each.
func TestAnswersWithoutEndTakeBoundedMemory(t *testing.T) {
	const (
		clients   = 12
		maxMemory = 138 << 20 // three quarters of that of a small VM, the garbage collector's limit there
		sent      = 12 << 20  // of each answer, which is below the bound of one
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(maxMemory))
	part := make([]byte, sent)
	var begun atomic.Int64
	address := rawhttp.Start(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = c.Write(part)
		begun.Add(1)
		_, _ = io.Copy(io.Discard, c) // until the client closes the connection
	})
	var calls sync.WaitGroup
	var tooLarge atomic.Int64
	peak := endless.PeakHeap(func() {
		for range clients {
			calls.Go(func() {
				_, err := new(jsonhttp.Lazy).Backend(address, nil).Do(t.Context(), jsonhttp.Call{Method: http.MethodGet, Path: "/x"})
				if jsonhttp.StageOf(err) == jsonhttp.TooLarge {
					tooLarge.Add(1)
				}
			})
		}
		require.Eventually(t, func() bool { return begun.Load() >= clients }, 20*time.Second, 10*time.Millisecond)
		runtime.GC()
	})
	require.Less(t, peak, uint64(maxMemory))
	require.Positive(t, tooLarge.Load())
}

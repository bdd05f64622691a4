package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/io/http1"
)

// echo answers each request on a connection with the given header fields.
func echo(fields string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, br *bufio.Reader) {
		defer func() { _ = c.Close() }()
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 2\r\n\r\nok")
		}
	}
}

// opening returns why a pool opens a connection to address for a request that uses a share of the idle time, empty if it doesn't.
func opening(t *testing.T, p *http1.Pool, address string, share float64) http1.Opening {
	t.Helper()
	c, err := p.Get(context.Background(), address, http1.Need{IdleShare: share})
	require.NoError(t, err)
	c.Close()
	return c.Opening
}

// receive makes one request through a pool and reads the response, without putting the connection back.
func receive(t *testing.T, p *http1.Pool, address string) (*http1.Conn, *http.Response) {
	t.Helper()
	return receiveFor(t, p, address, http1.Need{IdleShare: 1})
}

// receiveFor is like receive for a request with the given need.
func receiveFor(t *testing.T, p *http1.Pool, address string, need http1.Need) (*http1.Conn, *http.Response) {
	t.Helper()
	c, err := p.Get(context.Background(), address, need)
	require.NoError(t, err)
	_, err = c.Send(http1.ClientRequest{Method: "GET", Target: "/", Host: "h", Header: http.Header{}}, time.Now().Add(5*time.Second))
	require.NoError(t, err)
	resp, err := c.Receive()
	require.NoError(t, err)
	require.NoError(t, http1.DiscardBody(resp, 100))
	return c, resp
}

func TestConnectionTooIdleForOneRequestStays(t *testing.T) {
	address := startServer(t, echo("Keep-Alive: timeout=10\r\n"))
	p := &http1.Pool{}
	require.Equal(t, http1.First, opening(t, p, address, 1), "as after a loss of power")
	require.Equal(t, http1.Ended, opening(t, p, address, 1))
	call(t, p, address)
	require.Equal(t, http1.TooIdle, opening(t, p, address, 0), "a request that must not run twice may use none of the time")
	require.Empty(t, opening(t, p, address, 1), "the connection stayed for others")
}

// TestConnectionCarriesAnIDOnce guards against a late copy of a response that answers a later request with the same id: the connection stays for requests
// with other ids.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	address := startServer(t, echo("Keep-Alive: timeout=10\r\n"))
	p := &http1.Pool{}
	first, second := http1.Need{RequestID: "a", IdleShare: 1}, http1.Need{RequestID: "b", IdleShare: 1}
	callFor := func(need http1.Need) http1.Opening {
		c, resp := receiveFor(t, p, address, need) //nolint:bodyclose // it was read to its end
		require.NoError(t, p.Put(c, resp, 0))
		return c.Opening
	}
	require.Equal(t, http1.First, callFor(first))
	require.Empty(t, p.Idle([]string{address}, first, 1))
	require.Equal(t, http1.SameID, callFor(first))
	require.Equal(t, []string{address}, p.Idle([]string{address}, second, 1))
	require.Empty(t, callFor(second))
	require.Empty(t, callFor(second), "the other connection hasn't carried it")
	require.Equal(t, http1.SameID, callFor(second))
	require.Empty(t, callFor(first), "the newest connection hasn't carried it")
	require.Empty(t, callFor(http1.Need{IdleShare: 1}))
	require.Equal(t, int64(3), p.Opened.Load())
}

// TestServerBackAtItsAddress checks that no connection of a server that ended is used for the next one at its address.
func TestServerBackAtItsAddress(t *testing.T) {
	ended := make(chan struct{})
	address := startServer(t, func(n int, c net.Conn, br *bufio.Reader) {
		if n > 0 {
			echo("")(n, c, br)
			return
		}
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 3\r\n\r\nold")
		_ = c.Close()
		close(ended)
	})
	p := &http1.Pool{}
	body, _ := call(t, p, address)
	require.Equal(t, "old", body)
	<-ended
	body, c := call(t, p, address)
	require.Equal(t, "ok", body)
	require.Equal(t, http1.ClosedMeanwhile, c.Opening)
}

func TestDropClosesConnectionsOfServerThatHangs(t *testing.T) {
	address, other := startServer(t, echo("Keep-Alive: timeout=10\r\n")), startServer(t, echo("Keep-Alive: timeout=10\r\n"))
	p := &http1.Pool{}
	call(t, p, address)
	call(t, p, other)
	p.Drop(address)
	open, idle := p.Counts()
	require.Equal(t, []int{1, 1}, []int{open, idle})
	require.Equal(t, http1.Dropped, opening(t, p, address, 1))
	require.Empty(t, opening(t, p, other, 1))
}

func TestLeastRecentlyUsedConnectionIsDisplaced(t *testing.T) {
	var addresses []string
	for range 3 {
		addresses = append(addresses, startServer(t, echo("Keep-Alive: timeout=10\r\n")))
	}
	p := &http1.Pool{MaxIdle: 2}
	for _, i := range []int{0, 1, 0, 2} {
		call(t, p, addresses[i])
	}
	require.Equal(t, []string{addresses[2], addresses[0]}, p.Idle(addresses, http1.Need{IdleShare: 1}, 3), "most recently used first")
	require.Equal(t, []string{addresses[2]}, p.Idle(addresses, http1.Need{IdleShare: 1}, 1))
	require.Empty(t, p.Idle(addresses, http1.Need{}, 3))
	require.Equal(t, http1.Displaced, opening(t, p, addresses[1], 1))
}

func TestIdleConnectionsToOneServerAreBounded(t *testing.T) {
	address := startServer(t, echo("Keep-Alive: timeout=10\r\n"))
	p := &http1.Pool{}
	var put []func() error
	for range 3 {
		c, resp := receive(t, p, address) //nolint:bodyclose // it was read to its end
		if len(put) > 0 {
			require.Equal(t, http1.InUse, c.Opening)
		}
		put = append(put, func() error { return p.Put(c, resp, 2) })
	}
	for _, f := range put {
		require.NoError(t, f())
	}
	open, idle := p.Counts()
	require.Equal(t, []int{2, 2}, []int{open, idle})
}

func TestSweepClosesExpiredConnections(t *testing.T) {
	address := startServer(t, echo("Keep-Alive: timeout=0\r\n"))
	p := &http1.Pool{}
	call(t, p, address)
	p.Sweep()
	require.Equal(t, http1.Expired, opening(t, p, address, 1))
}

func TestConnectionOutlivesDeadlineOfItsRequest(t *testing.T) {
	address := startServer(t, echo("Keep-Alive: timeout=10\r\n"))
	p := &http1.Pool{}
	c, resp := receive(t, p, address) //nolint:bodyclose // it was read to its end
	c.SetReadDeadline(time.Now())
	require.NoError(t, p.Put(c, resp, 0))
	require.Empty(t, opening(t, p, address, 1))
}

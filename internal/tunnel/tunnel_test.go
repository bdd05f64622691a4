package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/core/relay"
	"guavapaddle/internal/keys"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/internal/testbed/rawhttp"
	"guavapaddle/internal/tunnel"
	"guavapaddle/io/http1"
	"guavapaddle/io/peer"
	"guavapaddle/io/responsehead"
)

// idleTimeout is how long connections between the nodes may be idle.
const idleTimeout = 1500 * time.Millisecond

// fakeNode is a node with a dialer, whose own path to the servers can be cut.
type fakeNode struct {
	dialer *tunnel.Dialer
	cut    atomic.Bool
	dials  atomic.Int64                         // of its own
	onCall atomic.Pointer[func(s *peer.Stream)] // serves tunnels instead, unless nil
	at     relay.Relay
}

// startNodes starts nodes that know each other, each of which serves up to maxServed tunnels.
func startNodes(t testing.TB, maxServed int, names ...string) []*fakeNode {
	t.Helper()
	return startNodesWith(t, idleTimeout, maxServed, names...)
}

// startNodesWith is startNodes for connections between the nodes that may be idle for the given time.
func startNodesWith(t testing.TB, idle time.Duration, maxServed int, names ...string) []*fakeNode {
	t.Helper()
	var all []*fakeNode
	for _, name := range names {
		n := &fakeNode{}
		key, err := keys.NewSelfSigned(name)
		require.NoError(t, err)
		key.Trusted = func(string) bool { return true }
		e := &peer.Endpoint{Address: "127.0.0.1:0", TLS: key, IdleTimeout: idle, OnMessage: func(string, peer.Frame) {}}
		e.OnCall = func(ctx context.Context, _ string, f peer.Frame, s *peer.Stream) {
			if serve := n.onCall.Load(); serve != nil {
				(*serve)(s)
				return
			}
			n.dialer.Serve(ctx, f, s)
		}
		n.dialer = &tunnel.Dialer{Node: name, Endpoint: e, MaxServed: maxServed, Log: zap.NewNop(), Metrics: tunnel.NewMetrics(),
			Own: func(ctx context.Context, address string) (net.Conn, error) {
				n.dials.Add(1)
				if n.cut.Load() {
					return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
				}
				return http1.Dial(ctx, address)
			},
			Peers: func(context.Context) []relay.Relay {
				var list []relay.Relay
				for _, o := range all {
					list = append(list, o.at)
				}
				return list
			}}
		address, err := e.Listen()
		require.NoError(t, err)
		n.at = relay.Relay{Node: name, Address: address, Key: key.Fingerprint()}
		all = append(all, n)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- e.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			require.NoError(t, await.Value(t, done, "the endpoint's end"))
		})
	}
	return all
}

// echo sends back what it reads, until the caller closes the connection.
func echo(c *net.TCPConn) {
	_, _ = io.Copy(c, c)
	_ = c.Close()
}

func dial(t *testing.T, n *fakeNode, address string) net.Conn {
	t.Helper()
	c, err := n.dialer.Dial(t.Context(), address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestCutNodeReachesServersThroughAnother(t *testing.T) {
	n := startNodes(t, 10, "cut", "also-cut", "open")
	n[0].cut.Store(true)
	n[1].cut.Store(true)
	a, b := rawhttp.Listen(t, echo), rawhttp.Listen(t, echo)
	for _, address := range []string{a, b, a} {
		c := dial(t, n[0], address)
		require.Equal(t, "open", c.(*tunnel.Conn).Through())
		text := make([]byte, 100<<10)
		text[len(text)-1] = 'x'
		go func() { _, _ = c.Write(text) }()
		got := make([]byte, len(text))
		_, err := io.ReadFull(c, got)
		require.NoError(t, err)
		require.Equal(t, text, got)
	}
	require.True(t, n[0].dialer.Isolated())
	require.False(t, n[2].dialer.Isolated())
	own := n[0].dials.Load()
	dial(t, n[0], rawhttp.Listen(t, echo))
	require.LessOrEqual(t, n[0].dials.Load(), own+1, "no own attempt but a probe")

	n[0].cut.Store(false)
	require.Eventually(t, func() bool {
		c, err := n[0].dialer.Dial(t.Context(), a)
		if err != nil {
			return false
		}
		_, through := c.(*tunnel.Conn)
		_ = c.Close()
		return !through
	}, 5*time.Second, 20*time.Millisecond)
}

// TestNodeOfCutDataCentreFindsAnother guards against nodes that only try each other when all nodes of their data centre have
// lost their path.
func TestNodeOfCutDataCentreFindsAnother(t *testing.T) {
	names := []string{"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "b0"}
	n := startNodes(t, 10, names...)
	for _, x := range n[:8] {
		x.at.DataCentre = "a"
		x.cut.Store(true)
	}
	n[8].at.DataCentre = "b"
	c := dial(t, n[0], rawhttp.Listen(t, echo))
	require.Equal(t, "b0", c.(*tunnel.Conn).Through())
}

// TestEndOfTunneledConnectionKeepsItsMeaning guards against a response without a length that looks complete though its
// server was reset.
func TestEndOfTunneledConnectionKeepsItsMeaning(t *testing.T) {
	n := startNodes(t, 10, "cut", "open")
	n[0].cut.Store(true)
	closed := dial(t, n[0], rawhttp.Listen(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("all"))
		_ = c.Close()
	}))
	b, err := io.ReadAll(closed)
	require.NoError(t, err)
	require.Equal(t, "all", string(b))
	sent := make(chan struct{})
	reset := dial(t, n[0], rawhttp.Listen(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("part"))
		<-sent
		_ = c.SetLinger(0)
		_ = c.Close()
	}))
	_, err = io.ReadFull(reset, make([]byte, 4))
	require.NoError(t, err)
	close(sent)
	_, err = io.ReadAll(reset)
	require.Error(t, err)
}

// TestResetWhileCallerWritesIsNotTheEndOfTunneledConnection guards against the beginning of a response without a length that looks complete to the
// caller of a tunnel, since the reset of the server's connection was reported to the write of the request.
func TestResetWhileCallerWritesIsNotTheEndOfTunneledConnection(t *testing.T) {
	const tries = 30 // the failure is reported either to the reader or to the writer
	n := startNodes(t, 10, "cut", "open")
	n[0].cut.Store(true)
	address := rawhttp.Listen(t, func(c *net.TCPConn) {
		_ = c.SetReadBuffer(4 << 10)
		_, _ = io.ReadFull(c, make([]byte, 1))
		rawhttp.Reset(c, "part")
	})
	for try := range tries {
		c := dial(t, n[0], address)
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = c.Write(make([]byte, rawhttp.LongBody))
		}()
		b, err := io.ReadAll(c)
		require.Error(t, err, "try %d: %q", try, b)
		_ = c.Close()
		await.Value(t, written, "the end of the write")
	}
}

// TestMalformedHeadThroughAnotherNodeIsAnError guards against a response whose status no response can have, such as 000, that is taken for one since it came
// through another node. No connection through a node is used again.
func TestMalformedHeadThroughAnotherNodeIsAnError(t *testing.T) {
	n := startNodes(t, 10, "cut", "also-cut", "open")
	n[0].cut.Store(true)
	n[1].cut.Store(true)
	p := &http1.Pool{Dial: n[0].dialer.Dial}
	receive := func(response string) (*http1.Conn, *http.Response, error) {
		address := rawhttp.Start(t, func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, response) })
		c, err := p.Get(t.Context(), address, http1.Need{RequestID: "r", IdleShare: 1})
		require.NoError(t, err)
		t.Cleanup(c.Close)
		require.Equal(t, "open", c.Through())
		_, err = c.Send(http1.ClientRequest{Method: "POST", Target: "/", Host: "h", Body: []byte("body")}, time.Now().Add(5*time.Second))
		require.NoError(t, err)
		resp, err := c.Receive()
		return c, resp, err
	}
	for _, head := range []string{"HTTP/1.1 000 \r\n", "HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 x\r\n",
		"HTTP/1.1 0200 OK\r\n", "HTTP/1.1 +20 OK\r\n", "HTTP/1.1 600 x\r\n", "HTTP/1.1 101 x\r\n"} {
		_, _, err := receive(head + "Content-Length: 2\r\n\r\nok") //nolint:bodyclose // its connection is closed
		var malformed *responsehead.MalformedError
		require.ErrorAs(t, err, &malformed, head)
	}
	c, resp, err := receive("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok") //nolint:bodyclose // it is read to its end
	require.NoError(t, err)
	require.NoError(t, http1.DiscardBody(resp, 100))
	require.NoError(t, p.Put(c, resp, 0))
	_, idle := p.Counts()
	require.Zero(t, idle)
}

// TestServerSeesThatCallerOfTunnelHasGone guards against servers that go on working for a client that has left.
func TestServerSeesThatCallerOfTunnelHasGone(t *testing.T) {
	n := startNodes(t, 10, "cut", "open")
	n[0].cut.Store(true)
	ended := make(chan error, 1)
	c := dial(t, n[0], rawhttp.Listen(t, func(c *net.TCPConn) {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}))
	require.NoError(t, c.Close())
	require.Error(t, await.Value(t, ended, "the server's connection"))
}

// TestQuietTunnelStaysOpen guards against tunnels that are lost while a server takes longer for its response than connections
// between nodes may be idle.
func TestQuietTunnelStaysOpen(t *testing.T) {
	n := startNodes(t, 10, "cut", "open")
	n[0].cut.Store(true)
	c := dial(t, n[0], rawhttp.Listen(t, func(c *net.TCPConn) {
		<-time.After(2 * idleTimeout)
		_, _ = c.Write([]byte("late"))
		_ = c.Close()
	}))
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "late", string(b))
}

// TestTunnelThroughFrozenNodeEnds guards against requests that wait for a node that has frozen with their tunnels.
func TestTunnelThroughFrozenNodeEnds(t *testing.T) {
	n := startNodesWith(t, time.Minute, 10, "cut", "frozen")
	n[0].cut.Store(true)
	reply := func(s *peer.Stream) {
		f, err := peer.Encode(33, struct{}{}) // a reply that the connection is open
		require.NoError(t, err)
		require.NoError(t, s.Write(f))
	}
	n[1].onCall.Store(&reply)
	c := dial(t, n[0], rawhttp.Listen(t, echo))
	_, err := c.Read(make([]byte, 1))
	var silent *tunnel.SilentError
	require.ErrorAs(t, err, &silent)
}

func TestReadDeadlineEndsReadOfTunnel(t *testing.T) {
	n := startNodes(t, 10, "cut", "open")
	n[0].cut.Store(true)
	c := dial(t, n[0], rawhttp.Listen(t, echo))
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}

func TestServerThatNoNodeReachesHasFailed(t *testing.T) {
	n := startNodes(t, 10, "a", "b", "c", "d")
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = n[0].dialer.Dial(t.Context(), address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.False(t, n[0].dialer.Suspect())
	var dials int64
	for _, x := range n {
		dials += x.dials.Load()
	}
	require.Equal(t, int64(3), dials, "two other nodes are asked")
}

// TestNodeWithoutPathDoesNotReportServerAsFailed guards against nodes that are cut off, have tried no other server since, and by
// their reply make a server count as failed that other nodes reach.
func TestNodeWithoutPathDoesNotReportServerAsFailed(t *testing.T) {
	n := startNodes(t, 10, "a", "b", "c", "open")
	before, lost := rawhttp.Listen(t, echo), rawhttp.Listen(t, echo)
	for _, x := range n {
		dial(t, x, before)
	}
	for _, x := range n[:3] {
		x.cut.Store(true)
	}
	require.Equal(t, "open", dial(t, n[0], lost).(*tunnel.Conn).Through())
}

// TestFailedServerCostsOneCheckPerNode guards against checks of the own path that grow with the connections that fail.
func TestFailedServerCostsOneCheckPerNode(t *testing.T) {
	n := startNodes(t, 10, "a", "b", "c")
	sound := rawhttp.Listen(t, echo)
	for _, x := range n {
		dial(t, x, sound)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	before := n[1].dials.Load() + n[2].dials.Load()
	for range 5 {
		_, err = n[0].dialer.Dial(t.Context(), address)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
	require.Equal(t, int64(4), n[1].dials.Load()+n[2].dials.Load()-before, "each node tries the server and another one, once")
	require.False(t, n[1].dialer.Suspect())
}

func TestNodesWithoutPathAreAskedOnce(t *testing.T) {
	n := startNodes(t, 10, "a", "b")
	for _, x := range n {
		x.cut.Store(true)
	}
	for range 5 {
		_, err := n[0].dialer.Dial(t.Context(), rawhttp.Listen(t, echo))
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
	require.True(t, n[0].dialer.Suspect())
	require.False(t, n[0].dialer.Isolated(), "nobody has shown that the servers are there")
	require.LessOrEqual(t, n[1].dials.Load(), int64(3), "a node that may have lost its own path is avoided")
}

func TestBusyNodeRefusesTunnels(t *testing.T) {
	n := startNodes(t, 1, "cut", "x", "y")
	n[0].cut.Store(true)
	address := rawhttp.Listen(t, echo)
	first, second := dial(t, n[0], address), dial(t, n[0], address)
	require.NotEqual(t, first.(*tunnel.Conn).Through(), second.(*tunnel.Conn).Through())
	_, err := n[0].dialer.Dial(t.Context(), address)
	require.Error(t, err)
	var refused *tunnel.RefusedError
	require.False(t, errors.As(err, &refused), "the node's own attempt is the last")
}

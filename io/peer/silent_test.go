package peer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/keys"
	"guavapaddle/io/peer"
)

const (
	packetBytes   = 2048
	headerFormBit = 0x80 // bit of the first byte that is zero in packets of an established connection
	connIDLength  = 4    // length of the connection IDs that quic-go generates
)

// relay forwards packets between two endpoints and can drop all packets of the connections
// that are open at a given time.
type relay struct {
	clientSide net.PacketConn
	serverSide net.Conn

	mu     sync.Mutex
	client net.Addr
	seen   map[string]bool // IDs of connections that sent packets
	lost   map[string]bool // IDs of connections whose packets are dropped
}

// newRelay starts a relay to the address to and stops it when the test ends.
func newRelay(t *testing.T, to string) *relay {
	clientSide, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	serverSide, err := net.Dial("udp", to)
	require.NoError(t, err)
	r := &relay{clientSide: clientSide, serverSide: serverSide, seen: map[string]bool{}, lost: map[string]bool{}}
	t.Cleanup(func() { _ = clientSide.Close(); _ = serverSide.Close() })
	go r.forwardToServer()
	go r.forwardToClient()
	return r
}

// pass reports whether a packet belongs to a connection that is not lost, and records its
// connection.
func (r *relay) pass(b []byte) bool {
	if len(b) <= connIDLength || b[0]&headerFormBit != 0 {
		return true
	}
	id := string(b[1 : 1+connIDLength])
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost[id] {
		return false
	}
	r.seen[id] = true
	return true
}

// forwardToServer forwards packets of the client to the server.
func (r *relay) forwardToServer() {
	b := make([]byte, packetBytes)
	for {
		n, from, err := r.clientSide.ReadFrom(b)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.client = from
		r.mu.Unlock()
		if r.pass(b[:n]) {
			_, _ = r.serverSide.Write(b[:n])
		}
	}
}

// forwardToClient forwards packets of the server to the client.
func (r *relay) forwardToClient() {
	b := make([]byte, packetBytes)
	for {
		n, err := r.serverSide.Read(b)
		if err != nil {
			return
		}
		r.mu.Lock()
		client := r.client
		r.mu.Unlock()
		if r.pass(b[:n]) {
			_, _ = r.clientSide.WriteTo(b[:n], client)
		}
	}
}

// loseConnections drops all further packets of the connections that are open now.
func (r *relay) loseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost, r.seen = r.seen, map[string]bool{}
}

// TestInvariantSilentConnectionIsRedialled makes a connection between two nodes permanently
// unresponsive while new connections work: a call over it gets no reply, and the next call
// after Redial succeeds.
func TestInvariantSilentConnectionIsRedialled(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, []string{"a", "b"}))
	a := &peer.Endpoint{TLS: loadFiles(t, dir, "a"), OnCall: echo}
	start(t, a)
	relayed := newRelay(t, start(t, &peer.Endpoint{TLS: loadFiles(t, dir, "b"), OnCall: echo}))
	address := relayed.clientSide.LocalAddr().String()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	call := func(wait time.Duration) error {
		s, err := a.Open(ctx, address, peer.Frame{Kind: 2, Body: []byte("call")})
		if err != nil {
			return err
		}
		s.SetReadDeadline(time.Now().Add(wait))
		_, err = s.Read()
		return err
	}
	require.NoError(t, call(10*time.Second))
	relayed.loseConnections()
	require.Error(t, call(500*time.Millisecond))
	a.Redial(address)
	require.NoError(t, call(10*time.Second))
}

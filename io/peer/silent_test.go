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
	packetBytes  = 2048
	shortHeader  = 0x80 // is zero in the first byte of a packet of an open connection
	connIDLength = 4    // of the library's connection ids
)

// relay carries packets between one endpoint and another and can lose track of
// the connections that are open.
type relay struct {
	front net.PacketConn
	back  net.Conn

	mu     sync.Mutex
	client net.Addr
	seen   map[string]bool // connection ids
	lost   map[string]bool
}

func newRelay(t *testing.T, to string) *relay {
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	back, err := net.Dial("udp", to)
	require.NoError(t, err)
	r := &relay{front: front, back: back, seen: map[string]bool{}, lost: map[string]bool{}}
	t.Cleanup(func() { _ = front.Close(); _ = back.Close() })
	go r.forth()
	go r.forthBack()
	return r
}

// pass tells whether a packet belongs to a connection that is not lost.
func (r *relay) pass(b []byte) bool {
	if len(b) <= connIDLength || b[0]&shortHeader != 0 {
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

func (r *relay) forth() {
	b := make([]byte, packetBytes)
	for {
		n, from, err := r.front.ReadFrom(b)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.client = from
		r.mu.Unlock()
		if r.pass(b[:n]) {
			_, _ = r.back.Write(b[:n])
		}
	}
}

func (r *relay) forthBack() {
	b := make([]byte, packetBytes)
	for {
		n, err := r.back.Read(b)
		if err != nil {
			return
		}
		r.mu.Lock()
		client := r.client
		r.mu.Unlock()
		if r.pass(b[:n]) {
			_, _ = r.front.WriteTo(b[:n], client)
		}
	}
}

// lose makes the open connections silent for good.
func (r *relay) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost, r.seen = r.seen, map[string]bool{}
}

// TestInvariantSilentConnectionIsRenewed makes a connection between two nodes
// go silent for good while new ones work: a call over it gets no answer, and
// the next one after Renew is answered.
func TestInvariantSilentConnectionIsRenewed(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, []string{"a", "b"}))
	a := &peer.Endpoint{TLS: files(t, dir, "a"), OnCall: echo}
	start(t, a)
	between := newRelay(t, start(t, &peer.Endpoint{TLS: files(t, dir, "b"), OnCall: echo}))
	at := between.front.LocalAddr().String()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	call := func(wait time.Duration) error {
		s, err := a.Open(ctx, at, peer.Frame{Kind: 2, Body: []byte("call")})
		if err != nil {
			return err
		}
		s.ReadBy(time.Now().Add(wait))
		_, err = s.Read()
		return err
	}
	require.NoError(t, call(10*time.Second))
	between.lose()
	require.Error(t, call(500*time.Millisecond))
	a.Renew(at)
	require.NoError(t, call(10*time.Second))
}

package peer_test

import (
	"context"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/keys"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/io/peer"
)

// generateKeys generates keys for names under a new authority and loads the key of the first
// name.
func generateKeys(t *testing.T, names ...string) *keys.Files {
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, names))
	return loadFiles(t, dir, names[0])
}

// loadFiles loads the key of name from dir.
func loadFiles(t *testing.T, dir, name string) *keys.Files {
	f := &keys.Files{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
	}
	require.NoError(t, f.Load())
	return f
}

// start runs an endpoint until the test ends and returns its address.
func start(t *testing.T, e *peer.Endpoint) string {
	e.Address = "127.0.0.1:0"
	if e.OnMessage == nil {
		e.OnMessage = func(string, peer.Frame) {}
	}
	address, err := e.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, await.Value(t, done, "the endpoint's end"))
	})
	return address
}

// echo replies to a call with the frame that it received.
func echo(_ context.Context, _ string, f peer.Frame, s *peer.Stream) {
	if s.Write(f) == nil {
		_ = s.Close()
	}
}

func TestSendAndCall(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, []string{"a", "b"}))
	received := make(chan string, 1)
	a := &peer.Endpoint{TLS: loadFiles(t, dir, "a"), OnCall: echo}
	b := &peer.Endpoint{TLS: loadFiles(t, dir, "b"), OnCall: echo, OnMessage: func(from string, f peer.Frame) {
		received <- from + ":" + string(f.Body)
	}}
	start(t, a)
	address := start(t, b)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, a.Send(ctx, address, peer.Frame{Kind: 1, Body: []byte("hello")}))
	require.Equal(t, "a:hello", <-received)
	s, err := a.Open(ctx, address, peer.Frame{Kind: 2, Body: []byte("call")})
	require.NoError(t, err)
	f, err := s.Read()
	require.NoError(t, err)
	require.Equal(t, "call", string(f.Body))
}

// TestForeignAuthority checks that neither side accepts a certificate of another authority.
func TestForeignAuthority(t *testing.T) {
	called := make(chan struct{}, 1)
	a := &peer.Endpoint{TLS: generateKeys(t, "a"), OnCall: echo}
	b := &peer.Endpoint{TLS: generateKeys(t, "b"), OnCall: func(context.Context, string, peer.Frame, *peer.Stream) {
		called <- struct{}{}
	}}
	start(t, a)
	address := start(t, b)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := a.Open(ctx, address, peer.Frame{Kind: 2})
	var e *peer.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, peer.Unreachable, e.Kind)
	require.Empty(t, called)
}

// TestSilentPeer checks that dialling an address that receives packets but never replies
// fails as unreachable.
func TestSilentPeer(t *testing.T) {
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	a := &peer.Endpoint{TLS: generateKeys(t, "a"), OnCall: echo, DialTimeout: 100 * time.Millisecond}
	start(t, a)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = a.Open(ctx, silent.LocalAddr().String(), peer.Frame{Kind: 2})
	var e *peer.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, peer.Unreachable, e.Kind)
	require.NoError(t, ctx.Err())
}

// TestKeysAreReplaced replaces a node's key while it runs: new connections use the new key,
// and an unreadable file leaves the old key in use.
func TestKeysAreReplaced(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, []string{"a", "b"}))
	source := loadFiles(t, dir, "b")
	a := &peer.Endpoint{TLS: loadFiles(t, dir, "a"), OnCall: echo}
	b := &peer.Endpoint{TLS: source, OnCall: echo}
	start(t, a)
	address := start(t, b)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := a.Open(ctx, address, peer.Frame{Kind: 2})
	require.NoError(t, err)
	otherDir := t.TempDir()
	require.NoError(t, keys.Generate(otherDir, []string{"b"}))
	source.CA, source.Cert, source.Key = filepath.Join(otherDir, "none"), filepath.Join(otherDir, "none"), filepath.Join(otherDir, "none")
	require.Error(t, source.Load())
	a.CloseConn(address)
	_, err = a.Open(ctx, address, peer.Frame{Kind: 2})
	require.NoError(t, err, "the old key is still in use")
	source.CA, source.Cert, source.Key = filepath.Join(otherDir, "ca.pem"), filepath.Join(otherDir, "b.pem"), filepath.Join(otherDir, "b.key")
	require.NoError(t, source.Load())
	a.CloseConn(address)
	_, err = a.Open(ctx, address, peer.Frame{Kind: 2})
	require.Error(t, err, "the new key belongs to another authority")
}

// TestExcessConnectionsAreRefused guards against a node that spends its processor time on the handshakes of
// more nodes than it serves: the nodes whose handshakes came too late dialled again, without end.
func TestExcessConnectionsAreRefused(t *testing.T) {
	names := []string{"server", "a", "b"}
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, names))
	server := &peer.Endpoint{TLS: loadFiles(t, dir, "server"), OnCall: echo, Accept: func(_ string, open int) bool { return open < 1 }}
	address := start(t, server)
	call := func(e *peer.Endpoint) error {
		s, err := e.Open(t.Context(), address, peer.Frame{Kind: 1})
		if err != nil {
			return err
		}
		_, err = s.Read()
		return err
	}
	first := &peer.Endpoint{TLS: loadFiles(t, dir, "a")}
	start(t, first)
	require.NoError(t, call(first))
	second := &peer.Endpoint{TLS: loadFiles(t, dir, "b")}
	start(t, second)
	var failed *peer.Error
	require.ErrorAs(t, call(second), &failed)
	require.Equal(t, peer.Unreachable, failed.Kind)
	first.CloseConn(address)
	require.Eventually(t, func() bool { return call(second) == nil }, 5*time.Second, 10*time.Millisecond)
}

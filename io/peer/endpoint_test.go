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

// load makes keys for names under an authority of their own and loads those of
// the first.
func load(t *testing.T, names ...string) *keys.Files {
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, names))
	return files(t, dir, names[0])
}

func files(t *testing.T, dir, name string) *keys.Files {
	f := &keys.Files{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
	}
	require.NoError(t, f.Load())
	return f
}

// start runs an endpoint until the test ends.
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

// echo answers a call with its own frame.
func echo(_ context.Context, _ string, f peer.Frame, s *peer.Stream) {
	if s.Write(f) == nil {
		_ = s.Close()
	}
}

func TestCall(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, []string{"a", "b"}))
	heard := make(chan string, 1)
	a := &peer.Endpoint{TLS: files(t, dir, "a"), OnCall: echo}
	b := &peer.Endpoint{TLS: files(t, dir, "b"), OnCall: echo, OnMessage: func(from string, f peer.Frame) {
		heard <- from + ":" + string(f.Body)
	}}
	start(t, a)
	at := start(t, b)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, a.Send(ctx, at, peer.Frame{Kind: 1, Body: []byte("hello")}))
	require.Equal(t, "a:hello", <-heard)
	s, err := a.Open(ctx, at, peer.Frame{Kind: 2, Body: []byte("call")})
	require.NoError(t, err)
	f, err := s.Read()
	require.NoError(t, err)
	require.Equal(t, "call", string(f.Body))
}

// TestForeignAuthority shows that neither side takes a certificate of another
// authority.
func TestForeignAuthority(t *testing.T) {
	called := make(chan struct{}, 1)
	a := &peer.Endpoint{TLS: load(t, "a"), OnCall: echo}
	b := &peer.Endpoint{TLS: load(t, "b"), OnCall: func(context.Context, string, peer.Frame, *peer.Stream) {
		called <- struct{}{}
	}}
	start(t, a)
	at := start(t, b)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := a.Open(ctx, at, peer.Frame{Kind: 2})
	var e *peer.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, peer.Unreachable, e.Kind)
	require.Empty(t, called)
}

// TestSilentPeer dials an address that takes packets and says nothing.
func TestSilentPeer(t *testing.T) {
	hole, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = hole.Close() }()
	a := &peer.Endpoint{TLS: load(t, "a"), OnCall: echo, DialTimeout: 100 * time.Millisecond}
	start(t, a)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = a.Open(ctx, hole.LocalAddr().String(), peer.Frame{Kind: 2})
	var e *peer.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, peer.Unreachable, e.Kind)
	require.NoError(t, ctx.Err())
}

// TestKeysAreReplaced replaces a node's key while it runs: new connections use
// the new one, and a broken file leaves the old one in use.
func TestKeysAreReplaced(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, keys.Generate(dir, []string{"a", "b"}))
	source := files(t, dir, "b")
	a := &peer.Endpoint{TLS: files(t, dir, "a"), OnCall: echo}
	b := &peer.Endpoint{TLS: source, OnCall: echo}
	start(t, a)
	at := start(t, b)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := a.Open(ctx, at, peer.Frame{Kind: 2})
	require.NoError(t, err)
	other := t.TempDir()
	require.NoError(t, keys.Generate(other, []string{"b"}))
	source.CA, source.Cert, source.Key = filepath.Join(other, "none"), filepath.Join(other, "none"), filepath.Join(other, "none")
	require.Error(t, source.Load())
	a.Forget(at)
	_, err = a.Open(ctx, at, peer.Frame{Kind: 2})
	require.NoError(t, err, "the old key is in use")
	source.CA, source.Cert, source.Key = filepath.Join(other, "ca.pem"), filepath.Join(other, "b.pem"), filepath.Join(other, "b.key")
	require.NoError(t, source.Load())
	a.Forget(at)
	_, err = a.Open(ctx, at, peer.Frame{Kind: 2})
	require.Error(t, err, "the new key has another authority")
}

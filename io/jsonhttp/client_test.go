package jsonhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/io/jsonhttp"
)

// TestInvariantHalfWrittenIsSent checks that a call of which the server has seen
// only a part counts as sent: the server has run it by then.
func TestInvariantHalfWrittenIsSent(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		ran, release := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			close(ran)
			cancel()
			<-release
		}))
		c := &jsonhttp.Client{Address: server.Listener.Addr().String(), Fresh: fresh}
		_, err := c.Do(ctx, jsonhttp.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 64<<20)})
		require.Equal(t, jsonhttp.Sent, jsonhttp.StageOf(err))
		<-ran
		close(release)
		c.Close()
		server.Close()
	}
}

// TestInvariantHalfHeaderIsSent checks that a call counts as sent as soon as a
// byte of its header may have left.
func TestInvariantHalfHeaderIsSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		if c, err := l.Accept(); err == nil {
			_, _ = io.ReadFull(c, make([]byte, 1)) // the rest is never read
			cancel()
		}
	}()
	c := &jsonhttp.Client{Address: l.Addr().String(), Fresh: true}
	header := http.Header{"X-Long": {strings.Repeat("x", 64<<20)}}
	_, err = c.Do(ctx, jsonhttp.Call{Method: http.MethodPost, Path: "/", Header: header})
	require.Equal(t, jsonhttp.Sent, jsonhttp.StageOf(err))
}

// TestInvariantSealedConnectionWritesNothing checks that the figure by which a
// call is said not to be sent is final.
func TestInvariantSealedConnectionWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	c := jsonhttp.NewConn(near)
	require.Zero(t, c.Seal())
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Zero(t, c.Seal())
	n, err := far.Read(make([]byte, 1))
	require.Zero(t, n)
	require.ErrorIs(t, err, io.EOF)
}

// TestAnswerBounds checks that an answer which is too long or no JSON is an
// error.
func TestAnswerBounds(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100))
	}))
	defer server.Close()
	c := &jsonhttp.Client{Address: server.Listener.Addr().String(), MaxBody: 100}
	defer c.Close()
	var out struct{}
	_, err := c.JSON(t.Context(), http.MethodGet, "/", nil, &out)
	require.Equal(t, jsonhttp.Malformed, jsonhttp.StageOf(err))
	c = &jsonhttp.Client{Address: c.Address, MaxBody: 99}
	defer c.Close()
	_, err = c.Do(t.Context(), jsonhttp.Call{Method: http.MethodGet, Path: "/"})
	require.Equal(t, jsonhttp.TooLarge, jsonhttp.StageOf(err))
}

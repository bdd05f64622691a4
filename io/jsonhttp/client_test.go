package jsonhttp_test

import (
	"context"
	"io"
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

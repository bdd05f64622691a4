package jsonhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/io/jsonhttp"
)

// TestInvariantPartialBodyIsSent checks that a call whose body was written only partially
// counts as sent: the server's handler has already run.
func TestInvariantPartialBodyIsSent(t *testing.T) {
	for _, disableReuse := range []bool{true, false} {
		ctx, cancel := context.WithCancel(t.Context())
		ran, release := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			close(ran)
			cancel()
			<-release
		}))
		c := &jsonhttp.Client{Address: server.Listener.Addr().String(), DisableReuse: disableReuse}
		_, err := c.Do(ctx, jsonhttp.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 64<<20)})
		require.Equal(t, jsonhttp.Sent, jsonhttp.StageOf(err))
		<-ran
		close(release)
		c.Close()
		server.Close()
	}
}

// TestInvariantPartialHeaderIsSent checks that a call counts as sent as soon as any byte of
// its header may have been written.
func TestInvariantPartialHeaderIsSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		if c, err := l.Accept(); err == nil {
			_, _ = io.ReadFull(c, make([]byte, 1)) // the remaining bytes are never read
			cancel()
		}
	}()
	c := &jsonhttp.Client{Address: l.Addr().String(), DisableReuse: true}
	header := http.Header{"X-Long": {strings.Repeat("x", 64<<20)}}
	_, err = c.Do(ctx, jsonhttp.Call{Method: http.MethodPost, Path: "/", Header: header})
	require.Equal(t, jsonhttp.Sent, jsonhttp.StageOf(err))
}

// TestInvariantEndedContextSendsNothing guards against a call that reaches the server although its context had
// ended before, because the end is noticed by another goroutine.
func TestInvariantEndedContextSendsNothing(t *testing.T) {
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	defer server.Close()
	c := &jsonhttp.Client{Address: server.Listener.Addr().String()}
	for range 500 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		cancel()
		_, err := c.Do(ctx, jsonhttp.Call{Method: http.MethodGet, Path: "/"})
		require.Equal(t, jsonhttp.NotSent, jsonhttp.StageOf(err))
		require.ErrorIs(t, err, context.Canceled)
	}
	require.Zero(t, served.Load())
}

// TestInvariantSealedConnectionWritesNothing checks that nothing is written after sealing,
// so that the number of writes that proves a call unsent is final.
func TestInvariantSealedConnectionWritesNothing(t *testing.T) {
	client, server := net.Pipe()
	c := jsonhttp.NewConn(client)
	require.Zero(t, c.Seal())
	_, err := c.Write([]byte("x"))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Zero(t, c.Seal())
	n, err := server.Read(make([]byte, 1))
	require.Zero(t, n)
	require.ErrorIs(t, err, io.EOF)
}

// TestTooLongOrMalformedResponse checks that a response that is too long or not JSON is an
// error.
func TestTooLongOrMalformedResponse(t *testing.T) {
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

// TestErrorReportsProgress guards against an error that does not show whether a timed-out
// call waited for a connection, for the server or for its own process.
func TestErrorReportsProgress(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/half" {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
		}
		<-release
	}))
	defer server.Close()
	defer close(release)
	for _, test := range []struct {
		name, address, path string
		connected, answered bool
	}{
		{"no listener", "127.0.0.1:1", "/", false, false},
		{"no response", server.Listener.Addr().String(), "/", true, false},
		{"partial response", server.Listener.Addr().String(), "/half", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			const timeout = 100 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			c := &jsonhttp.Client{Address: test.address}
			defer c.Close()
			_, err := c.Do(ctx, jsonhttp.Call{Method: http.MethodPost, Path: test.path, Body: []byte("x")})
			var failure *jsonhttp.Error
			require.ErrorAs(t, err, &failure)
			p := failure.Progress
			require.Equal(t, test.connected, p.Connected > 0, p)
			require.Equal(t, test.connected, p.Written > 0, p)
			require.Equal(t, test.answered, p.FirstByte > 0, p)
			if test.connected {
				require.GreaterOrEqual(t, p.Failed, timeout, p)
			}
			reported := strings.Contains(err.Error(), "failed "+p.Failed.Round(time.Microsecond).String())
			require.Equal(t, test.connected, reported, err)
		})
	}
}

// overdueContext is a context whose deadline passes before it ends, as in a process that was
// stalled.
type overdueContext struct {
	context.Context
	done chan struct{}
}

func (o *overdueContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }
func (o *overdueContext) Done() <-chan struct{}       { return o.done }
func (o *overdueContext) Err() error {
	select {
	case <-o.done:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// TestResponseIsReadAfterStall guards against a call that fails although its response has
// arrived, because the process was stalled when the deadline passed.
func TestResponseIsReadAfterStall(t *testing.T) {
	read, release := make(chan struct{}, 1), make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		read <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "answer")
	}))
	defer server.Close()
	c := &jsonhttp.Client{Address: server.Listener.Addr().String()}
	defer c.Close()

	ctx := &overdueContext{Context: t.Context(), done: make(chan struct{})}
	go func() {
		<-read
		close(ctx.done)
		<-time.After(10 * time.Millisecond)
		release <- struct{}{}
	}()
	resp, err := c.Do(ctx, jsonhttp.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
	require.NoError(t, err)
	require.Equal(t, "answer", string(resp.Body))

	ctx = &overdueContext{Context: t.Context(), done: make(chan struct{})}
	go func() {
		<-read
		close(ctx.done)
	}()
	start := time.Now()
	_, err = c.Do(ctx, jsonhttp.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
	release <- struct{}{}
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, jsonhttp.Sent, jsonhttp.StageOf(err))
	require.Less(t, time.Since(start), 10*time.Second, "the extension is bounded")
}

package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/await"
	"guavapaddle/io/http1"
)

// recorder is a Handler that responds to every request and records the requests.
type recorder struct {
	mu        sync.Mutex
	requests  []string // method, target and body
	onRequest func(x *http1.Exchange)
}

func (r *recorder) Handle(x *http1.Exchange) {
	r.mu.Lock()
	r.requests = append(r.requests, x.Request.Method+" "+x.Request.RequestURI+" "+string(x.Body))
	r.mu.Unlock()
	if r.onRequest != nil {
		r.onRequest(x)
	}
	if !x.HeaderWritten() {
		_ = x.Respond(http.StatusOK, http.Header{"X-Target": {x.Request.RequestURI}}, []byte("ok"))
	}
}

func (r *recorder) recorded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.requests...)
}

// serve runs a server with h and l until the test ends and returns it with its address.
func serve(t testing.TB, h http1.Handler, l http1.Limits) (*http1.Server, string) {
	t.Helper()
	s := &http1.Server{Handler: h, Limits: func() http1.Limits { return l }}
	return s, run(t, s)
}

// run runs a server until the test ends and returns its address.
func run(t testing.TB, s *http1.Server) string {
	t.Helper()
	nl, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go s.Serve(nl)
	t.Cleanup(func() {
		_ = nl.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.Shutdown(ctx)
	})
	return nl.Addr().String()
}

// sendRaw sends text over a new connection and returns everything that the server sends
// until it closes.
func sendRaw(t testing.TB, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	return string(b)
}

// TestAbortedResponseToHTTP10IsReset guards against a response that ends with its connection and looks complete though it
// was broken off.
func TestAbortedResponseToHTTP10IsReset(t *testing.T) {
	for _, aborted := range []bool{false, true} {
		h := &recorder{onRequest: func(x *http1.Exchange) {
			require.NoError(t, x.WriteHeader(http.StatusOK, http.Header{}))
			require.NoError(t, x.Write([]byte("part")))
			if aborted {
				x.Abort()
			} else {
				require.NoError(t, x.End())
			}
		}}
		_, address := serve(t, h, http1.Limits{})
		c, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
		require.NoError(t, err)
		_, err = io.ReadAll(c)
		if aborted {
			require.ErrorIs(t, err, syscall.ECONNRESET)
		} else {
			require.NoError(t, err)
		}
	}
}

func TestAmbiguousRequestsAreRejected(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, text := range map[string]string{
		"length and chunked":     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"chunked and length":     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + smuggled,
		"two lengths":            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 36\r\n\r\n" + smuggled,
		"two equal lengths":      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"signed length":          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +0\r\n\r\n" + smuggled,
		"list of lengths":        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0, 36\r\n\r\n" + smuggled,
		"unknown encoding":       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n" + smuggled,
		"two encodings":          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + smuggled,
		"bare line feed":         "GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n" + smuggled,
		"folded field":           "GET / HTTP/1.1\r\nHost: h\r\nX: y\r\n z\r\n\r\n" + smuggled,
		"space before colon":     "GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 36\r\n\r\n" + smuggled,
		"no colon":               "GET / HTTP/1.1\r\nHost: h\r\nnonsense\r\n\r\n" + smuggled,
		"two hosts":              "GET / HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n" + smuggled,
		"no host":                "GET / HTTP/1.1\r\n\r\n" + smuggled,
		"carriage return":        "GET / HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n" + smuggled,
		"absolute target":        "GET http://g/ HTTP/1.1\r\nHost: h\r\n\r\n" + smuggled,
		"malformed chunk":        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n" + smuggled,
		"chunked in HTTP/1.0":    "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"malformed request line": "hello\r\n\r\n" + smuggled,
	} {
		t.Run(name, func(t *testing.T) {
			h := &recorder{}
			_, address := serve(t, h, http1.Limits{})
			got := sendRaw(t, address, text)
			require.True(t, strings.HasPrefix(got, "HTTP/1.1 400 "), got)
			require.Contains(t, got, "Connection: close")
			require.Empty(t, h.recorded())
		})
	}
}

func TestBodyWithLengthOrChunked(t *testing.T) {
	h := &recorder{}
	_, address := serve(t, h, http1.Limits{})
	got := sendRaw(t, address, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1;x=y\r\nf\r\n0\r\nTrailer: z\r\n\r\n"+
		"GET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	require.Equal(t, 3, strings.Count(got, "HTTP/1.1 200 OK"))
	require.Equal(t, []string{"POST /a abc", "POST /b def", "GET /c "}, h.recorded())
}

func TestClientLimits(t *testing.T) {
	h := &recorder{}
	_, address := serve(t, h, http1.Limits{HeaderBytes: 1000, BodyBytes: 10, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond})
	require.Contains(t, sendRaw(t, address, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 2000)+"\r\n\r\n"), " 431 ")
	require.Contains(t, sendRaw(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n"), " 413 ")
	require.Contains(t, sendRaw(t, address, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n"+strings.Repeat("x", 32)+"\r\n0\r\n\r\n"), " 413 ")
	require.Contains(t, sendRaw(t, address, "GET / HTTP/1.1\r\nHost"), " 408 ")
	require.Empty(t, sendRaw(t, address, ""), "an idle connection is closed without a response")
	require.Empty(t, h.recorded())
}

func TestAbortedStreamHasNoFinalChunk(t *testing.T) {
	h := &recorder{onRequest: func(x *http1.Exchange) {
		_ = x.WriteHeader(http.StatusOK, http.Header{})
		_ = x.Write([]byte("part"))
		if x.Request.RequestURI == "/abort" {
			x.Abort()
			return
		}
		_ = x.End()
	}}
	_, address := serve(t, h, http1.Limits{})
	require.True(t, strings.HasSuffix(sendRaw(t, address, "GET /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), "4\r\npart\r\n0\r\n\r\n"))
	require.True(t, strings.HasSuffix(sendRaw(t, address, "GET /abort HTTP/1.1\r\nHost: h\r\n\r\n"), "4\r\npart\r\n"))
}

func TestShutdownWaitsForOpenRequests(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	h := &recorder{onRequest: func(*http1.Exchange) {
		entered <- struct{}{}
		<-leave
	}}
	s, address := serve(t, h, http1.Limits{})
	idle, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-entered
	require.Eventually(t, func() bool { return s.ConnCount() == 2 }, time.Second, time.Millisecond)
	done := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.Shutdown(ctx)
		close(done)
	}()
	_, err = idle.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "an idle connection is closed")
	close(leave)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.True(t, resp.Close, "the last response carries Connection: close")
	await.Value(t, done, "the end of Shutdown")
}

func TestContextIsCancelledWhenClientDisconnects(t *testing.T) {
	cancelled := make(chan struct{})
	h := &recorder{onRequest: func(x *http1.Exchange) {
		<-x.Context().Done()
		x.Abort()
		close(cancelled)
	}}
	_, address := serve(t, h, http1.Limits{})
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		require.Fail(t, "the handler's context was not cancelled")
	}
}

// FuzzServer checks that the server never handles more requests than the input contains, and
// only methods that occur in it.
func FuzzServer(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		h := &recorder{}
		a, b := net.Pipe()
		s := &http1.Server{Handler: h, Limits: func() http1.Limits {
			return http1.Limits{HeaderTimeout: 20 * time.Millisecond, IdleTimeout: 20 * time.Millisecond}
		}}
		l := &singleConnListener{c: b, done: make(chan struct{})}
		go s.Serve(l)
		go func() { _, _ = io.Copy(io.Discard, a) }()
		_ = a.SetDeadline(time.Now().Add(200 * time.Millisecond))
		_, _ = io.WriteString(a, text)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = a.Close()
		s.Shutdown(ctx)
		close(l.done)
		for _, r := range h.recorded() {
			method, _, _ := strings.Cut(r, " ")
			require.Contains(t, text, method)
		}
		if strings.Count(text, "HTTP/1.") < len(h.recorded()) {
			t.Fatalf("%d requests out of %q", len(h.recorded()), text)
		}
	})
}

// singleConnListener is a listener that accepts exactly one connection.
type singleConnListener struct {
	c        net.Conn
	done     chan struct{}
	accepted bool
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	if !l.accepted {
		l.accepted = true
		return l.c, nil
	}
	<-l.done
	return nil, net.ErrClosed
}

func (l *singleConnListener) Close() error   { return nil }
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

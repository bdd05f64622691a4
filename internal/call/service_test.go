package call_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
	"guavapaddle/internal/call"
	svc "guavapaddle/io/service"
)

// TestSendClassifiesFailures checks the outcome of failures on a real
// connection, for repeatable and other kinds.
func TestSendClassifiesFailures(t *testing.T) {
	seen := make(chan http.Header, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		w.Header().Set(svc.RequestIDHeader, r.Header.Get(svc.RequestIDHeader))
		w.Header().Set("Keep-Alive", "timeout=5")
		switch r.URL.Path {
		case "/confirmed":
			w.Header().Set(svc.NotRunHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/overloaded":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/foreign":
			w.Header().Set(svc.RequestIDHeader, "another")
		case "/cut":
			w.Header().Set("Content-Length", "9")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		case "/breaks":
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	closed := httptest.NewServer(nil)
	closed.Close()
	for name, c := range map[string]struct {
		url, path string
		kind      config.Kind
		outcome   outcome.Outcome
		reason    outcome.Reason
	}{
		"no connection":          {closed.URL, "/", book, outcome.RefusedNotRun, outcome.BackendUnreachable},
		"confirmed":              {server.URL, "/confirmed", book, outcome.RefusedNotRun, outcome.BackendRefused},
		"breaks":                 {server.URL, "/breaks", book, outcome.Unknown, outcome.BackendLost},
		"breaks, repeatable":     {server.URL, "/breaks", lookup, outcome.Unknown, outcome.BackendLost},
		"cut":                    {server.URL, "/cut", book, outcome.Unknown, outcome.BackendLost},
		"another request's id":   {server.URL, "/foreign", book, outcome.Unknown, outcome.BackendFailed},
		"overloaded, repeatable": {server.URL, "/overloaded", lookup, outcome.FailedAfterStart, outcome.BackendFailed},
		"overloaded, once":       {server.URL, "/overloaded", book, outcome.Done, ""},
		"no fault":               {server.URL, "/", book, outcome.Done, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := &call.Services{}
			t.Cleanup(func() { s.Retain(nil) })
			to := config.BackendServer{Name: "s1", Address: strings.TrimPrefix(c.url, "http://")}
			r := request(c.kind, "r1", "k1", "b")
			r.Path = c.path
			r.Header = http.Header{"Authorization": {"Bearer secret"}, "X-Trace": {"7"}}
			a, err := s.Send(t.Context(), to, r)
			require.Equal(t, c.url == server.URL, s.Alive(t.Context(), to))
			if c.reason != "" {
				requireOutcome(t, err, c.outcome, c.reason)
			} else {
				require.NoError(t, err)
				require.Empty(t, a.Header.Get("Keep-Alive"))
			}
			if c.url == server.URL {
				header := <-seen
				require.Empty(t, seen, "sent once")
				require.Empty(t, header.Get("Authorization"), "the caller's key is not forwarded")
				require.Equal(t, "7", header.Get("X-Trace"))
				require.Equal(t, "k1", header.Get(svc.IdempotencyKeyHeader))
			}
		})
	}
}

// TestPoolPicks checks that leaving servers get no calls, that failed and
// avoided servers get calls only if no other server is left, and that idle
// servers get more calls than busy ones.
func TestPoolPicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p call.Pool
		leaving := map[string]bool{}
		server := func(name string) config.BackendServer {
			return config.BackendServer{Name: name, Type: config.Service, Service: "bookings"}
		}
		set := func(names ...string) {
			var all []config.BackendServer
			for _, n := range names {
				all = append(all, server(n))
			}
			p.Set(append(all, config.BackendServer{Name: "e", Type: config.Engine}), func(n string) bool { return leaving[n] })
		}
		pick := func(avoid ...string) (string, func(*outcome.Error)) {
			s, done, found := p.Pick("bookings", avoid)
			require.True(t, found)
			return s.Name, done
		}
		_, _, found := p.Pick("bookings", nil)
		require.False(t, found)
		set("a", "b")
		for range 20 {
			name, done := pick("a")
			require.Equal(t, "b", name)
			done(nil)
		}
		name, done := pick("a")
		require.Equal(t, "b", name)
		done(outcome.Unconfirmed(outcome.BackendLost, ""))
		for range 20 {
			name, done = pick()
			require.Equal(t, "a", name, "b is in cooldown")
			done(nil)
		}
		leaving["a"] = true
		set("a", "b", "c")
		for range 20 {
			name, done = pick("c")
			require.Equal(t, "b", name, "servers in cooldown come before avoided ones, leaving ones are never picked")
			done(nil)
		}
		leaving["b"], leaving["c"] = true, true
		set("a", "b", "c")
		_, _, found = p.Pick("bookings", nil)
		require.False(t, found)
		time.Sleep(call.DefaultCooldown)
		leaving = map[string]bool{}
		set("a", "b")
		count := map[string]int{}
		for range 4000 {
			name, _ = pick()
			count[name]++
			require.InDelta(t, count["a"], count["b"], 20, "balanced by calls in flight")
		}
	})
}

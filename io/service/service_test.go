package service_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/standin/fault"
	standin "guavapaddle/internal/testbed/standin/service"
	"guavapaddle/io/service"
)

// start starts a plain service and returns it with a client for it.
func start(t *testing.T) (*standin.Service, *service.Client) {
	t.Helper()
	s := &standin.Service{Name: "s"}
	return s, serve(t, s)
}

// serve starts s and returns a client for it.
func serve(t *testing.T, s *standin.Service) *service.Client {
	t.Helper()
	address, err := s.Start()
	require.NoError(t, err)
	t.Cleanup(s.Close)
	c := &service.Client{Address: address, Timeout: 5 * time.Second}
	t.Cleanup(c.Close)
	return c
}

// confirm returns a booking confirmation, which must not be repeated.
func confirm(id string) service.Request {
	return service.Request{Method: http.MethodPost, Path: "/bookings/confirm", RequestID: id,
		IdempotencyKey: "key-" + id, Body: []byte(`{"booking":"` + id + `"}`)}
}

// runs returns the total number of executions.
func runs(s *standin.Service) int {
	n := 0
	for _, r := range s.Journal() {
		n += r.Count
	}
	return n
}

// TestInvariantCallRunsAtMostOnce makes non-repeatable calls to a server with each kind of
// fault. It checks that no call runs twice and that no call that ran is reported as not run.
func TestInvariantCallRunsAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults fault.Faults
		kind   service.Kind // of the failure, empty if there is none
		runs   int          // of two calls
	}{
		{"sound", fault.Faults{}, "", 2},
		{"closes reused connections", fault.Faults{CloseReused: true}, "", 2},
		{"drops answers", fault.Faults{DropAnswers: 2}, service.Lost, 2},
		{"down", fault.Faults{Down: true}, service.Lost, 0},
		{"refuses", fault.Faults{Refuse: true}, service.Refused, 0},
		{"leaving", fault.Faults{Leaving: true}, service.Refused, 0},
		{"black hole", fault.Faults{BlackHole: true}, service.Timeout, 0},
		{"late", fault.Faults{DelayMS: 60000}, service.Timeout, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client := start(t)
			s.Faults.SetFaults(c.faults)
			if c.kind == service.Timeout {
				client.Timeout = 100 * time.Millisecond
			}
			for _, id := range []string{"a", "b"} {
				resp, err := client.Do(t.Context(), confirm(id))
				require.Equal(t, c.kind, service.KindOf(err), "%v", err)
				require.Equal(t, c.kind == service.Refused, service.NotRun(err))
				if err == nil {
					require.Equal(t, http.StatusOK, resp.Status)
				}
			}
			require.Eventually(t, func() bool { return runs(s) >= c.runs }, 5*time.Second, time.Millisecond)
			require.Equal(t, c.runs, runs(s))
			for _, r := range s.Journal() {
				require.Equal(t, 1, r.Count)
			}
		})
	}
}

// TestReusedConnectionReplays demonstrates the failure that the client avoids: a net/http
// Transport that reuses connections and can read the body again runs a call twice when the
// server closes the connection. Without this second run, TestInvariantCallRunsAtMostOnce
// would prove nothing.
func TestReusedConnectionReplays(t *testing.T) {
	s, c := start(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	s.Faults.SetFaults(fault.Faults{CloseReused: true})
	for _, id := range []string{"a", "b"} {
		r := confirm(id)
		req, err := http.NewRequestWithContext(t.Context(), r.Method, "http://"+c.Address+r.Path, strings.NewReader(string(r.Body)))
		require.NoError(t, err)
		req.Header.Set(service.IdempotencyKeyHeader, r.IdempotencyKey)
		req.Header.Set(service.RequestIDHeader, id)
		resp, err := transport.RoundTrip(req)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		require.NoError(t, resp.Body.Close())
	}
	journal := s.Journal()
	require.Len(t, journal, 2)
	require.Equal(t, 1, journal[0].Count)
	require.Equal(t, 2, journal[1].Count)
}

// TestInvariantRepeatableIsNotReplayed checks that a repeatable call with a body is not
// replayed below the client when the reused connection breaks.
func TestInvariantRepeatableIsNotReplayed(t *testing.T) {
	s, c := start(t)
	s.Faults.SetFaults(fault.Faults{CloseReused: true})
	for i, id := range []string{"a", "b"} {
		r := confirm(id)
		r.Repeatable = true
		_, err := c.Do(t.Context(), r)
		if i == 1 {
			require.Equal(t, service.Lost, service.KindOf(err))
		}
	}
	require.Equal(t, 2, runs(s))
}

// TestInvariantNotSent checks that a call to an address without a listener, or with a
// cancelled context, is reported as not run.
func TestInvariantNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	c := &service.Client{Address: l.Addr().String()}
	_, err = c.Do(t.Context(), confirm("a"))
	require.True(t, service.NotRun(err))
	s, c := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Do(ctx, confirm("a"))
	require.True(t, service.NotRun(err))
	require.Zero(t, runs(s))
}

// TestInvariantCancelledCallIsNotMisreported cancels calls at different times and checks
// that no call reported as not run has run or runs later.
func TestInvariantCancelledCallIsNotMisreported(t *testing.T) {
	s, c := start(t)
	const calls = 400
	var wg sync.WaitGroup
	var mu sync.Mutex
	notRun := map[string]bool{}
	for i := range calls {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i*10)*time.Microsecond)
			defer cancel()
			id := fmt.Sprint(i)
			_, err := c.Do(ctx, confirm(id))
			mu.Lock()
			defer mu.Unlock()
			notRun[id] = service.NotRun(err)
		})
	}
	wg.Wait()
	_, err := c.Do(t.Context(), confirm("last"))
	require.NoError(t, err)
	s.Close()
	for _, r := range s.Journal() {
		require.False(t, notRun[r.RequestID], "request %s ran", r.RequestID)
		require.Equal(t, 1, r.Count)
	}
}

// TestInvariantForeignResponse checks that a response that does not echo the request id is
// an error, and that a refusal of another request does not prove that the call did not run.
func TestInvariantForeignResponse(t *testing.T) {
	for _, c := range []struct {
		name, echo string
		status     int
		notRun     string
		kind       service.Kind
	}{
		{"none", "", http.StatusOK, "", service.WrongRequest},
		{"foreign", "b", http.StatusOK, "", service.WrongRequest},
		{"foreign refusal", "b", http.StatusServiceUnavailable, "1", service.WrongRequest},
		{"refusal", "", http.StatusServiceUnavailable, "1", service.Refused},
		{"not affirmed", "a", http.StatusServiceUnavailable, "", ""},
		{"affirmed with another status", "a", http.StatusInternalServerError, "1", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(service.RequestIDHeader, c.echo)
				w.Header().Set(service.NotRunHeader, c.notRun)
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			client := &service.Client{Address: server.Listener.Addr().String()}
			_, err := client.Do(t.Context(), confirm("a"))
			require.Equal(t, c.kind, service.KindOf(err))
			require.Equal(t, c.kind == service.Refused, service.NotRun(err))
		})
	}
}

// TestSlots checks that a call to a server without a free slot is reported as not run.
func TestSlots(t *testing.T) {
	s := &standin.Service{CallDuration: time.Second, Slots: 1}
	c := serve(t, s)
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = c.Do(context.Background(), confirm("first")) })
	require.Eventually(t, func() bool { return runs(s) == 1 }, 5*time.Second, time.Millisecond)
	_, err := c.Do(t.Context(), confirm("second"))
	require.Equal(t, service.Refused, service.KindOf(err))
	wg.Wait()
	require.Equal(t, 1, runs(s))
}

// TestInvariantTruncatedResponse checks that a response that ends early is an error.
func TestInvariantTruncatedResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(service.RequestIDHeader, "a")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	}))
	defer server.Close()
	c := &service.Client{Address: server.Listener.Addr().String()}
	_, err := c.Do(t.Context(), confirm("a"))
	require.Equal(t, service.Lost, service.KindOf(err))
}

// TestInvariantResponseMatchesRequest makes concurrent lookups while responses are delayed
// and some calls time out. It checks that each lookup returns its own record or an error.
func TestInvariantResponseMatchesRequest(t *testing.T) {
	s, c := start(t)
	c.Timeout = 30 * time.Millisecond
	var wg sync.WaitGroup
	for i := range 300 {
		if i%100 == 0 {
			s.Faults.SetFaults(fault.Faults{DelayMS: int64(i % 200)})
		}
		wg.Go(func() {
			path := fmt.Sprintf("/records/%d", i)
			resp, err := c.Do(context.Background(), service.Request{Method: http.MethodGet, Path: path, RequestID: fmt.Sprint(i), Repeatable: true})
			if err != nil {
				return
			}
			var got standin.Reply
			if json.Unmarshal(resp.Body, &got) != nil || got.Path != path {
				t.Errorf("got %s for %s", resp.Body, path)
			}
		})
	}
	wg.Wait()
	s.Faults.SetFaults(fault.Faults{})
	patient := &service.Client{Address: c.Address}
	defer patient.Close()
	load, err := patient.Load(t.Context())
	require.NoError(t, err)
	require.Zero(t, load.Running)
}

// TestSilentConnections checks that idle connections that fail silently cost at most one
// call: the next call opens a new connection.
func TestSilentConnections(t *testing.T) {
	s, c := start(t)
	c.Timeout = time.Second
	get := func(id string) service.Request {
		return service.Request{Method: http.MethodGet, Path: "/records/1", RequestID: id, Repeatable: true}
	}
	s.Faults.SetFaults(fault.Faults{DelayMS: 100})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { _, _ = c.Do(context.Background(), get(fmt.Sprint(i))) })
	}
	wg.Wait()
	s.Faults.SetFaults(fault.Faults{Silent: true})
	_, err := c.Do(t.Context(), get("a"))
	require.Equal(t, service.Timeout, service.KindOf(err))
	_, err = c.Do(t.Context(), get("b"))
	require.NoError(t, err)
}

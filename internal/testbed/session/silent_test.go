package session_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/internal/testbed/session"
)

const (
	silentFault = `{"silent":true}`
	// endBound is far longer than a request that meets a silent connection may take, and
	// promptBound far longer than one that meets none, even on a busy machine.
	endBound    = 25 * time.Second
	promptBound = 3 * time.Second
)

// withRecords returns doc with its last server serving the service "records", whose calls
// are repeatable and use kept-alive connections.
func withRecords(doc *config.Document) *config.Document {
	doc.Services = append(doc.Services, config.PlainService{
		Name: "records", Path: "/records/",
		Calls: []config.Call{{Method: http.MethodGet, Path: "", Kind: "booking-read"}},
	})
	doc.Servers[len(doc.Servers)-1].Service = "records"
	for i := range doc.Teams {
		doc.Teams[i].Services = append(doc.Teams[i].Services, "records")
	}
	return doc
}

// requireServedWithin checks that a request succeeds within a time limit.
func requireServedWithin(t *testing.T, bound time.Duration, send func() session.Response) {
	t.Helper()
	begin := time.Now()
	a := send()
	require.NoError(t, a.Err)
	require.Equal(t, http.StatusOK, a.Status, a.Body)
	require.Less(t, time.Since(begin), bound)
}

// TestInvariantSilentConnections makes the open connections of one hop after another go
// silent permanently while new connections work: to engines, services, the table and the
// object store. Requests in flight must complete or end with a correct outcome, and later
// requests must be served promptly.
func TestInvariantSilentConnections(t *testing.T) {
	t.Parallel()
	for name, hops := range map[string][]hop{
		"engines":  {{"gpu-1", "/fault"}, {"gpu-2", "/fault"}},
		"services": {{"desk-1", "/fault"}, {"desk-2", "/fault"}},
		"platform": {{"platform", "/fault/table"}, {"platform", "/fault/object"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testSilentHops(t, hops)
		})
	}
}

// hop is a stand-in and the path for setting its faults.
type hop struct{ name, path string }

// openConnections opens several connections from each node to each server.
func openConnections(t *testing.T, s *session.System) {
	var wg sync.WaitGroup
	responses := make(chan session.Response, 64)
	for node := range s.Nodes {
		for i := range 8 {
			wg.Go(func() { responses <- s.Do(node, http.MethodGet, "/records/7", "") })
			wg.Go(func() {
				responses <- s.Do(node, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint(i), 3))
			})
		}
	}
	wg.Wait()
	close(responses)
	for a := range responses {
		require.Equal(t, http.StatusOK, a.Status, a.Body)
	}
}

// testSilentHops makes the connections of the hops go silent, one hop after another.
func testSilentHops(t *testing.T, hops []hop) {
	s := session.New(t, withRecords(allCopies(session.SmallDocument(t, 2, 2))), session.Options{Service: []string{"-work", "50ms"}})
	s.StartNodes(2)
	read := func(node int) func() session.Response {
		return func() session.Response { return s.Do(node, http.MethodGet, "/records/7", "") }
	}
	book := func(node int, key string) func() session.Response {
		return func() session.Response {
			return s.Do(node, http.MethodPost, "/bookings/confirm", fmt.Sprintf("%q", key), "Idempotency-Key", key)
		}
	}
	draft := func(node, i int) func() session.Response {
		return func() session.Response {
			return s.Do(node, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("draft ", i), 5))
		}
	}
	for _, hop := range hops {
		openConnections(t, s)
		p := s.Platform
		if hop.name != "platform" {
			p = s.Servers[hop.name]
		}
		streams := make([]*session.Stream, 4)
		for i := range streams {
			streams[i] = s.Stream(i%2, session.StreamedChat("drafter", fmt.Sprint(hop, i), 60))
			require.True(t, streams[i].Read(1), streams[i].Error)
		}
		s.SetFaults(p, hop.path, silentFault)
		begin := time.Now()
		for node := range s.Nodes { // the first requests that may meet a silent connection
			requireServedWithin(t, endBound, read(node))
			requireServedWithin(t, endBound, book(node, hop.name+hop.path+fmt.Sprint(node)))
			requireServedWithin(t, endBound, draft(node, node))
		}
		for i, st := range streams {
			require.True(t, st.Read(-1), "%s: %v %s", hop, st.Err, st.Error)
			require.Equal(t, session.ExpectedTokens("drafter@1", fmt.Sprint(hop, i), 60), st.Tokens)
		}
		require.Less(t, time.Since(begin), endBound, hop)
		t.Logf("%s: all requests ended after %v", hop, time.Since(begin).Round(time.Millisecond))
		for i := range 4 {
			requireServedWithin(t, promptBound, read(i%2))
			requireServedWithin(t, promptBound, book(i%2, "later "+hop.name+hop.path+fmt.Sprint(i)))
			requireServedWithin(t, promptBound, draft(i%2, i))
		}
		begin = time.Now()
		openConnections(t, s) // concurrent requests use all kept-alive connections
		require.Less(t, time.Since(begin), promptBound)
		s.SetFaults(p, hop.path, "{}")
	}
}

// TestInvariantSilentBooking makes the connection of a booking go silent while the service
// processes it. Its caller and all that repeat it must get the outcome unknown, the booking
// must run once, and the next booking must be served promptly.
func TestInvariantSilentBooking(t *testing.T) {
	t.Parallel()
	s := session.New(t, session.SmallDocument(t, 1, 1), session.Options{Service: []string{"-work", "300ms"}})
	s.StartNodes(2)
	first := make(chan session.Response, 1)
	go func() {
		first <- s.Do(0, http.MethodPost, "/bookings/confirm", `"one"`, "Idempotency-Key", "one", "X-Deadline-Ms", "2000")
	}()
	s.Eventually("the booking to run", func() bool { return runsWithBody(s, `"one"`) == 1 })
	s.SetFaults(s.Servers["desk-1"], "/fault", silentFault)
	requireServedWithin(t, promptBound, func() session.Response {
		return s.Do(1, http.MethodPost, "/bookings/confirm", `"two"`, "Idempotency-Key", "two")
	})
	responses := append(s.PostAll([]int{0, 1}, "/bookings/confirm", `"one"`, "one"), <-first)
	requireAtMostOnce(t, s, `"one"`, responses)
	for _, a := range responses {
		require.Equal(t, "unknown", a.Header.Get("X-Outcome"), a.Body)
	}
}

// TestInvariantSilentNode freezes a node that owns engines. Requests that other nodes
// forward to it must be served in another way, and later requests promptly.
func TestInvariantSilentNode(t *testing.T) {
	t.Parallel()
	s := session.New(t, allCopies(session.SmallDocument(t, 2, 1)), session.Options{})
	s.StartNodes(3)
	frozen := s.Owner(0, "gpu-1")
	require.GreaterOrEqual(t, frozen, 0)
	others := allExcept(3, frozen)
	for _, i := range others { // opens connections between nodes
		for k := range 4 {
			requireServedWithin(t, promptBound, func() session.Response {
				return s.Do(i, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("warm ", k), 3))
			})
		}
	}
	s.Nodes[frozen].Signal(syscall.SIGSTOP)
	var wg sync.WaitGroup
	responses := make([]session.Response, 12)
	begin := time.Now()
	for k := range responses {
		wg.Go(func() {
			responses[k] = s.Do(others[k%2], http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("frozen ", k), 5))
		})
	}
	wg.Wait()
	for k, a := range responses {
		require.Equal(t, http.StatusOK, a.Status, "%d: %s", k, a.Body)
	}
	require.Less(t, time.Since(begin), endBound)
	for k := range 8 {
		requireServedWithin(t, promptBound, func() session.Response {
			return s.Do(others[k%2], http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("later ", k), 5))
		})
	}
	s.Nodes[frozen].Signal(syscall.SIGCONT)
	s.WaitNodes(3)
	requireServedWithin(t, promptBound, func() session.Response {
		return s.Do(frozen, http.MethodPost, chat, session.UnstreamedChat("drafter", "awake", 5))
	})
}

// TestInvariantSilentCaller leaves two callers' connections silent: one in the middle of a
// request, one that reads nothing of its stream. Other callers must be served promptly, and
// the node must stop gracefully although both connections stay open.
func TestInvariantSilentCaller(t *testing.T) {
	t.Parallel()
	s := session.New(t, allCopies(session.SmallDocument(t, 1, 1)), session.Options{})
	s.StartNodes(1)
	body := session.StreamedChat("drafter", "nobody reads", 100)
	for _, text := range []string{
		"POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nContent-Length: 1000\r\n\r\n{",
		fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			session.Key, len(body), body),
	} {
		c, err := net.Dial("tcp", s.Nodes[0].Address("callers"))
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = c.Write([]byte(text))
		require.NoError(t, err)
	}
	for i := range 5 {
		requireServedWithin(t, promptBound, func() session.Response {
			return s.Do(0, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("beside ", i), 5))
		})
	}
	begin := time.Now()
	require.Equal(t, 0, s.Nodes[0].Terminate())
	require.Less(t, time.Since(begin), endBound)
}

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
	silent = `{"silent":true}`
	// endBound is far above what a request may take that meets a silence, and
	// atOnce far above what one takes that meets none, also on a busy machine.
	endBound = 25 * time.Second
	atOnce   = 3 * time.Second
)

// withRecords returns doc with its last server serving records, which may be
// repeated and go over connections that are used again.
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

// within demands that an answer came within a bound, and is done.
func within(t *testing.T, bound time.Duration, ask func() session.Answer) {
	t.Helper()
	begin := time.Now()
	a := ask()
	require.NoError(t, a.Err)
	require.Equal(t, http.StatusOK, a.Status, a.Body)
	require.Less(t, time.Since(begin), bound)
}

// TestInvariantSilentConnections makes the open connections of one hop after
// the other go silent for good while new ones work: engines, services, table
// and objects. What is in flight ends well or with a true outcome, and what
// comes later is served at once.
func TestInvariantSilentConnections(t *testing.T) {
	t.Parallel()
	for name, hops := range map[string][]hop{
		"engines":  {{"gpu-1", "/fault"}, {"gpu-2", "/fault"}},
		"services": {{"desk-1", "/fault"}, {"desk-2", "/fault"}},
		"platform": {{"platform", "/fault/table"}, {"platform", "/fault/object"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silence(t, hops)
		})
	}
}

// hop is a stand-in and the path of its faults.
type hop struct{ name, path string }

// warm opens several connections of each node to each server.
func warm(t *testing.T, s *session.System) {
	var wg sync.WaitGroup
	answers := make(chan session.Answer, 64)
	for node := range s.Nodes {
		for i := range 8 {
			wg.Go(func() { answers <- s.Do(node, http.MethodGet, "/records/7", "") })
			wg.Go(func() { answers <- s.Do(node, http.MethodPost, chat, session.Whole("drafter", fmt.Sprint(i), 3)) })
		}
	}
	wg.Wait()
	close(answers)
	for a := range answers {
		require.Equal(t, http.StatusOK, a.Status, a.Body)
	}
}

// silence makes hops go silent, one after the other.
func silence(t *testing.T, hops []hop) {
	s := session.New(t, withRecords(allCopies(session.Small(t, 2, 2))), session.Options{Service: []string{"-work", "50ms"}})
	s.StartNodes(2)
	read := func(node int) func() session.Answer {
		return func() session.Answer { return s.Do(node, http.MethodGet, "/records/7", "") }
	}
	book := func(node int, key string) func() session.Answer {
		return func() session.Answer {
			return s.Do(node, http.MethodPost, "/bookings/confirm", fmt.Sprintf("%q", key), "Idempotency-Key", key)
		}
	}
	draft := func(node, i int) func() session.Answer {
		return func() session.Answer {
			return s.Do(node, http.MethodPost, chat, session.Whole("drafter", fmt.Sprint("draft ", i), 5))
		}
	}
	for _, hop := range hops {
		warm(t, s)
		p := s.Platform
		if hop.name != "platform" {
			p = s.Servers[hop.name]
		}
		streams := make([]*session.Stream, 4)
		for i := range streams {
			streams[i] = s.Stream(i%2, session.Chat("drafter", fmt.Sprint(hop, i), 60))
			require.True(t, streams[i].Read(1), streams[i].Error)
		}
		s.Fault(p, hop.path, silent)
		begin := time.Now()
		for node := range s.Nodes { // the first that may meet a silent connection
			within(t, endBound, read(node))
			within(t, endBound, book(node, hop.name+hop.path+fmt.Sprint(node)))
			within(t, endBound, draft(node, node))
		}
		for i, st := range streams {
			require.True(t, st.Read(-1), "%s: %v %s", hop, st.Err, st.Error)
			require.Equal(t, session.Expect("drafter@1", fmt.Sprint(hop, i), 60), st.Tokens)
		}
		require.Less(t, time.Since(begin), endBound, hop)
		t.Logf("%s: all ended after %v", hop, time.Since(begin).Round(time.Millisecond))
		for i := range 4 {
			within(t, atOnce, read(i%2))
			within(t, atOnce, book(i%2, "later "+hop.name+hop.path+fmt.Sprint(i)))
			within(t, atOnce, draft(i%2, i))
		}
		begin = time.Now()
		warm(t, s) // many at once use all connections that are kept
		require.Less(t, time.Since(begin), atOnce)
		s.Fault(p, hop.path, "{}")
	}
}

// TestInvariantSilentBooking makes the connection of a booking go silent while
// the service works on it: its caller is told that its fate is unknown, as are
// all who repeat it, it ran once, and the next booking is served at once.
func TestInvariantSilentBooking(t *testing.T) {
	t.Parallel()
	s := session.New(t, session.Small(t, 1, 1), session.Options{Service: []string{"-work", "300ms"}})
	s.StartNodes(2)
	first := make(chan session.Answer, 1)
	go func() {
		first <- s.Do(0, http.MethodPost, "/bookings/confirm", `"one"`, "Idempotency-Key", "one", "X-Deadline-Ms", "2000")
	}()
	s.Eventually("the booking runs", func() bool { return ranWith(s, `"one"`) == 1 })
	s.Fault(s.Servers["desk-1"], "/fault", silent)
	within(t, atOnce, func() session.Answer {
		return s.Do(1, http.MethodPost, "/bookings/confirm", `"two"`, "Idempotency-Key", "two")
	})
	answers := append(s.Repeat([]int{0, 1}, "/bookings/confirm", `"one"`, "one"), <-first)
	atMostOnce(t, s, `"one"`, answers)
	for _, a := range answers {
		require.Equal(t, "unknown", a.Header.Get("X-Outcome"), a.Body)
	}
}

// TestInvariantSilentNode freezes a node that owns engines. Requests that other
// nodes forward to it are served in another way, and later ones at once.
func TestInvariantSilentNode(t *testing.T) {
	t.Parallel()
	s := session.New(t, allCopies(session.Small(t, 2, 1)), session.Options{})
	s.StartNodes(3)
	frozen := s.Owner(0, "gpu-1")
	require.GreaterOrEqual(t, frozen, 0)
	others := without(3, frozen)
	for _, i := range others { // connections between nodes
		for k := range 4 {
			within(t, atOnce, func() session.Answer {
				return s.Do(i, http.MethodPost, chat, session.Whole("drafter", fmt.Sprint("warm ", k), 3))
			})
		}
	}
	s.Nodes[frozen].Signal(syscall.SIGSTOP)
	var wg sync.WaitGroup
	answers := make([]session.Answer, 12)
	begin := time.Now()
	for k := range answers {
		wg.Go(func() {
			answers[k] = s.Do(others[k%2], http.MethodPost, chat, session.Whole("drafter", fmt.Sprint("frozen ", k), 5))
		})
	}
	wg.Wait()
	for k, a := range answers {
		require.Equal(t, http.StatusOK, a.Status, "%d: %s", k, a.Body)
	}
	require.Less(t, time.Since(begin), endBound)
	for k := range 8 {
		within(t, atOnce, func() session.Answer {
			return s.Do(others[k%2], http.MethodPost, chat, session.Whole("drafter", fmt.Sprint("later ", k), 5))
		})
	}
	s.Nodes[frozen].Signal(syscall.SIGCONT)
	s.WaitNodes(3)
	within(t, atOnce, func() session.Answer {
		return s.Do(frozen, http.MethodPost, chat, session.Whole("drafter", "awake", 5))
	})
}

// TestInvariantSilentCaller leaves connections of callers silent: one in the
// middle of a request, one that reads nothing of its stream. Others are served
// at once, and the node stops gracefully although both stay open.
func TestInvariantSilentCaller(t *testing.T) {
	t.Parallel()
	s := session.New(t, allCopies(session.Small(t, 1, 1)), session.Options{})
	s.StartNodes(1)
	body := session.Chat("drafter", "nobody reads", 100)
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
		within(t, atOnce, func() session.Answer {
			return s.Do(0, http.MethodPost, chat, session.Whole("drafter", fmt.Sprint("beside ", i), 5))
		})
	}
	begin := time.Now()
	require.Equal(t, 0, s.Nodes[0].Terminate())
	require.Less(t, time.Since(begin), endBound)
}

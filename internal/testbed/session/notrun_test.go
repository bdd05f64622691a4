package session_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/internal/testbed/session"
	"guavapaddle/io/vmlist"
)

// refused demands that an answer says that the request did not run, for one of
// the reasons given.
func refused(t *testing.T, a session.Answer, reasons ...string) {
	t.Helper()
	require.NoError(t, a.Err)
	require.Equal(t, "refused-not-run", a.Header.Get("X-Outcome"), "%v: %d %s", reasons, a.Status, a.Body)
	require.Contains(t, reasons, a.Header.Get("X-Reason"), a.Body)
}

// TestInvariantRefusedNotRun brings about each reason for which a request is
// refused as not run, and demands that no backend server ran anything by its
// own counters.
func TestInvariantRefusedNotRun(t *testing.T) {
	t.Parallel()
	doc := session.Small(t, 2, 1)
	doc.Teams[1].Models = append(doc.Teams[1].Models, "drafter")
	for i := range doc.Servers {
		if doc.Servers[i].Type == config.Engine {
			doc.Servers[i].Slots = 1 // so that one request can be over its team's limit
		}
	}
	s := session.New(t, doc, session.Options{})
	s.StartNodes(2)
	ok := s.Do(0, http.MethodPost, "/bookings/confirm", `{"once":1}`, "Idempotency-Key", "used")
	require.Equal(t, http.StatusOK, ok.Status, ok.Body)
	before := s.Ran()
	whole := session.Whole("drafter", "not to run", 5)
	post := func(path, body string, header ...string) session.Answer {
		return s.Do(0, http.MethodPost, path, body, header...)
	}
	for _, body := range []string{`{"model":`, `{}`, `{"model":"drafter","messages":[]}`, strings.Replace(whole, ":5,", ":0,", 1)} {
		refused(t, post(chat, body), "bad-request")
	}
	refused(t, post(chat, whole, "X-Kind", "none"), "bad-request")
	refused(t, post(chat, whole, "X-Deadline-Ms", "soon"), "bad-request")
	refused(t, post(chat, whole, "Last-Event-ID", "?"), "bad-request")
	refused(t, s.Do(0, http.MethodDelete, chat, whole), "bad-request")
	refused(t, post("/bookings/../records/1", `{}`), "bad-request", "not-found")
	refused(t, post(chat, session.Whole("drafter", strings.Repeat("long ", 1<<20), 5)), "body-too-large")
	refused(t, post(chat, whole, "Authorization", "Bearer nobody"), "unauthorized")
	refused(t, post("/bookings/confirm", `{}`, "Authorization", ""), "unauthorized")
	refused(t, post(chat, session.Whole("unknown", "x", 5)), "not-found")
	refused(t, post("/bookings/other", `{}`), "not-found")
	refused(t, post("/bookings/confirm", `{"once":2}`, "Idempotency-Key", "used"), "key-reused")
	refused(t, post(chat, session.Whole("drafter", "x", 30000)), "team-limit")
	require.Equal(t, before, s.Ran())

	services := func(faults string) { s.Fault(s.Servers["desk-1"], "/fault", faults) }
	for _, faults := range []string{`{"leaving":true}`, `{"refuse":true}`} {
		services(faults)
		for i, key := range []string{"", "refused by the service " + faults} {
			refused(t, post("/bookings/confirm", fmt.Sprint(i), "Idempotency-Key", key), "backend-refused")
		}
	}
	services("{}")
	s.Fault(s.Platform, "/fault/table", `{"refuse":true}`)
	refused(t, post("/bookings/confirm", `{}`, "Idempotency-Key", "table"), "table-down")
	s.Fault(s.Platform, "/fault/table", `{}`)
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.Fault(s.Servers[name], "/fault", `{"leaving":true}`)
	}
	refused(t, post(chat, whole, "X-Deadline-Ms", "1500"), "no-copy", "server-leaving")
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.Fault(s.Servers[name], "/fault", `{}`)
	}
	require.Equal(t, before, s.Ran())

	s.SetVM("desk-1", "service", vmlist.Leaving)
	s.Eventually("no server of the service", func() bool {
		return post("/bookings/confirm", `{}`).Header.Get("X-Reason") == "no-server"
	})
	before = s.Ran() // some ran before the list was read
	refused(t, post("/bookings/confirm", `{}`, "Idempotency-Key", "list"), "no-server")
	s.SetVM("desk-1", "service", vmlist.Live)
	stopping(t, s)
	require.Equal(t, before+1, s.Ran(), "the stream that the stopping node had")
	noConfig(t, s)
	require.Equal(t, before+1, s.Ran())
}

// stopping sends requests to a node that shuts down and still has a stream.
func stopping(t *testing.T, s *session.System) {
	var st *session.Stream
	s.Eventually("the engines serve again", func() bool {
		st = s.Stream(1, session.Chat("drafter", "goes on", long))
		return st.Read(2)
	})
	s.Nodes[1].Signal(syscall.SIGTERM)
	var a session.Answer
	s.Eventually("the node drains", func() bool {
		a = s.Do(1, http.MethodGet, "/v1/models", "")
		if a.Err == nil && a.Header.Get("X-Reason") == "no-config" {
			refused(t, a, "no-config") // its process stood still before: it has to ask what is in force
			return false
		}
		return a.Err != nil || a.Status != http.StatusOK
	})
	if a.Err == nil { // it had not ended already
		refused(t, a, "draining")
		a = s.Do(1, http.MethodPost, "/bookings/confirm", `{}`, "Idempotency-Key", "draining")
		if a.Err == nil {
			refused(t, a, "draining")
		}
	}
	require.True(t, st.Read(-1), st.Error)
	require.Equal(t, 0, s.Nodes[1].Wait())
}

// noConfig starts a node that finds neither platform nor another node.
func noConfig(t *testing.T, s *session.System) {
	s.Nodes[0].Kill()
	s.Fault(s.Platform, "/fault/table", down)
	s.Fault(s.Platform, "/fault/object", down)
	s.RestartNode(0)
	refused(t, s.Do(0, http.MethodPost, chat, session.Whole("drafter", "too early", 5)), "no-config")
	refused(t, s.Do(0, http.MethodPost, "/bookings/confirm", `{}`, "Idempotency-Key", "too early"), "no-config")
}

// TestInvariantRefusedNotRunUnderLoad floods small engines with requests of all
// kinds. What is refused for a full queue, for more urgent work, for its
// deadline or for its team's limit did not run: the engines ran as many as
// were answered.
func TestInvariantRefusedNotRunUnderLoad(t *testing.T) {
	t.Parallel()
	doc := allCopies(session.Small(t, 2, 1))
	for i := range doc.Servers {
		if doc.Servers[i].Type == config.Engine {
			doc.Servers[i].Slots = 2
		}
	}
	doc.Limits.QueuePerServer = 8
	s := session.New(t, doc, session.Options{})
	s.StartNodes(2)
	before := s.Ran()
	const drafts, callers = 40, 120
	// A long draft on each engine, which leaves no slot for further drafts: the
	// queues fill even if the flood comes spread over seconds.
	const longTokens, tokens = 600, 100
	long := make([]*session.Stream, 2)
	for i := range long {
		long[i] = s.Stream(i, session.Chat("checker", fmt.Sprint("long ", i), longTokens), "X-Kind", "overnight-draft")
		require.True(t, long[i].Read(1), long[i].Error)
	}
	answers := make([]session.Answer, callers)
	var wg sync.WaitGroup
	first := make(chan struct{}, callers)
	ask := func(i int, kind, key string, deadlineMS int) {
		wg.Go(func() {
			answers[i] = s.Do(i%2, http.MethodPost, chat, session.Whole("checker", fmt.Sprint("flood ", i), tokens),
				"X-Kind", kind, "X-Deadline-Ms", fmt.Sprint(deadlineMS), "Authorization", "Bearer "+key)
			first <- struct{}{}
		})
	}
	for i := range drafts {
		ask(i, "overnight-draft", session.Key, 60_000)
	}
	<-first // more came than all queues take
	for i := drafts; i < callers; i++ {
		key := session.Key
		if i%2 == 0 {
			key = session.OtherKey
		}
		ask(i, "live-desk", key, 100+20*i)
	}
	for _, st := range long {
		wg.Go(func() { st.Read(-1) })
	}
	wg.Wait()
	ran, reasons := int64(len(long)), map[string]int{}
	for _, a := range answers {
		require.NoError(t, a.Err)
		reasons[a.Header.Get("X-Reason")]++
		if a.Header.Get("X-Outcome") != "refused-not-run" {
			ran++
		}
	}
	t.Logf("reasons: %v", reasons)
	require.Equal(t, ran, s.Ran()-before, "%v", reasons)
	for _, reason := range []string{"queue-full", "preempted", "deadline-unreachable"} {
		require.Positive(t, reasons[reason], "%s: %v", reason, reasons)
	}
}

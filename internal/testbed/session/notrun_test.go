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

// requireRefused checks that a response says that the request did not run, for one of the
// given reasons.
func requireRefused(t *testing.T, a session.Response, reasons ...string) {
	t.Helper()
	require.NoError(t, a.Err)
	require.Equal(t, "refused-not-run", a.Header.Get("X-Outcome"), "%v: %d %s", reasons, a.Status, a.Body)
	require.Contains(t, reasons, a.Header.Get("X-Reason"), a.Body)
}

// TestInvariantRefusedNotRun provokes each reason for which a request is refused as not run,
// and checks with the backend servers' own counters that none of them ran.
func TestInvariantRefusedNotRun(t *testing.T) {
	t.Parallel()
	doc := session.SmallDocument(t, 2, 1)
	doc.Teams[1].Models = append(doc.Teams[1].Models, "drafter")
	for i := range doc.Servers {
		if doc.Servers[i].Type == config.Engine {
			doc.Servers[i].Slots = 1 // so that a single request can exceed its team's limit
		}
	}
	s := session.New(t, doc, session.Options{})
	s.StartNodes(2)
	ok := s.Do(0, http.MethodPost, "/bookings/confirm", `{"once":1}`, "Idempotency-Key", "used")
	require.Equal(t, http.StatusOK, ok.Status, ok.Body)
	before := s.RequestsStarted()
	chatBody := session.UnstreamedChat("drafter", "not to run", 5)
	post := func(path, body string, header ...string) session.Response {
		return s.Do(0, http.MethodPost, path, body, header...)
	}
	for _, body := range []string{`{"model":`, `{}`, `{"model":"drafter","messages":[]}`, strings.Replace(chatBody, ":5,", ":0,", 1)} {
		requireRefused(t, post(chat, body), "bad-request")
	}
	requireRefused(t, post(chat, chatBody, "X-Kind", "none"), "bad-request")
	requireRefused(t, post(chat, chatBody, "X-Deadline-Ms", "soon"), "bad-request")
	requireRefused(t, post(chat, chatBody, "Last-Event-ID", "?"), "bad-request")
	requireRefused(t, s.Do(0, http.MethodDelete, chat, chatBody), "bad-request")
	requireRefused(t, post("/bookings/../records/1", `{}`), "bad-request", "not-found")
	requireRefused(t, post(chat, session.UnstreamedChat("drafter", strings.Repeat("long ", 1<<20), 5)), "body-too-large")
	requireRefused(t, post(chat, chatBody, "Authorization", "Bearer nobody"), "unauthorized")
	requireRefused(t, post("/bookings/confirm", `{}`, "Authorization", ""), "unauthorized")
	requireRefused(t, post(chat, session.UnstreamedChat("unknown", "x", 5)), "not-found")
	requireRefused(t, post("/bookings/other", `{}`), "not-found")
	requireRefused(t, post("/bookings/confirm", `{"once":2}`, "Idempotency-Key", "used"), "key-reused")
	requireRefused(t, post(chat, session.UnstreamedChat("drafter", "x", 30000)), "team-limit")
	require.Equal(t, before, s.RequestsStarted())

	setServiceFaults := func(faults string) { s.SetFaults(s.Servers["desk-1"], "/fault", faults) }
	for _, faults := range []string{`{"leaving":true}`, `{"refuse":true}`} {
		setServiceFaults(faults)
		for i, key := range []string{"", "refused by the service " + faults} {
			requireRefused(t, post("/bookings/confirm", fmt.Sprint(i), "Idempotency-Key", key), "backend-refused")
		}
	}
	setServiceFaults("{}")
	s.SetFaults(s.Platform, "/fault/table", `{"refuse":true}`)
	requireRefused(t, post("/bookings/confirm", `{}`, "Idempotency-Key", "table"), "table-down")
	s.SetFaults(s.Platform, "/fault/table", `{}`)
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.SetFaults(s.Servers[name], "/fault", `{"leaving":true}`)
	}
	requireRefused(t, post(chat, chatBody, "X-Deadline-Ms", "1500"), "no-copy", "server-leaving")
	for _, name := range []string{"gpu-1", "gpu-2"} {
		s.SetFaults(s.Servers[name], "/fault", `{}`)
	}
	require.Equal(t, before, s.RequestsStarted())

	s.SetVM("desk-1", "service", vmlist.Leaving)
	s.Eventually("the service to have no server", func() bool {
		return post("/bookings/confirm", `{}`).Header.Get("X-Reason") == "no-server"
	})
	before = s.RequestsStarted() // some ran before the nodes had read the VM list
	requireRefused(t, post("/bookings/confirm", `{}`, "Idempotency-Key", "list"), "no-server")
	s.SetVM("desk-1", "service", vmlist.Live)
	checkDraining(t, s)
	require.Equal(t, before+1, s.RequestsStarted(), "only the stream of the stopping node may have run")
	checkNoConfig(t, s)
	require.Equal(t, before+1, s.RequestsStarted())
}

// checkDraining sends requests to a node that is shutting down and still has an open stream.
func checkDraining(t *testing.T, s *session.System) {
	var st *session.Stream
	s.Eventually("the engines to serve again", func() bool {
		st = s.Stream(1, session.StreamedChat("drafter", "goes on", streamTokens))
		return st.Read(2)
	})
	s.Nodes[1].Signal(syscall.SIGTERM)
	var a session.Response
	s.Eventually("the node to drain", func() bool {
		a = s.Do(1, http.MethodGet, "/v1/models", "")
		if a.Err == nil && a.Header.Get("X-Reason") == "no-config" {
			requireRefused(t, a, "no-config") // the process stalled and has to confirm its configuration
			return false
		}
		return a.Err != nil || a.Status != http.StatusOK
	})
	if a.Err == nil { // the node had not exited yet
		requireRefused(t, a, "draining")
		a = s.Do(1, http.MethodPost, "/bookings/confirm", `{}`, "Idempotency-Key", "draining")
		if a.Err == nil {
			requireRefused(t, a, "draining")
		}
	}
	require.True(t, st.Read(-1), st.Error)
	require.Equal(t, 0, s.Nodes[1].Wait())
}

// checkNoConfig restarts a node that can reach neither the platform nor another node.
func checkNoConfig(t *testing.T, s *session.System) {
	s.Nodes[0].Kill()
	s.SetFaults(s.Platform, "/fault/table", downFault)
	s.SetFaults(s.Platform, "/fault/object", downFault)
	s.RestartNode(0)
	requireRefused(t, s.Do(0, http.MethodPost, chat, session.UnstreamedChat("drafter", "too early", 5)), "no-config")
	requireRefused(t, s.Do(0, http.MethodPost, "/bookings/confirm", `{}`, "Idempotency-Key", "too early"), "no-config")
}

// TestInvariantRefusedNotRunUnderLoad floods small engines with requests of all kinds.
// Requests that are refused for a full queue, for more urgent work, for their deadline or
// for their team's limit must not run: the engines must have run exactly as many requests as
// were not refused.
func TestInvariantRefusedNotRunUnderLoad(t *testing.T) {
	t.Parallel()
	doc := allCopies(session.SmallDocument(t, 2, 1))
	for i := range doc.Servers {
		if doc.Servers[i].Type == config.Engine {
			doc.Servers[i].Slots = 2
		}
	}
	doc.Limits.QueuePerServer = 8
	s := session.New(t, doc, session.Options{})
	s.StartNodes(2)
	before := s.RequestsStarted()
	const drafts, callers = 40, 120
	// One long draft per engine leaves no slot for further drafts, so that the queues fill
	// even if the flood is spread over seconds.
	const longTokens, tokens = 600, 100
	longStreams := make([]*session.Stream, 2)
	for i := range longStreams {
		longStreams[i] = s.Stream(i, session.StreamedChat("checker", fmt.Sprint("long ", i), longTokens), "X-Kind", "overnight-draft")
		require.True(t, longStreams[i].Read(1), longStreams[i].Error)
	}
	responses := make([]session.Response, callers)
	var wg sync.WaitGroup
	completed := make(chan struct{}, callers)
	send := func(i int, kind, key string, deadlineMS int) {
		wg.Go(func() {
			responses[i] = s.Do(i%2, http.MethodPost, chat, session.UnstreamedChat("checker", fmt.Sprint("flood ", i), tokens),
				"X-Kind", kind, "X-Deadline-Ms", fmt.Sprint(deadlineMS), "Authorization", "Bearer "+key)
			completed <- struct{}{}
		})
	}
	for i := range drafts {
		send(i, "overnight-draft", session.Key, 60_000)
	}
	<-completed // the flood exceeds the capacity of all queues
	for i := drafts; i < callers; i++ {
		key := session.Key
		if i%2 == 0 {
			key = session.OtherKey
		}
		send(i, "live-desk", key, 100+20*i)
	}
	for _, st := range longStreams {
		wg.Go(func() { st.Read(-1) })
	}
	wg.Wait()
	ran, reasons := int64(len(longStreams)), map[string]int{}
	for _, a := range responses {
		require.NoError(t, a.Err)
		reasons[a.Header.Get("X-Reason")]++
		if a.Header.Get("X-Outcome") != "refused-not-run" {
			ran++
		}
	}
	t.Logf("reasons: %v", reasons)
	require.Equal(t, ran, s.RequestsStarted()-before, "%v", reasons)
	for _, reason := range []string{"queue-full", "preempted", "deadline-unreachable"} {
		require.Positive(t, reasons[reason], "%s: %v", reason, reasons)
	}
}

package session_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/session"
)

// TestInvariantCrashingRequest sends a request that crashes every engine that runs it
// through each of 8 nodes in turn. At most two engines may be lost, the request must be
// refused with the reason crash-suspect from then on, and other requests must be served.
func TestInvariantCrashingRequest(t *testing.T) {
	t.Parallel()
	const nodes, engines = 8, 5
	doc := session.SmallDocument(t, engines, 1)
	for i := range doc.Models {
		doc.Models[i].MinCopies = 4
	}
	s := session.New(t, doc, session.Options{})
	s.StartNodes(nodes)
	for i := range engines {
		s.SetFaults(s.Servers[fmt.Sprintf("gpu-%d", i+1)], "/fault", `{"crash-on":"POISON"}`)
	}
	poison := `{"model":"drafter","max_tokens":20,"messages":[{"role":"user","content":"POISON"}]}`
	var last session.Response
	for i := range nodes {
		last = s.Do(i, http.MethodPost, chat, poison)
		require.NoError(t, last.Err)
		require.NotEqual(t, http.StatusOK, last.Status)
		want := "refused-not-run"
		if i == 0 {
			want = "failed-after-start" // it ran, and crashed two engines
		}
		require.Equal(t, want, last.Header.Get("X-Outcome"), "node %d: %s", i+1, last.Body)
	}
	require.Equal(t, "crash-suspect", last.Header.Get("X-Reason"))
	require.LessOrEqual(t, crashedEngines(s), 2)
	for i := range nodes {
		a := s.Do(i, http.MethodPost, chat, `{"model":"drafter","max_tokens":3,`+prompt+`}`)
		require.Equal(t, http.StatusOK, a.Status, a.Body)
	}
}

// TestInvariantCrashNeighbours checks that requests that ran on the same engine as one that
// crashed it are served.
func TestInvariantCrashNeighbours(t *testing.T) {
	t.Parallel()
	doc := session.SmallDocument(t, 3, 1)
	for i := range doc.Models {
		doc.Models[i].MinCopies = 3
	}
	s := session.New(t, doc, session.Options{})
	s.StartNodes(2)
	for _, name := range []string{"gpu-1", "gpu-2", "gpu-3"} {
		s.SetFaults(s.Servers[name], "/fault", `{"crash-on":"POISON"}`)
	}
	before := generationsRun(s)
	responses := make(chan session.Response)
	for i := range 6 {
		body := fmt.Sprintf(`{"model":"drafter","max_tokens":150,"messages":[{"role":"user","content":"innocent %d"}]}`, i)
		go func() { responses <- s.Do(i%2, http.MethodPost, chat, body) }()
	}
	s.Eventually("the requests to run", func() bool { return generationsRun(s) >= before+6 })
	a := s.Do(0, http.MethodPost, chat, `{"model":"drafter","max_tokens":20,"messages":[{"role":"user","content":"POISON"}]}`)
	require.NotEqual(t, http.StatusOK, a.Status)
	for range 6 {
		b := <-responses
		require.NoError(t, b.Err)
		require.Equal(t, http.StatusOK, b.Status, b.Body)
	}
	require.LessOrEqual(t, crashedEngines(s), 2)
}

func crashedEngines(s *session.System) int {
	n := 0
	for _, p := range s.Servers {
		if p.Exited() {
			n++
		}
	}
	return n
}

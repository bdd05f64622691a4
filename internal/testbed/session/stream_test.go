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
)

const streamTokens = 300 // generated in about two seconds

// allCopies returns doc with every model declared to be resident on every engine.
func allCopies(doc *config.Document) *config.Document {
	engines := 0
	for _, s := range doc.Servers {
		if s.Type == config.Engine {
			engines++
		}
	}
	for i := range doc.Models {
		doc.Models[i].MinCopies = engines
	}
	return doc
}

// ownerAndOther returns the node that owns the server of a stream, and a running node that
// does not.
func ownerAndOther(s *session.System, st *session.Stream) (owner, other int) {
	server := st.Last[strings.LastIndex(st.Last, ".")+1:]
	for i, n := range s.Nodes {
		if n.Exited() {
			continue
		}
		owner = s.Owner(i, server)
		break
	}
	for i := range s.Nodes {
		if i != owner && !s.Nodes[i].Exited() {
			return owner, i
		}
	}
	return owner, -1
}

// TestInvariantNodeKilledMidStream kills the entry node, or kills or freezes the owner, in
// the middle of a stream. The caller must receive each token exactly once.
func TestInvariantNodeKilledMidStream(t *testing.T) {
	t.Parallel()
	for _, victim := range []string{"entry", "owner", "owner frozen"} {
		t.Run(victim, func(t *testing.T) {
			t.Parallel()
			s := session.New(t, allCopies(session.SmallDocument(t, 2, 1)), session.Options{})
			s.StartNodes(3)
			probe := s.Stream(0, session.StreamedChat("drafter", "who owns", 2))
			require.True(t, probe.Read(-1))
			// Open a stream whose entry node does not own its engine.
			var st *session.Stream
			var owner, entry int
			for entry = range s.Nodes {
				st = s.Stream(entry, session.StreamedChat("drafter", "a long plan", streamTokens))
				require.True(t, st.Read(10), st.Error)
				if owner, _ = ownerAndOther(s, st); owner != entry {
					break
				}
				st.Close()
			}
			require.NotEqual(t, owner, entry)
			switch victim {
			case "entry":
				s.Nodes[entry].Kill()
				require.False(t, st.Read(-1))
				_, third := ownerAndOther(s, st)
				s.Resume(st, third, session.StreamedChat("drafter", "a long plan", streamTokens))
			case "owner":
				s.Nodes[owner].Kill()
			case "owner frozen":
				s.Nodes[owner].Signal(syscall.SIGSTOP)
			}
			require.True(t, st.Read(-1), "%v %s", st.Err, st.Error)
			require.Equal(t, session.ExpectedTokens("drafter@1", "a long plan", streamTokens), st.Tokens)
		})
	}
}

// TestInvariantServerKilledMidStream kills the engine in the middle of a stream. The stream
// must end with an error, never as a truncated success.
func TestInvariantServerKilledMidStream(t *testing.T) {
	t.Parallel()
	s := session.New(t, allCopies(session.SmallDocument(t, 2, 1)), session.Options{})
	s.StartNodes(2)
	for node := range s.Nodes {
		st := s.Stream(node, session.StreamedChat("drafter", "cut", streamTokens))
		require.True(t, st.Read(10), st.Error)
		if node == 0 {
			s.Servers[st.Last[strings.LastIndex(st.Last, ".")+1:]].Kill()
			require.False(t, st.Read(-1))
			require.False(t, st.Done)
			require.Contains(t, st.Error, `"outcome":"failed-after-start"`)
			continue
		}
		require.True(t, st.Read(-1), st.Error)
	}
}

// TestInvariantStreamOfAnotherTeam checks that a team cannot resume a stream with another
// team's resume token.
func TestInvariantStreamOfAnotherTeam(t *testing.T) {
	t.Parallel()
	s := session.New(t, allCopies(session.SmallDocument(t, 1, 1)), session.Options{})
	s.StartNodes(2)
	st := s.Stream(0, session.StreamedChat("checker", "secret", streamTokens))
	require.True(t, st.Read(5))
	a := s.Do(1, http.MethodPost, chat, session.StreamedChat("checker", "secret", streamTokens),
		"Authorization", "Bearer "+session.OtherKey, "Last-Event-ID", st.Last)
	require.NotEqual(t, http.StatusOK, a.Status, a.Body)
	require.NotContains(t, a.Body, session.ExpectedTokens("checker@1", "secret", 6)[5])
	require.True(t, st.Read(-1), st.Error)
}

// TestInvariantGracefulShutdown stops each of 8 nodes but one in turn under long streams and
// short requests. No stream may be cut off, and requests sent to another node must be
// served.
func TestInvariantGracefulShutdown(t *testing.T) {
	t.Parallel()
	const nodes = 8
	s := session.New(t, allCopies(session.SmallDocument(t, 3, 1)), session.Options{})
	s.StartNodes(nodes)
	for i := range nodes - 1 {
		var wg sync.WaitGroup
		streams := make([]*session.Stream, 6)
		for k := range streams {
			prompt := fmt.Sprintf("stream %d of node %d", k, i)
			at := i // the node that stops
			if k >= 3 {
				at = nodes - 1
			}
			streams[k] = s.Stream(at, session.StreamedChat("drafter", prompt, 150))
			require.True(t, streams[k].Read(3), streams[k].Error)
			wg.Go(func() { streams[k].Read(-1) })
		}
		code := -1
		wg.Go(func() { code = s.Nodes[i].Terminate() })
		for range 10 {
			a := s.Do(nodes-1, http.MethodPost, chat, session.UnstreamedChat("checker", "meanwhile", 4))
			require.Equal(t, http.StatusOK, a.Status, a.Body)
		}
		wg.Wait()
		require.Equal(t, 0, code, s.Nodes[i].Log())
		for k, st := range streams {
			require.True(t, st.Done, "node %d stream %d: %v %s", i, k, st.Err, st.Error)
			require.Equal(t, session.ExpectedTokens("drafter@1", fmt.Sprintf("stream %d of node %d", k, i), 150), st.Tokens)
		}
	}
}

// TestInvariantOwnAnswer sends 1,000 concurrent requests, with equal and different prompts,
// through all nodes. Each caller must receive its own complete response.
func TestInvariantOwnAnswer(t *testing.T) {
	t.Parallel()
	const callers = 1000
	doc := allCopies(session.SmallDocument(t, 4, 1))
	for i := range doc.Kinds {
		doc.Kinds[i].DeadlineMS = 120_000
	}
	doc.Limits.QueuePerServer = callers
	s := session.New(t, doc, session.Options{Engine: map[string][]string{"": {"-step", "1ms"}}})
	s.StartNodes(3)
	responses := make([]session.Response, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			responses[i] = s.Do(i%3, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("prompt ", i/2), 1+i%7))
		})
	}
	wg.Wait()
	for i, a := range responses {
		require.NoError(t, a.Err)
		require.Equal(t, http.StatusOK, a.Status, a.Body)
		want := strings.Join(session.ExpectedTokens("drafter@1", fmt.Sprint("prompt ", i/2), 1+i%7), "")
		require.Contains(t, a.Body, fmt.Sprintf(`"content":%q`, want))
	}
}

// TestInvariantGenerationAtMostOnce sends a generation that may not be repeated through all
// nodes concurrently with one key. It must run once, each caller must receive its response
// or be told that it is in progress, and another body with the same key must be refused.
func TestInvariantGenerationAtMostOnce(t *testing.T) {
	t.Parallel()
	s := session.New(t, allCopies(session.SmallDocument(t, 2, 1)), session.Options{})
	s.StartNodes(3)
	header := []string{"X-Kind", "signed-plan", "Idempotency-Key", "plan-7"}
	before := generationsRun(s)
	responses := make([]session.Response, 9)
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() {
			responses[i] = s.Do(i%3, http.MethodPost, chat, session.UnstreamedChat("drafter", "sign", 30), header...)
		})
	}
	wg.Wait()
	want := strings.Join(session.ExpectedTokens("drafter@1", "sign", 30), "")
	done := 0
	for _, a := range responses {
		require.NoError(t, a.Err)
		if a.Status == http.StatusOK {
			require.Contains(t, a.Body, want)
			done++
			continue
		}
		require.Equal(t, "in-progress", a.Header.Get("X-Reason"), a.Body)
	}
	require.Positive(t, done)
	conflicting := s.Stream(2, session.StreamedChat("drafter", "sign", 30), header...)
	require.False(t, conflicting.Read(-1), "another body under the same key")
	require.Equal(t, http.StatusUnprocessableEntity, conflicting.Status)
	stored := s.Do(2, http.MethodPost, chat, session.UnstreamedChat("drafter", "sign", 30), header...)
	require.Equal(t, http.StatusOK, stored.Status)
	require.Contains(t, stored.Body, want)
	require.Equal(t, before+1, generationsRun(s))
}

// generationsRun returns how many generations all engines have run.
func generationsRun(s *session.System) int64 {
	n := int64(0)
	for _, p := range s.Servers {
		n += s.Counters(p)["runs"]
	}
	return n
}

// TestInvariantNewConnectionsAreAnswered opens a new connection for each of many short
// requests. It guards against connections that are closed without a response.
func TestInvariantNewConnectionsAreAnswered(t *testing.T) {
	t.Parallel()
	const callers, each = 8, 1000
	s := session.New(t, allCopies(session.SmallDocument(t, 1, 1)), session.Options{})
	s.StartNodes(1)
	failed := make(chan string, callers*each)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range each {
				if a := s.Do(0, http.MethodGet, "/v1/models", ""); a.Err != nil || a.Status != http.StatusOK {
					failed <- fmt.Sprint(a.Err, a.Status, a.Body)
				}
			}
		})
	}
	wg.Wait()
	close(failed)
	require.Empty(t, failed, "first: %s", <-failed)
}

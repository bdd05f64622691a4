package session_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/claim"
	"guavapaddle/internal/testbed/session"
)

// TestInvariantPairTableOutageAndNodeDeath takes the table down while a booking runs, kills
// the node that handles it, and repeats the call through all other nodes during the outage
// and after it. The call must run once, and no response may say otherwise.
func TestInvariantPairTableOutageAndNodeDeath(t *testing.T) {
	t.Parallel()
	const nodes, path, body, key = 4, "/bookings/cancel", `"pair"`, "pair"
	s := session.New(t, session.SmallDocument(t, 1, 2), session.Options{Service: []string{"-work", "500ms"}})
	s.StartNodes(nodes)
	first := make(chan session.Response, 1)
	go func() { first <- s.Do(0, http.MethodPost, path, body, "Idempotency-Key", key) }()
	s.Eventually("the call to run", func() bool { return runsWithBody(s, body) == 1 })
	s.SetFaults(s.Platform, "/fault/table", `{"black-hole":true}`)
	s.Nodes[0].Kill()
	others := allExcept(nodes, 0)
	responses := append([]session.Response{<-first}, s.PostAll(others, path, body, key)...)
	for _, a := range responses[1:] {
		requireRefused(t, a, "table-down")
	}
	s.SetFaults(s.Platform, "/fault/table", "{}")
	s.Eventually("claims to be readable again", func() bool {
		more := s.PostAll(others, path, body, key)
		responses = append(responses, more...)
		for _, a := range more {
			if a.Header.Get("X-Reason") == "table-down" {
				return false
			}
		}
		return true
	})
	for _, a := range responses[len(responses)-len(others):] {
		require.Equal(t, "unknown", a.Header.Get("X-Outcome"), a.Body)
	}
	requireAtMostOnce(t, s, body, responses)
	require.Equal(t, 1, runsWithBody(s, body))
}

// TestInvariantPairLeavingServerAndSilentEngine makes one engine leave while the connections
// to another go silent. Streams on both must complete, requests must be served, and the
// leaving engine must get no new work 3 s later.
func TestInvariantPairLeavingServerAndSilentEngine(t *testing.T) {
	t.Parallel()
	s := session.New(t, allCopies(session.SmallDocument(t, 3, 1)), session.Options{Platform: []string{"-vm-lag", "10s"}})
	s.StartNodes(3)
	streams := map[string]*session.Stream{} // by server
	for i := 0; len(streams) < 3 && i < 60; i++ {
		st := s.Stream(i%3, session.StreamedChat("drafter", fmt.Sprint("stream ", i), 400))
		require.True(t, st.Read(2), st.Error)
		server := st.Last[strings.LastIndex(st.Last, ".")+1:]
		if streams[server] != nil {
			st.Close()
			continue
		}
		streams[server] = st
	}
	require.Len(t, streams, 3)
	s.SetFaults(s.Servers["gpu-1"], "/fault", `{"leaving":true}`)
	s.SetFaults(s.Servers["gpu-2"], "/fault", silentFault)
	announced := time.Now()
	for i := 0; time.Since(announced) < 3*time.Second; i++ {
		requireServedWithin(t, endBound, func() session.Response {
			return s.Do(i%3, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("meanwhile ", i), 3))
		})
	}
	before := s.Counters(s.Servers["gpu-1"])["runs"]
	for i := range 12 {
		requireServedWithin(t, promptBound, func() session.Response {
			return s.Do(i%3, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint("after ", i), 3))
		})
	}
	require.Equal(t, before, s.Counters(s.Servers["gpu-1"])["runs"])
	for server, st := range streams {
		require.True(t, st.Read(-1), "%s: %v %s", server, st.Err, st.Error)
		require.Len(t, st.Tokens, 400)
	}
}

// TestInvariantPairPausedOwnerAndVersionChange freezes the owner of an engine that does not
// check fencing numbers in the middle of a version change under load. The other nodes
// must serve the model throughout, each response must come from a single version, and memory
// must never be overcommitted.
func TestInvariantPairPausedOwnerAndVersionChange(t *testing.T) {
	t.Parallel()
	s := session.New(t, tightMemoryDocument(t), session.Options{Engine: map[string][]string{"": {"-load-base", "500ms"}}})
	s.StartNodes(3)
	t.Cleanup(func() { requireMemoryBounds(t, s) })
	paused := s.Owner(0, "gpu-2")
	require.GreaterOrEqual(t, paused, 0)
	others := allExcept(3, paused)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	versions := map[string]int{}
	for _, node := range others {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				prompt := fmt.Sprint(node, " request ", i)
				a := s.Do(node, http.MethodPost, chat, session.UnstreamedChat("drafter", prompt, 6))
				got := fmt.Sprint("wrong: ", a.Err, a.Status, a.Body)
				for _, v := range []string{"1", "2"} {
					if a.Status == http.StatusOK && strings.Contains(a.Body, strings.Join(session.ExpectedTokens("drafter@"+v, prompt, 6), "")) {
						got = v
					}
				}
				mu.Lock()
				versions[got]++
				mu.Unlock()
			}
		})
	}
	before := s.Counters(s.Servers["gpu-2"])["orders"]
	applyVersion(t, s, "2")
	awaitOrder(s, "gpu-2", before)
	s.Nodes[paused].Signal(syscall.SIGSTOP)
	s.Eventually("a new owner of gpu-2", func() bool {
		owner := s.Owner(others[0], "gpu-2")
		return owner >= 0 && owner != paused
	})
	s.Nodes[paused].Signal(syscall.SIGCONT)
	awaitVersion(t, s, others[0], "2")
	close(stop)
	wg.Wait()
	require.Len(t, versions, 2, "%v", versions)
	require.Positive(t, versions["1"], "%v", versions)
	require.Positive(t, versions["2"], "%v", versions)
}

// TestInvariantPairLostAnswersAndSilentService loses responses of the table while the
// connections to a service go silent, under repeated bookings. Each booking must run at most
// once.
func TestInvariantPairLostAnswersAndSilentService(t *testing.T) {
	t.Parallel()
	const nodes = 3
	s := session.New(t, session.SmallDocument(t, 1, 2), session.Options{Service: []string{"-work", "100ms"}})
	proxy := s.StartProxy()
	s.StartNodes(nodes)
	var lost sync.Map
	proxy.OnClaims(claim.Claimed, func(c claim.Claim) session.Action { // the response to each attempt's first insert is lost
		if _, again := lost.LoadOrStore(c.Attempt, true); !again {
			return session.DropResponse
		}
		return session.Pass
	})
	type booked struct {
		body      string
		responses []session.Response
	}
	all := make([]booked, 8)
	var wg sync.WaitGroup
	for i := range all {
		wg.Go(func() {
			body := fmt.Sprintf(`{"pair":%d}`, i)
			post := func(node int) session.Response {
				return s.Do(node, http.MethodPost, "/bookings/confirm", body, "Idempotency-Key", body, "X-Deadline-Ms", "3000")
			}
			all[i] = booked{body: body, responses: []session.Response{post(i % nodes), post((i + 1) % nodes), post(i % nodes)}}
		})
	}
	s.Eventually("bookings to run", func() bool { return len(s.Journal()) > 2 })
	s.SetFaults(s.Servers["desk-1"], "/fault", silentFault)
	wg.Wait()
	for _, b := range all {
		requireAtMostOnce(t, s, b.body, append(b.responses, s.PostAll(allExcept(nodes, -1), "/bookings/confirm", b.body, b.body)...))
	}
}

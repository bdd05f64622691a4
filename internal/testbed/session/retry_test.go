package session_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/internal/testbed/session"
)

// offeredLoad returns the number of requests that were sent to an engine: those that ran and
// those that it refused.
func offeredLoad(s *session.System, server string) int64 {
	c := s.Counters(s.Servers[server])
	return c["runs"] + c["refused-full"] + c["refused-leaving"] + c["refused-not-resident"]
}

// TestInvariantRetriesInOutage removes half of the engines under more load than the others
// can carry. It guards against retry amplification: the requests offered to the remaining
// engines must stay below 1.2 times the requests that callers sent.
func TestInvariantRetriesInOutage(t *testing.T) {
	t.Parallel()
	for _, outage := range []string{"killed", "down", "refusing"} {
		t.Run(outage, func(t *testing.T) {
			t.Parallel()
			const workers, perWorker = 40, 8
			doc := allCopies(session.SmallDocument(t, 4, 1))
			for i := range doc.Servers {
				if doc.Servers[i].Type == config.Engine {
					doc.Servers[i].Slots = 2
				}
			}
			doc.Limits.QueuePerServer = 6
			s := session.New(t, doc, session.Options{Engine: map[string][]string{"": {"-queue-bound", "2"}}})
			s.StartNodes(3)
			remaining := []string{"gpu-3", "gpu-4"}
			var sent, done atomic.Int64
			var wg sync.WaitGroup
			work := func(n int, phase string) {
				for w := range workers {
					wg.Go(func() {
						for i := range n {
							sent.Add(1)
							a := s.Do(w%3, http.MethodPost, chat, session.UnstreamedChat("drafter", fmt.Sprint(phase, w, " ", i), 15))
							if a.Status == http.StatusOK {
								done.Add(1)
							}
						}
					})
				}
			}
			work(1, "before ")
			wg.Wait()
			sent.Store(0)
			before := offeredLoad(s, remaining[0]) + offeredLoad(s, remaining[1])
			done.Store(0)
			for _, name := range []string{"gpu-1", "gpu-2"} {
				switch outage {
				case "killed":
					s.Servers[name].Kill()
				case "down":
					s.SetFaults(s.Servers[name], "/fault", downFault)
				case "refusing":
					s.SetFaults(s.Servers[name], "/fault", `{"refuse":true}`)
				}
			}
			work(perWorker, "outage ")
			wg.Wait()
			load := offeredLoad(s, remaining[0]) + offeredLoad(s, remaining[1]) - before
			t.Logf("first attempts %d, done %d, offered to the remaining servers %d: %.2f", sent.Load(), done.Load(), load,
				float64(load)/float64(sent.Load()))
			require.Positive(t, done.Load())
			require.Less(t, float64(load), 1.2*float64(sent.Load()))
		})
	}
}

// TestInvariantRetriesOfServiceCalls removes half of the servers of a plain service under
// more concurrent load than the others accept, so that calls are refused and retried. The
// calls offered to the remaining servers must stay below 1.2 times the calls that callers
// made.
func TestInvariantRetriesOfServiceCalls(t *testing.T) {
	t.Parallel()
	const workers, perWorker = 32, 25
	doc := session.SmallDocument(t, 1, 4)
	doc.Services[0].Path = "/records/"
	doc.Services[0].Calls = []config.Call{{Method: http.MethodGet, Path: "", Kind: "booking-read"}}
	s := session.New(t, doc, session.Options{Service: []string{"-work", "30ms", "-slots", "2"}})
	s.StartNodes(3)
	remaining := []string{"desk-3", "desk-4"}
	offeredCalls := func() int64 {
		n := int64(0)
		for _, name := range remaining {
			c := s.Counters(s.Servers[name])
			n += c["runs"] + c["refused"]
		}
		return n
	}
	s.SetFaults(s.Servers["desk-1"], "/fault", `{"refuse":true}`)
	s.SetFaults(s.Servers["desk-2"], "/fault", downFault)
	before := offeredCalls()
	var done atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range perWorker {
				if s.Do(w%3, http.MethodGet, fmt.Sprintf("/records/%d-%d", w, i), "").Status == http.StatusOK {
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	load := offeredCalls() - before
	t.Logf("first attempts %d, done %d, offered to the remaining servers %d: %.2f", workers*perWorker, done.Load(), load, float64(load)/(workers*perWorker))
	require.Positive(t, done.Load())
	require.Less(t, float64(load), 1.2*workers*perWorker)
}

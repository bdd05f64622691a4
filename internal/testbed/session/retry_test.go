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

// offered returns the load that callers' requests put on an engine: those that
// ran, and those that it refused.
func offered(s *session.System, server string) int64 {
	c := s.Counters(s.Servers[server])
	return c["runs"] + c["refused-full"] + c["refused-leaving"] + c["refused-not-resident"]
}

// TestInvariantRetriesInOutage takes half of the engines away under more load
// than the others can carry. What the others are asked to do stays under 1.2
// times the requests that callers sent.
func TestInvariantRetriesInOutage(t *testing.T) {
	t.Parallel()
	for _, outage := range []string{"killed", "down", "refusing"} {
		t.Run(outage, func(t *testing.T) {
			t.Parallel()
			const workers, each = 40, 8
			doc := allCopies(session.Small(t, 4, 1))
			for i := range doc.Servers {
				if doc.Servers[i].Type == config.Engine {
					doc.Servers[i].Slots = 2
				}
			}
			doc.Limits.QueuePerServer = 6
			s := session.New(t, doc, session.Options{Engine: map[string][]string{"": {"-queue-bound", "2"}}})
			s.StartNodes(3)
			rest := []string{"gpu-3", "gpu-4"}
			var sent, done atomic.Int64
			var wg sync.WaitGroup
			work := func(n int, phase string) {
				for w := range workers {
					wg.Go(func() {
						for i := range n {
							sent.Add(1)
							a := s.Do(w%3, http.MethodPost, chat, session.Whole("drafter", fmt.Sprint(phase, w, " ", i), 15))
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
			before := offered(s, rest[0]) + offered(s, rest[1])
			done.Store(0)
			for _, name := range []string{"gpu-1", "gpu-2"} {
				switch outage {
				case "killed":
					s.Servers[name].Kill()
				case "down":
					s.Fault(s.Servers[name], "/fault", down)
				case "refusing":
					s.Fault(s.Servers[name], "/fault", `{"refuse":true}`)
				}
			}
			work(each, "outage ")
			wg.Wait()
			load := offered(s, rest[0]) + offered(s, rest[1]) - before
			t.Logf("first attempts %d, done %d, offered to the rest %d: %.2f", sent.Load(), done.Load(), load,
				float64(load)/float64(sent.Load()))
			require.Positive(t, done.Load())
			require.Less(t, float64(load), 1.2*float64(sent.Load()))
		})
	}
}

// TestInvariantRetriesOfServiceCalls takes half of the servers of a plain
// service away under more load than the others take at a time, so that calls
// are refused and tried again. The others are offered less than 1.2 times the
// calls that callers made.
func TestInvariantRetriesOfServiceCalls(t *testing.T) {
	t.Parallel()
	const workers, each = 32, 25
	doc := session.Small(t, 1, 4)
	doc.Services[0].Path = "/records/"
	doc.Services[0].Calls = []config.Call{{Method: http.MethodGet, Path: "", Kind: "booking-read"}}
	s := session.New(t, doc, session.Options{Service: []string{"-work", "30ms", "-slots", "2"}})
	s.StartNodes(3)
	rest := []string{"desk-3", "desk-4"}
	asked := func() int64 {
		n := int64(0)
		for _, name := range rest {
			c := s.Counters(s.Servers[name])
			n += c["runs"] + c["refused"]
		}
		return n
	}
	s.Fault(s.Servers["desk-1"], "/fault", `{"refuse":true}`)
	s.Fault(s.Servers["desk-2"], "/fault", down)
	before := asked()
	var done atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range each {
				if s.Do(w%3, http.MethodGet, fmt.Sprintf("/records/%d-%d", w, i), "").Status == http.StatusOK {
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	load := asked() - before
	t.Logf("first attempts %d, done %d, offered to the rest %d: %.2f", workers*each, done.Load(), load, float64(load)/(workers*each))
	require.Positive(t, done.Load())
	require.Less(t, float64(load), 1.2*workers*each)
}

package session_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/claim"
	"guavapaddle/internal/testbed/session"
	"guavapaddle/internal/testbed/standin/service"
)

// runsWithBody returns how many calls with a body ran, from the services' journals.
func runsWithBody(s *session.System, body string) int {
	n := 0
	for _, r := range s.Journal() {
		if r.BodyHash == service.BodyHash([]byte(body)) {
			n += r.Count
		}
	}
	return n
}

// requireAtMostOnce checks the responses to all calls with one key and body: the call ran at
// most once, all successful responses are identical, and every other response is consistent
// with the services' journals.
func requireAtMostOnce(t *testing.T, s *session.System, body string, responses []session.Response) {
	t.Helper()
	ran := runsWithBody(s, body)
	require.LessOrEqual(t, ran, 1, body)
	journal := s.Journal()
	done, unknown := "", 0
	for _, a := range responses {
		if a.Err != nil {
			unknown++ // the node died
			continue
		}
		id := a.Header.Get("X-Request-ID")
		switch a.Header.Get("X-Outcome") {
		case "done":
			require.Equal(t, http.StatusOK, a.Status)
			require.Contains(t, []string{"", a.Body}, done, "two different responses to one call")
			done = a.Body
		case "refused-not-run":
			require.NotEmpty(t, a.Header.Get("Retry-After"), a.Body)
			require.False(t, slices.ContainsFunc(journal, func(r service.Run) bool { return r.RequestID == id }),
				"ran although refused: %s", a.Body)
		case "unknown":
			unknown++
		default:
			require.Fail(t, "missing or unexpected outcome", "%d %s %s", a.Status, a.Header.Get("X-Outcome"), a.Body)
		}
	}
	if done != "" {
		require.Equal(t, 1, ran, body)
	}
	if done == "" && unknown == 0 {
		require.Zero(t, ran, "the call ran, but every response says that it did not")
	}
}

// TestInvariantBookingNodeDeath kills the node that handles a booking or a cancellation at
// each stage of the call, and repeats the call concurrently on all other nodes. It guards
// against a call that runs twice because the claim of the dead node is not respected, and
// against responses that misstate the outcome.
func TestInvariantBookingNodeDeath(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/bookings/confirm", "/bookings/cancel"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			const nodes = 4
			s := session.New(t, session.SmallDocument(t, 1, 2), session.Options{Service: []string{"-work", "700ms"}})
			proxy := s.StartProxy()
			s.StartNodes(nodes)
			for victim, stage := range []struct {
				name   string
				state  claim.State // the transaction into this state triggers the kill
				action session.Action
				ran    int
				stored bool
			}{
				{name: "before the send", state: claim.Claimed, action: session.DropResponse, ran: 0},
				{name: "during the send", ran: 1},
				{name: "after the answer, before it is stored", state: claim.Done, action: session.DropRequest, ran: 1},
				{name: "after the answer is stored", state: claim.Done, action: session.Pass, ran: 1, stored: true},
			} {
				body, key := fmt.Sprintf(`{"at":%q}`, stage.name), stage.name
				others := allExcept(nodes, victim)
				if stage.state != "" {
					proxy.OnClaims(stage.state, func(claim.Claim) session.Action {
						if stage.action == session.DropResponse || stage.action == session.DropRequest {
							s.Nodes[victim].Kill() // the node takes no further action
						}
						return stage.action
					})
				}
				first := make(chan session.Response, 1)
				go func() { first <- s.Do(victim, http.MethodPost, path, body, "Idempotency-Key", key) }()
				if stage.state == "" {
					s.Eventually("the call to run", func() bool { return runsWithBody(s, body) == 1 })
					s.Nodes[victim].Kill()
				}
				responses := []session.Response{<-first}
				if stage.action == session.DropResponse {
					proxy.AwaitDroppedResponse()
				}
				proxy.SetAction(nil)
				s.Nodes[victim].Kill()
				responses = append(responses, s.PostAll(others, path, body, key)...)
				responses = append(responses, s.PostAll(others, path, body, key)...)
				requireAtMostOnce(t, s, body, responses)
				require.Equal(t, stage.ran, runsWithBody(s, body), stage.name)
				for _, a := range responses[1:] {
					if stage.stored {
						require.Equal(t, "1", a.Header.Get("X-Stored-Answer"), a.Body)
					} else {
						require.Equal(t, "unknown", a.Header.Get("X-Outcome"), a.Body)
					}
				}
				s.RestartNode(victim)
				s.WaitNodes(nodes)
			}
		})
	}
}

// allExcept returns the numbers from 0 to n-1 without excluded.
func allExcept(n, excluded int) []int {
	var out []int
	for i := range n {
		if i != excluded {
			out = append(out, i)
		}
	}
	return out
}

// TestInvariantBookingLostAnswers repeats bookings and cancellations concurrently on all
// nodes while responses of the table and of the services are lost after the request took
// effect, and while reused connections are closed. It guards against retries that run a call
// twice.
func TestInvariantBookingLostAnswers(t *testing.T) {
	t.Parallel()
	const nodes = 4
	s := session.New(t, session.SmallDocument(t, 1, 2), session.Options{})
	s.StartNodes(nodes)
	all := allExcept(nodes, -1)
	for _, c := range []struct {
		name           string
		table, service string
		done           bool // the call must succeed eventually
	}{
		{name: "nothing fails", done: true},
		{name: "table", table: `{"drop-answers":3}`},
		{name: "table, long", table: `{"drop-answers":12}`},
		{name: "service", service: `{"drop-answers":1}`},
		{name: "reuse", service: `{"close-reused":true}`, done: true},
		{name: "table and service", table: `{"drop-answers":5}`, service: `{"drop-answers":1}`},
		{name: "refused and lost", table: `{"drop-answers":1}`, service: `{"refuse":true}`},
		{name: "late", service: `{"delay-ms":300}`, done: true},
	} {
		for i, path := range []string{"/bookings/confirm", "/bookings/cancel"} {
			body, key := fmt.Sprintf(`{"case":%q,"path":%q}`, c.name, path), c.name+path
			setFaults := func(table, service string) {
				s.SetFaults(s.Platform, "/fault/table", table)
				for _, name := range []string{"desk-1", "desk-2"} {
					s.SetFaults(s.Servers[name], "/fault", service)
				}
			}
			setFaults(faultsOrNone(c.table), faultsOrNone(c.service))
			responses := s.PostAll(all, path, body, key)
			responses = append(responses, s.PostAll([]int{i}, path, body, key)...)
			setFaults("{}", "{}")
			responses = append(responses, s.PostAll(all, path, body, key)...)
			requireAtMostOnce(t, s, body, responses)
			var last session.Response
			s.Eventually("a final response", func() bool {
				last = s.Do(i, http.MethodPost, path, body, "Idempotency-Key", key)
				responses = append(responses, last)
				return last.Header.Get("X-Reason") != "in-progress" && last.Header.Get("X-Reason") != "table-down"
			})
			if c.done {
				require.Equal(t, http.StatusOK, last.Status, "%s: %s", c.name, last.Body)
			}
			requireAtMostOnce(t, s, body, responses)
		}
	}
}

func faultsOrNone(faults string) string {
	if faults == "" {
		return "{}"
	}
	return faults
}

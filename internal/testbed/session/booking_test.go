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

// ranWith returns how often calls with a body ran by the services' journals.
func ranWith(s *session.System, body string) int {
	n := 0
	for _, r := range s.Journal() {
		if r.BodyHash == service.BodyHash([]byte(body)) {
			n += r.Count
		}
	}
	return n
}

// atMostOnce demands of all answers to calls with one key and body that the
// call ran at most once, that all who got its answer got the same one, and that
// each other was told the truth.
func atMostOnce(t *testing.T, s *session.System, body string, answers []session.Answer) {
	t.Helper()
	ran := ranWith(s, body)
	require.LessOrEqual(t, ran, 1, body)
	journal := s.Journal()
	done, unknown := "", 0
	for _, a := range answers {
		if a.Err != nil {
			unknown++ // its node died
			continue
		}
		id := a.Header.Get("X-Request-ID")
		switch a.Header.Get("X-Outcome") {
		case "done":
			require.Equal(t, http.StatusOK, a.Status)
			require.Contains(t, []string{"", a.Body}, done, "two answers to one call")
			done = a.Body
		case "refused-not-run":
			require.NotEmpty(t, a.Header.Get("Retry-After"), a.Body)
			require.False(t, slices.ContainsFunc(journal, func(r service.Run) bool { return r.RequestID == id }),
				"ran although refused: %s", a.Body)
		case "unknown":
			unknown++
		default:
			require.Fail(t, "untrue or unclear answer", "%d %s %s", a.Status, a.Header.Get("X-Outcome"), a.Body)
		}
	}
	if done != "" {
		require.Equal(t, 1, ran, body)
	}
	if done == "" && unknown == 0 {
		require.Zero(t, ran, "all were told that it did not run")
	}
}

// TestInvariantBookingNodeDeath kills the node that has a booking, or a
// cancellation, at each point of its way, and repeats the call on all other
// nodes at once. It runs at most once, and everyone is told the truth.
func TestInvariantBookingNodeDeath(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/bookings/confirm", "/bookings/cancel"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			const nodes = 4
			s := session.New(t, session.Small(t, 1, 2), session.Options{Service: []string{"-work", "700ms"}})
			between := s.Between()
			s.StartNodes(nodes)
			for victim, stage := range []struct {
				name   string
				state  claim.State // whose transaction marks the moment
				fate   session.Fate
				ran    int
				stored bool
			}{
				{name: "before the send", state: claim.Claimed, fate: session.Lose, ran: 0},
				{name: "during the send", ran: 1},
				{name: "after the answer, before it is stored", state: claim.Done, fate: session.Drop, ran: 1},
				{name: "after the answer is stored", state: claim.Done, fate: session.Pass, ran: 1, stored: true},
			} {
				body, key := fmt.Sprintf(`{"at":%q}`, stage.name), stage.name
				others := without(nodes, victim)
				if stage.state != "" {
					between.Claims(stage.state, func(claim.Claim) session.Fate {
						if stage.fate == session.Lose || stage.fate == session.Drop {
							s.Nodes[victim].Kill() // nothing that the node does comes after this
						}
						return stage.fate
					})
				}
				first := make(chan session.Answer, 1)
				go func() { first <- s.Do(victim, http.MethodPost, path, body, "Idempotency-Key", key) }()
				if stage.state == "" {
					s.Eventually("the call runs", func() bool { return ranWith(s, body) == 1 })
					s.Nodes[victim].Kill()
				}
				answers := []session.Answer{<-first}
				if stage.fate == session.Lose {
					between.AwaitLost()
				}
				between.Decide(nil)
				s.Nodes[victim].Kill()
				answers = append(answers, s.Repeat(others, path, body, key)...)
				answers = append(answers, s.Repeat(others, path, body, key)...)
				atMostOnce(t, s, body, answers)
				require.Equal(t, stage.ran, ranWith(s, body), stage.name)
				for _, a := range answers[1:] {
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

// without returns the numbers below n but one.
func without(n, but int) []int {
	var out []int
	for i := range n {
		if i != but {
			out = append(out, i)
		}
	}
	return out
}

// TestInvariantBookingLostAnswers repeats bookings and cancellations on all
// nodes at once while answers of the table and of the services are lost after
// they took effect, and connections break when they are used again.
func TestInvariantBookingLostAnswers(t *testing.T) {
	t.Parallel()
	const nodes = 4
	s := session.New(t, session.Small(t, 1, 2), session.Options{})
	s.StartNodes(nodes)
	all := without(nodes, -1)
	for _, c := range []struct {
		name           string
		table, service string
		done           bool // the answer must be there at the end
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
			set := func(table, service string) {
				s.Fault(s.Platform, "/fault/table", table)
				for _, name := range []string{"desk-1", "desk-2"} {
					s.Fault(s.Servers[name], "/fault", service)
				}
			}
			set(orNone(c.table), orNone(c.service))
			answers := s.Repeat(all, path, body, key)
			answers = append(answers, s.Repeat([]int{i}, path, body, key)...)
			set("{}", "{}")
			answers = append(answers, s.Repeat(all, path, body, key)...)
			atMostOnce(t, s, body, answers)
			var last session.Answer
			s.Eventually("an answer that is final", func() bool {
				last = s.Do(i, http.MethodPost, path, body, "Idempotency-Key", key)
				answers = append(answers, last)
				return last.Header.Get("X-Reason") != "in-progress" && last.Header.Get("X-Reason") != "table-down"
			})
			if c.done {
				require.Equal(t, http.StatusOK, last.Status, "%s: %s", c.name, last.Body)
			}
			atMostOnce(t, s, body, answers)
		}
	}
}

func orNone(faults string) string {
	if faults == "" {
		return "{}"
	}
	return faults
}

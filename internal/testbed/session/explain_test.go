package session_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/status"
	"guavapaddle/internal/cli"
	"guavapaddle/internal/testbed/session"
)

// volatileFields matches the fields of an explanation whose values differ between runs.
var volatileFields = regexp.MustCompile(`(revision|attempt|epoch|took|row)=\S+`)

// explainLines returns the output of the explain command for a response's request, one event
// per line, without times.
func explainLines(t *testing.T, s *session.System, node int, a session.Response) []string {
	code, out := s.Command("explain", "-nodes", s.Nodes[node].Address("operators"), "-output", "json", a.Header.Get("X-Request-ID"))
	require.Equal(t, cli.ExitOK, code, out)
	var e status.Explanation
	require.NoError(t, json.Unmarshal([]byte(out), &e))
	var lines []string
	for _, ev := range e.Events {
		line := ev.Node + " " + ev.Event
		for _, f := range ev.Fields {
			line += " " + f.Name + "=" + f.Value
		}
		lines = append(lines, line)
	}
	return lines
}

// TestInvariantFaultSession records what callers and operators see at each step of a session
// that includes a node's death and a table outage.
func TestInvariantFaultSession(t *testing.T) {
	t.Parallel()
	s := session.New(t, session.SmallDocument(t, 1, 1), session.Options{Service: []string{"-work", "400ms"}})
	s.StartNodes(3)
	var r session.Transcript
	book := func(node int, key string) session.Response {
		return s.Do(node, http.MethodPost, "/bookings/confirm", fmt.Sprintf(`{"section":%q}`, key), "Idempotency-Key", key)
	}
	explain := func(node int, a session.Response) {
		r.Text(volatileFields.ReplaceAllString(strings.Join(explainLines(t, s, node, a), "\n"), "$1=..."))
	}

	r.Step("a booking through node 1")
	a := book(0, "B12")
	r.Response(a)
	r.Step("what operators are told of it")
	explain(2, a)
	r.Step("the same booking through node 2")
	s.Eventually("the stored response", func() bool { // usually immediately
		a = book(1, "B12")
		return a.Status != http.StatusConflict
	})
	r.Response(a)
	r.Step("what operators are told of it")
	explain(2, a)

	r.Step("node 1 dies while it has a booking")
	first := make(chan session.Response, 1)
	go func() { first <- book(0, "B13") }()
	s.Eventually("the booking to run", func() bool { return runsWithBody(s, `{"section":"B13"}`) == 1 })
	s.Nodes[0].Kill()
	r.Response(<-first)
	s.WaitNodes(2)
	for node := 1; node < 3; node++ {
		r.Step("the same booking through node %d", node+1)
		a = book(node, "B13")
		r.Response(a)
	}
	r.Step("what operators are told of it")
	explain(1, a)

	r.Step("the table is down: a booking through node 2")
	s.SetFaults(s.Platform, "/fault/table", downFault)
	a = book(1, "B14")
	r.Response(a)
	r.Step("what operators are told of it")
	explain(1, a)
	r.Step("an answer of a model meanwhile")
	a = s.Do(1, http.MethodPost, chat, session.UnstreamedChat("drafter", "Draft a plan.", 3))
	r.Response(a)
	r.Step("the table is back: the same booking through nodes 2 and 3")
	s.SetFaults(s.Platform, "/fault/table", "{}")
	s.Eventually("bookings", func() bool {
		a = book(1, "B14")
		return a.Header.Get("X-Reason") != "table-down"
	})
	r.Response(a)
	s.Eventually("the stored response", func() bool {
		a = book(2, "B14")
		return a.Status != http.StatusConflict
	})
	r.Response(a)
	r.Step("runs by the service's own journal")
	for _, key := range []string{"B12", "B13", "B14"} {
		r.Text(fmt.Sprintf("%s: %d", key, runsWithBody(s, fmt.Sprintf(`{"section":%q}`, key))))
	}
	r.Compare(t, "faults")
}

// TestInvariantExplainForwarded checks that, for a request that a node forwarded to the
// owner of an engine, explain names the server, owner and epoch both as the node that picked
// the server saw them and as the owner did, and that the log names the lease under which
// orders were sent to the engine.
func TestInvariantExplainForwarded(t *testing.T) {
	t.Parallel()
	s := session.New(t, session.SmallDocument(t, 1, 1), session.Options{})
	s.StartNodes(2)
	owner := s.Owner(0, "gpu-1")
	require.GreaterOrEqual(t, owner, 0)
	entry := 1 - owner
	var lines string
	s.Eventually("a forwarded request", func() bool { // the owner may still change
		a := s.Do(entry, http.MethodPost, chat, session.UnstreamedChat("drafter", "who decided", 3))
		require.Equal(t, http.StatusOK, a.Status, a.Body)
		lines = strings.Join(explainLines(t, s, entry, a), "\n")
		return strings.Contains(lines, " forwarded ")
	})
	picked := regexp.MustCompile(`(n\d) pick server=gpu-1 owner=(n\d) epoch=(\d+) reason=\S+`).FindStringSubmatch(lines)
	ran := regexp.MustCompile(`(n\d) forwarded server=gpu-1 owner=(n\d) epoch=(\d+)`).FindStringSubmatch(lines)
	require.Len(t, picked, 4, lines)
	require.Len(t, ran, 4, lines)
	require.NotEqual(t, picked[1], ran[1])
	require.Equal(t, picked[2], ran[1])
	require.Equal(t, picked[2:], ran[2:])
	require.Contains(t, lines, "answered outcome=done")
	var logs string
	for _, n := range s.Nodes {
		logs += n.Log()
	}
	require.Regexp(t, `event="lease acquired" node=n\d server=gpu-1 epoch=\d+`, logs)
	require.Regexp(t, `event="order sent" node=n\d server=gpu-1 epoch=\d+ item=drafter@1 op=load order-id=\S+`, logs)
}

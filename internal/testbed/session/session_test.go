package session_test

import (
	"net/http"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/session"
)

const (
	chat   = "/v1/chat/completions"
	prompt = `"messages":[{"role":"user","content":"Draft a worksite protection plan."}]`
)

func TestMain(m *testing.M) {
	code := m.Run()
	session.Cleanup()
	os.Exit(code)
}

// TestSession runs a complete session: two nodes, two engines, a service and the platform,
// each in its own process.
func TestSession(t *testing.T) {
	t.Parallel()
	s := session.New(t, session.SmallDocument(t, 2, 1), session.Options{})
	s.StartNodes(2)
	var r session.Transcript

	r.Step("models that the team crew may call")
	r.Response(s.Do(0, http.MethodGet, "/v1/models", ""))
	r.Step("models that the team rival may call")
	r.Response(s.Do(1, http.MethodGet, "/v1/models", "", "Authorization", "Bearer "+session.OtherKey))
	r.Step("a key that nobody has")
	r.Response(s.Do(1, http.MethodGet, "/v1/models", "", "Authorization", "Bearer nobody"))

	for node := range s.Nodes {
		r.Step("a whole answer, asked of node %d", node+1)
		r.Response(s.Do(node, http.MethodPost, chat, `{"model":"drafter","max_tokens":3,`+prompt+`}`))
		r.Step("a streamed answer of an adapter, asked of node %d", node+1)
		r.Response(s.Do(node, http.MethodPost, chat, `{"model":"shire-style","stream":true,"max_tokens":3,`+prompt+`}`))
	}
	r.Step("a model of another team")
	r.Response(s.Do(0, http.MethodPost, chat, `{"model":"drafter",`+prompt+`}`, "Authorization", "Bearer "+session.OtherKey))
	r.Step("a body that is not JSON")
	r.Response(s.Do(0, http.MethodPost, chat, `{"model":`))
	r.Step("a kind that is not declared")
	r.Response(s.Do(0, http.MethodPost, chat, `{"model":"drafter",`+prompt+`}`, "X-Kind", "none"))

	r.Step("a booking")
	r.Response(s.Do(0, http.MethodPost, "/bookings/confirm", `{"section":"B12"}`, "Idempotency-Key", "k1"))
	r.Step("the same booking through the other node")
	var repeated session.Response
	s.Eventually("the stored response", func() bool {
		repeated = s.Do(1, http.MethodPost, "/bookings/confirm", `{"section":"B12"}`, "Idempotency-Key", "k1")
		return repeated.Status != http.StatusConflict
	})
	r.Response(repeated)
	r.Step("the same key with another body")
	r.Response(s.Do(1, http.MethodPost, "/bookings/confirm", `{"section":"B13"}`, "Idempotency-Key", "k1"))
	require.Equal(t, 1, s.Runs("desk-1", "/bookings/confirm"))

	r.Step("a configuration with a new version of drafter")
	s.Document.Models[0].Version = "2"
	code, out := s.Apply(s.Document)
	require.Equal(t, 0, code, out)
	r.Text(out)
	s.WaitResident()
	r.Step("the new version answers")
	r.Response(s.Do(0, http.MethodPost, chat, `{"model":"drafter","max_tokens":3,`+prompt+`}`))
	r.Step("both nodes are stopped")
	for _, n := range s.Nodes {
		require.Equal(t, 0, n.Terminate(), n.Log())
	}
	r.Compare(t, "session")
}

package session_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/session"
)

// TestInvariantUnreadLogHoldsNothingUp guards against a node that blocks on writing its log,
// and so neither serves requests nor stops, when the reader of the log has stopped reading.
func TestInvariantUnreadLogHoldsNothingUp(t *testing.T) {
	t.Parallel()
	const requests = 1500 // their log lines exceed the capacity of the pipe
	s := session.New(t, session.SmallDocument(t, 2, 1), session.Options{})
	s.StartNodes(1)
	node := s.Nodes[0]
	node.RestartWithUnreadOutput()
	s.Eventually("a successful request on the restarted node", func() bool {
		return s.Do(0, http.MethodPost, chat, `{"model":"drafter","max_tokens":1,`+prompt+`}`).Status == http.StatusOK
	})
	for i := range requests {
		began := time.Now()
		a := s.Do(0, http.MethodPost, chat, `{"model":"drafter","max_tokens":1,`+prompt+`}`)
		require.NoError(t, a.Err, "request %d", i)
		require.Equal(t, http.StatusOK, a.Status, a.Body)
		require.Less(t, time.Since(began), 10*time.Second, "request %d", i)
	}
	require.Zero(t, node.Terminate())
}

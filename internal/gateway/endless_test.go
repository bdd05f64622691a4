package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/internal/testbed/endless"
)

// TestServerWithEndlessAnswerIsLeftAtOnce guards against requests that wait for their deadline at a server whose bytes are no answer and don't end.
func TestServerWithEndlessAnswerIsLeftAtOnce(t *testing.T) {
	for name, start := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nX: ",
		"body": "HTTP/1.1 200 OK\r\nX-Guavapaddle-Server-Stamp: s\r\nX-Guavapaddle-Request-Id: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sound := startWorker(t, "i-sound")
			r := newRig(t, sound)
			r.gateway.SetServers([]fleet.Server{
				{ID: "i-endless", Service: "plain", Address: endless.Start(t, start, "x"), Zone: "z", Slots: 4},
				{ID: sound.ID, Service: "plain", Address: sound.Address(), Zone: "away", Slots: 4},
			})
			began := time.Now()
			require.Equal(t, http.StatusOK, r.do("GET", "/safe/x", "a", "").status)
			require.Less(t, time.Since(began), time.Second)
			require.Contains(t, r.log.String(), "reason=too-long")
			require.NotContains(t, r.log.String(), "server-crash")
			require.Equal(t, http.StatusOK, r.do("POST", "/unsafe/x", "b", "").status, "the server counts as failing")
		})
	}
}

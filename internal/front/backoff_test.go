package front_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform/standin"
)

const (
	requestedBackoff = 2 * time.Second
	backoffGrace     = 500 * time.Millisecond // time after a refusal in which requests may still arrive
	maxDuringBackoff = 2                      // requests of a node until the end of the backoff
	minServedShare   = 0.96                   // of the requests, by the other server, or refused at once if there is none
	minLoad          = 50                     // requests that clients send at least, on a busy machine too
)

// TestServerBackoffIsRespected has a server refuse all requests and ask each node for a
// backoff.
func TestServerBackoffIsRespected(t *testing.T) {
	t.Parallel()
	for name, x := range map[string]struct {
		path, model string
		onlyServer  bool // no other server can serve the requests
	}{
		"engine":        {"/plans/x", "m0", false},
		"plain":         {"/calls/x", "", false},
		"only engine":   {"/plans/x", "m0", true},
		"only one left": {"/calls/x", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, server, _ := newPair(t, 1, x.model, !x.onlyServer)
			server.SetScript(standin.Shed)
			server.SetBackoff(requestedBackoff)
			start := time.Now()
			statuses := f.sendLoad(x.path, x.model, 20*time.Millisecond, 5*time.Second)
			require.Less(t, time.Since(start), 6*time.Second, "requests that can't be served are refused at once")
			visits := server.Visits()
			require.NotEmpty(t, visits)
			for i, first := range visits {
				n := 0
				for _, later := range visits[i:] {
					if d := later.At.Sub(first.At); d > backoffGrace && d < requestedBackoff {
						n++
					}
				}
				require.LessOrEqual(t, n, maxDuringBackoff, "request %d of %d, statuses %v", i, len(visits), statuses)
			}
			sent := 0
			for _, n := range statuses {
				sent += n
			}
			require.Greater(t, sent, minLoad)
			expected := statuses[200]
			if x.onlyServer {
				expected = statuses[503]
			}
			require.GreaterOrEqual(t, float64(expected), minServedShare*float64(sent), "%v", statuses)
		})
	}
}

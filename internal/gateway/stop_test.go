package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform/standin"
)

// TestRequestInAStopIsTakenIfItEndsInTime checks that a node that stops sends on what has its response, at its deadline at the latest, before the node
// exits, and refuses the rest as not run.
func TestRequestInAStopIsTakenIfItEndsInTime(t *testing.T) {
	t.Parallel()
	timeouts := map[string]time.Duration{"/safe/": 2 * time.Second, "/unsafe/": 2 * time.Second, "/stream/": 5 * time.Second, "/resumable/": 5 * time.Second}
	for path, timeout := range timeouts {
		for name, x := range map[string]struct {
			left   time.Duration // until the node exits
			status int
		}{
			"in time":       {timeout + time.Second, 200},
			"too late":      {timeout, 503},
			"much too late": {0, 503},
		} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				w := (&standin.Worker{ID: "i-1", Stream: streamEvents}).Start(t)
				r := newRig(t, w)
				r.gateway.Stop(time.Now().Add(x.left))
				got := r.do("POST", path, "r", "body")
				require.NoError(t, got.err)
				require.Equal(t, x.status, got.status)
				require.Len(t, w.Runs(), map[int]int{200: 1, 503: 0}[x.status])
				require.Equal(t, x.status == 503, got.header.Get("Retry-After") != "")
			})
		}
	}
}

package front_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// drainWithin is how long after its answer a server that leaves may get requests.
const drainWithin = 2 * time.Second

// TestAServerThatSaysItLeavesGetsNoRequests has the store be away, so that only the
// server's answers say that it leaves, and its entry come again as ready.
func TestAServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	for name, x := range map[string]struct{ path, model string }{
		"engine": {"/plans/x", "m0"},
		"plain":  {"/calls/x", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, engine, plain := newFleet(t, 3)
			leaving, service := plain, "plain"
			other := (&standin.Worker{ID: "i-other", Stream: 5}).Hold("m0").Start(t)
			if x.model != "" {
				leaving, service = engine, "llm"
			}
			f.store.Put(platform.TableServers, "i-other", other.Entry(service, "z", false))
			require.Eventually(t, func() bool {
				f.press(x.path, x.model, 10*time.Millisecond, 50*time.Millisecond)
				return len(other.Came()) > 0
			}, 5*time.Second, time.Millisecond)
			f.store.Outage(true)
			leaving.Depart()
			told := time.Now()
			time.AfterFunc(2*time.Second, func() {
				f.store.Outage(false)
				f.store.Put(platform.TableServers, leaving.ID, leaving.Entry(service, "z", false))
			})
			statuses := f.press(x.path, x.model, 50*time.Millisecond, 5*time.Second)
			late := 0
			for _, at := range leaving.Came() {
				if at.Sub(told) > drainWithin {
					late++
				}
			}
			require.Zero(t, late, "requests after %v of %d, statuses %v", drainWithin, len(leaving.Came()), statuses)
			require.NotZero(t, statuses[200])
			require.Len(t, statuses, 1, fmt.Sprint(statuses))
		})
	}
}

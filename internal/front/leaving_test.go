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

// bothKinds names a path and, for an engine, a model of each kind of service.
var bothKinds = map[string]struct{ path, model string }{
	"engine": {"/plans/x", "m0"},
	"plain":  {"/calls/x", ""},
}

// newPair starts nodes before a server of a service, an engine if there is a model, and returns it
// with its service. Another server that it is preferred to stands beside it if asked for.
func newPair(t *testing.T, nodes int, model string, beside bool) (f *fleetRig, preferred *standin.Worker, service string) {
	t.Helper()
	f = &fleetRig{t: t, store: standin.NewStore(t)}
	service = "plain"
	if model != "" {
		service = "llm"
	}
	if beside {
		other := (&standin.Worker{ID: "i-other", Stream: 5}).Hold("m0").Start(t)
		f.store.Put(platform.TableServers, "i-other", other.Entry(service, "away", false))
	}
	engine, plain := f.run(nodes, configuration)
	if model != "" {
		return f, engine, service
	}
	return f, plain, service
}

// TestAServerThatSaysItLeavesGetsNoRequests has the store be away, so that only the
// server's answers say that it leaves, and its entry come again as ready.
func TestAServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	for name, x := range bothKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, leaving, service := newPair(t, 3, x.model, true)
			f.store.Outage(true)
			leaving.Depart()
			time.AfterFunc(2*time.Second, func() {
				f.store.Outage(false)
				f.store.Put(platform.TableServers, leaving.ID, leaving.Entry(service, "z", false))
			})
			statuses := f.press(x.path, x.model, 50*time.Millisecond, 5*time.Second)
			came := leaving.Visits()
			require.NotEmpty(t, came)
			require.Less(t, came[len(came)-1].At.Sub(came[0].At), drainWithin, "the last of %d requests after the first; statuses %v", len(came), statuses)
			require.NotZero(t, statuses[200])
			require.Len(t, statuses, 1, fmt.Sprint(statuses))
		})
	}
}

package front_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// TestModelOnRateLimitedServerGetsAnotherCopy guards against a model whose requests are
// refused for as long as its only copy is on a server that sets a low rate limit, while
// another server has room for the model.
func TestModelOnRateLimitedServerGetsAnotherCopy(t *testing.T) {
	t.Parallel()
	const interval = 50 * time.Millisecond
	f := &testCluster{t: t, store: standin.NewStore(t)}
	roomy := (&standin.Worker{ID: "i-roomy", Stream: 5}).Start(t)
	f.store.Put(platform.TableServers, "i-roomy", roomy.Entry("llm", "z", false))
	engine, _ := f.run(3, configuration)
	updateEntries := func() {
		f.store.Put(platform.TableServers, "i-engine", engine.Entry("llm", "z", false))
		f.store.Put(platform.TableServers, "i-roomy", roomy.Entry("llm", "z", false))
	}
	require.Eventually(t, func() bool { return len(engine.Models())+len(roomy.Models()) == 2 }, 8*time.Second, 10*time.Millisecond,
		"a declared model without a copy is loaded")
	updateEntries()
	engine.SetRateLimit(1)
	f.sendLoad("/plans/x", "m0", interval, 6*time.Second)
	require.Contains(t, roomy.Models(), "m0")
	updateEntries()
	f.sendLoad("/plans/x", "m0", interval, time.Second) // until all nodes know of the copy
	statuses := f.sendLoad("/plans/x", "m0", interval, 3*time.Second)
	sent := 0
	for _, n := range statuses {
		sent += n
	}
	require.GreaterOrEqual(t, statuses[200], sent*95/100, "%v", statuses)
}

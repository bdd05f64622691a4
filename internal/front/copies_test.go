package front_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// TestAModelOnALimitedServerGetsAnotherCopy guards against a model whose requests are refused
// for as long as its only copy is at a server that names a low rate, while another server has
// room for it.
func TestAModelOnALimitedServerGetsAnotherCopy(t *testing.T) {
	t.Parallel()
	const every = 50 * time.Millisecond
	f := &fleetRig{t: t, store: standin.NewStore(t)}
	roomy := (&standin.Worker{ID: "i-roomy", Stream: 5}).Start(t)
	f.store.Put(platform.TableServers, "i-roomy", roomy.Entry("llm", "z", false))
	engine, _ := f.run(3, configuration)
	enter := func() {
		f.store.Put(platform.TableServers, "i-engine", engine.Entry("llm", "z", false))
		f.store.Put(platform.TableServers, "i-roomy", roomy.Entry("llm", "z", false))
	}
	require.Eventually(t, func() bool { return len(engine.Models())+len(roomy.Models()) == 2 }, 8*time.Second, 10*time.Millisecond,
		"a declared model without a copy is loaded")
	enter()
	engine.NameRate(1)
	f.press("/plans/x", "m0", every, 6*time.Second)
	require.Contains(t, roomy.Models(), "m0")
	enter()
	f.press("/plans/x", "m0", every, time.Second) // until all know of it
	statuses := f.press("/plans/x", "m0", every, 3*time.Second)
	asked := 0
	for _, n := range statuses {
		asked += n
	}
	require.GreaterOrEqual(t, statuses[200], asked*95/100, "%v", statuses)
}

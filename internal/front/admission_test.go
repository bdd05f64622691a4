package front_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/internal/front"
	"guavapaddle/internal/lag"
	"guavapaddle/platform/standin"
)

// runLimited runs a node that admits what it can do in time only, and returns it with a function that sends it a request and returns the
// status.
func runLimited(t *testing.T, adjust func(s *front.Settings)) (f *testCluster, get func() int) {
	f = &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second, limited: true, adjust: adjust}
	f.run(1, configuration)
	f.waitForLeader()
	id := 0
	get = func() int {
		id++
		status, _ := f.nodes[0].get(t, "/calls/x", fmt.Sprint(id), "")
		return status
	}
	require.Eventually(t, func() bool { return get() == http.StatusOK }, 10*time.Second, 10*time.Millisecond)
	return f, get
}

// recordRoundTrips records a round trip to each of several peers.
func recordRoundTrips(took time.Duration) {
	for peer := range 8 {
		lag.RecordRoundTrip(fmt.Sprint("peer-", peer), took)
	}
}

// delayLink makes round trips take a second longer until end is called, or the test ends.
func delayLink(t *testing.T) (end func()) {
	recordRoundTrips(time.Millisecond)
	stop := make(chan struct{})
	go func() {
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for {
			recordRoundTrips(time.Second)
			select {
			case <-tick.C:
			case <-stop:
				return
			}
		}
	}()
	end = sync.OnceFunc(func() { close(stop) })
	t.Cleanup(end)
	return end
}

// TestNodeThatIsLateTurnsRequestsAway guards against a node that takes on all requests, however late it is, so that none is served in time.
func TestNodeThatIsLateTurnsRequestsAway(t *testing.T) {
	f, get := runLimited(t, nil)
	p := f.nodes[0]
	served := func() bool { return get() == http.StatusOK }

	endDelay := delayLink(t)
	require.Eventually(t, func() bool { return !served() }, 20*time.Second, time.Millisecond)
	require.NotZero(t, p.logs.FilterMessage("overloaded").Len())
	require.Eventually(t, func() bool { return !p.ready() }, 20*time.Second, 10*time.Millisecond, "rejecting doesn't help")
	endDelay()
	require.Eventually(t, func() bool {
		for range 20 { // in a row
			if !served() {
				return false
			}
		}
		return p.ready()
	}, 20*time.Second, 100*time.Millisecond, "it serves again")
}

// TestOverloadedNodeThatLosesStoreDoesNotServe guards against a node whose overload keeps it from new configurations, and which runs requests by
// an old one.
func TestOverloadedNodeThatLosesStoreDoesNotServe(t *testing.T) {
	f, get := runLimited(t, func(s *front.Settings) { s.ApplyMS = 500 })
	p := f.nodes[0]
	f.store.Outage(true)
	require.Eventually(t, func() bool { return p.logs.FilterMessage("store-lost").Len() > 0 }, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, get(), "the store is the reason")

	delayLink(t)
	require.Eventually(t, func() bool {
		get()
		return p.logs.FilterMessage("request").FilterField(zap.String("reason", "stale-config")).Len() > 0
	}, 20*time.Second, time.Millisecond)
}

// TestNodeWithFullLinkTurnsClientsAway guards against a node that takes on clients until its link is full of their requests, though nothing is late
// yet.
func TestNodeWithFullLinkTurnsClientsAway(t *testing.T) {
	f, get := runLimited(t, func(s *front.Settings) { s.LinkMbps = 0.1 })
	p := f.nodes[0]
	require.Eventually(t, func() bool {
		get()
		return !p.ready()
	}, 20*time.Second, time.Millisecond)
	require.NotZero(t, p.logs.FilterMessage("saturated").Len())
	require.Eventually(t, p.ready, 20*time.Second, 50*time.Millisecond, "its clients have gone")
}

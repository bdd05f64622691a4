package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/internal/front"
	"guavapaddle/internal/lag"
	"guavapaddle/platform/standin"
)

// recordRoundTrips records round trips to several peers that take so long, until stop is closed.
func recordRoundTrips(took time.Duration, stop <-chan struct{}) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		for peer := range 8 {
			lag.RecordRoundTrip(fmt.Sprint("peer-", peer), took)
		}
		select {
		case <-t.C:
		case <-stop:
			return
		}
	}
}

// TestNodeThatIsLateTurnsRequestsAway guards against a node that takes on all requests, however late it is, so that none is served in time.
func TestNodeThatIsLateTurnsRequestsAway(t *testing.T) {
	f := &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second, limited: true}
	f.run(1, configuration)
	f.waitForLeader()
	p, id := f.nodes[0], 0
	served := func() bool {
		id++
		status, _ := p.get(t, "/calls/x", fmt.Sprint(id), "")
		return status == http.StatusOK
	}
	require.Eventually(t, served, 10*time.Second, 10*time.Millisecond)

	now := make(chan struct{})
	close(now)
	recordRoundTrips(time.Millisecond, now)
	stop := make(chan struct{})
	go recordRoundTrips(time.Second, stop)
	t.Cleanup(func() {
		select {
		case <-stop:
		default:
			close(stop)
		}
	})
	require.Eventually(t, func() bool { return !served() }, 20*time.Second, time.Millisecond)
	require.NotZero(t, p.logs.FilterMessage("overloaded").Len())
	require.Eventually(t, func() bool { return !p.ready() }, 20*time.Second, 10*time.Millisecond, "rejecting doesn't help")
	close(stop)
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
	f := &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second, limited: true, adjust: func(s *front.Settings) { s.ApplyMS = 500 }}
	f.run(1, configuration)
	f.waitForLeader()
	p, id := f.nodes[0], 0
	get := func() int {
		id++
		status, _ := p.get(t, "/calls/x", fmt.Sprint(id), "")
		return status
	}
	require.Eventually(t, func() bool { return get() == http.StatusOK }, 10*time.Second, 10*time.Millisecond)
	f.store.Outage(true)
	require.Eventually(t, func() bool { return p.logs.FilterMessage("store-lost").Len() > 0 }, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, get(), "the store is the reason")

	now, stop := make(chan struct{}), make(chan struct{})
	close(now)
	recordRoundTrips(time.Millisecond, now)
	go recordRoundTrips(time.Second, stop)
	t.Cleanup(func() { close(stop) })
	require.Eventually(t, func() bool {
		get()
		return p.logs.FilterMessage("request").FilterField(zap.String("reason", "stale-config")).Len() > 0
	}, 20*time.Second, time.Millisecond)
}

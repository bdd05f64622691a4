package front_test

import (
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform/standin"
)

// TestNodeWithoutProcessorTimeTurnsRequestsAway guards against a node that takes on all requests, however late it is, so that none is served in time.
func TestNodeWithoutProcessorTimeTurnsRequestsAway(t *testing.T) {
	f := &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second, limited: true}
	f.run(1, configuration)
	f.waitForLeader()
	p := f.nodes[0]
	served := func(id int) bool {
		status, _ := p.get(t, "/calls/x", fmt.Sprint(id), "")
		return status == http.StatusOK
	}
	require.True(t, served(0))

	var stop atomic.Bool
	var busy sync.WaitGroup
	for range 60 * runtime.GOMAXPROCS(0) {
		busy.Go(func() {
			for !stop.Load() {
				_ = fmt.Sprint(stop.Load())
			}
		})
	}
	id := 0
	turnedAway := func() bool {
		id++
		return !served(id)
	}
	require.Eventually(t, turnedAway, 20*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return p.logs.FilterMessage("overloaded").Len() > 0 }, 20*time.Second, 10*time.Millisecond)
	stop.Store(true)
	busy.Wait()
	require.Eventually(t, func() bool {
		for range 20 { // in a row
			if id++; !served(id) {
				return false
			}
		}
		return true
	}, 10*time.Second, 100*time.Millisecond, "it serves again")
}

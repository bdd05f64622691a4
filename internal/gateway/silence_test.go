package gateway_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform/standin"
)

// checks records the servers whose paths a gateway has checked.
type checks struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (c *checks) add(_ context.Context, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = map[string]bool{}
	}
	c.seen[address] = true
}

func (c *checks) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.seen)
}

// startWatching starts a gateway that watches for silence and has requests at all servers.
func startWatching(t *testing.T, workers ...*standin.Worker) *checks {
	t.Helper()
	c := &checks{}
	r := newRig(t, workers...)
	r.gateway.CheckServer = c.add
	go r.gateway.WatchSilence(t.Context())
	for i := range 8 {
		go func() { r.do("GET", "/stream/x", string(rune('a'+i)), "") }()
		// Requests that begin at once may all choose the same server, as none of them is counted yet.
		require.Eventually(t, func() bool { return runs(workers) > i }, 5*time.Second, time.Millisecond)
	}
	for _, w := range workers {
		require.NotEmpty(t, w.Runs(), "each server has a request")
	}
	return c
}

// runs returns the number of requests that servers have run.
func runs(workers []*standin.Worker) int {
	n := 0
	for _, w := range workers {
		n += len(w.Runs())
	}
	return n
}

// TestSilentServersAreChecked guards against a node that goes on sending over connections that deliver nothing until all
// that were idle before are used up.
func TestSilentServersAreChecked(t *testing.T) {
	silent := func(id string) *standin.Worker {
		return (&standin.Worker{ID: id, Script: standin.Script{standin.Silent}}).Start(t)
	}
	c := startWatching(t, silent("i-1"), silent("i-2"))
	require.Eventually(t, func() bool { return c.count() == 2 }, 3*time.Second, 5*time.Millisecond)
}

func TestOneSilentServerIsNotChecked(t *testing.T) {
	silent := (&standin.Worker{ID: "i-1", Script: standin.Script{standin.Silent}}).Start(t)
	busy := (&standin.Worker{ID: "i-2", Stream: 60, Pause: 20 * time.Millisecond}).Start(t)
	c := startWatching(t, silent, busy)
	require.Never(t, func() bool { return c.count() > 0 }, 900*time.Millisecond, 20*time.Millisecond)
}

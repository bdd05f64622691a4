package session_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/session"
)

const (
	// stopWithin is the time the platform allows between SIGTERM and SIGKILL.
	stopWithin = 8 * time.Second
	// endedBySignal is the exit code of a process that received SIGTERM before it had
	// installed its signal handler.
	endedBySignal = -1
)

// TestInvariantStopRightAfterStart guards against nodes that never exit when SIGTERM arrives
// during startup.
func TestInvariantStopRightAfterStart(t *testing.T) {
	t.Parallel()
	const nodes, rounds = 4, 4
	s := session.New(t, session.SmallDocument(t, 2, 1), session.Options{})
	s.StartNodes(nodes)
	var wg sync.WaitGroup
	for i, n := range s.Nodes {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for range rounds {
				delay := time.Duration(random.Int64N(int64(100 * time.Millisecond)))
				n.RestartAndStop(delay)
				began := time.Now()
				code := n.Wait()
				if took := time.Since(began); took > stopWithin || code != 0 && code != endedBySignal {
					t.Errorf("%s, SIGTERM %v after its start: exit code %d after %v: %s", n.Name, delay, code, took, n.Log())
				}
			}
		})
	}
	wg.Wait()
	require.False(t, t.Failed())
}

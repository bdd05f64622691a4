package parts_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"guavapaddle/internal/parts"
)

func TestWaitReturnsWhenAllTasksHaveReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &parts.Group{Log: zap.NewNop()}
		require.NoError(t, g.Wait(time.Second), "no task was started")
		start := time.Now()
		for _, d := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second} {
			g.Go("same", func() { <-time.After(d) })
		}
		require.NoError(t, g.Wait(time.Minute))
		require.Equal(t, 3*time.Second, time.Since(start))
	})
}

// TestWaitNamesStuckTask guards against a process that does not exit after a planned
// stop and does not log which task is still running.
func TestWaitNamesStuckTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.ErrorLevel)
		g := &parts.Group{Log: zap.New(core)}
		release := make(chan struct{})
		g.Go("stuck", func() { <-release })
		g.Go("quick", func() {})
		began := time.Now()
		err := g.Wait(5 * time.Second)
		require.Equal(t, 5*time.Second, time.Since(began))
		var stuck *parts.StuckError
		require.ErrorAs(t, err, &stuck)
		require.Equal(t, []string{"stuck"}, stuck.Tasks)
		require.EqualError(t, err, "not ended within 5s: stuck")
		line := lines.FilterMessage("parts-not-ended").All()
		require.Len(t, line, 1)
		require.Contains(t, line[0].ContextMap()["stacks"], "TestWaitNamesStuckTask")
		close(release)
		require.NoError(t, g.Wait(time.Second))
	})
}

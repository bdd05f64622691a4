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

func TestWaitReturnsWhenAllHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &parts.Group{Log: zap.NewNop()}
		require.NoError(t, g.Wait(time.Second), "none was started")
		began := time.Now()
		for _, d := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second} {
			g.Go("same", func() { <-time.After(d) })
		}
		require.NoError(t, g.Wait(time.Minute))
		require.Equal(t, 3*time.Second, time.Since(began))
	})
}

// TestStuckPartIsNamed guards against a process that stays after its planned
// stop without saying why.
func TestStuckPartIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.ErrorLevel)
		g := &parts.Group{Log: zap.New(core)}
		free := make(chan struct{})
		g.Go("stuck", func() { <-free })
		g.Go("quick", func() {})
		began := time.Now()
		err := g.Wait(5 * time.Second)
		require.Equal(t, 5*time.Second, time.Since(began))
		var stuck *parts.StuckError
		require.ErrorAs(t, err, &stuck)
		require.Equal(t, []string{"stuck"}, stuck.Parts)
		require.EqualError(t, err, "not ended within 5s: stuck")
		line := lines.FilterMessage("parts-not-ended").All()
		require.Len(t, line, 1)
		require.Contains(t, line[0].ContextMap()["stacks"], "TestStuckPartIsNamed")
		close(free)
		require.NoError(t, g.Wait(time.Second))
	})
}

package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/clock"
)

func TestSleepStopsWhenContextIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, clock.Sleep(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, clock.Sleep(ctx, time.Hour))
		require.Equal(t, 2*time.Second, time.Since(start))
	})
}

// TestSleepWithoutDuration guards against a cancelled context that is noticed only by chance.
func TestSleepWithoutDuration(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, d := range []time.Duration{0, -time.Second} {
		require.True(t, clock.Sleep(ctx, d))
	}
	cancel()
	for range 100 {
		require.False(t, clock.Sleep(ctx, 0))
	}
}

func TestSinceBootIsMonotonic(t *testing.T) {
	last := clock.SinceBoot()
	for range 100 {
		now := clock.SinceBoot()
		require.GreaterOrEqual(t, now, last)
		last = now
	}
}

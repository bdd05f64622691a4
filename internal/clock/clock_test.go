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

func TestSinceBootIsMonotonic(t *testing.T) {
	last := clock.SinceBoot()
	for range 100 {
		now := clock.SinceBoot()
		require.GreaterOrEqual(t, now, last)
		last = now
	}
}

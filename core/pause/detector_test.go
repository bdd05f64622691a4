package pause_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/pause"
)

func TestGapsAreFound(t *testing.T) {
	t.Parallel()
	const (
		beat   = 25 * time.Millisecond
		maxGap = 250 * time.Millisecond
	)
	for _, x := range []struct {
		name       string
		gap        time.Duration // after the first beats
		sinceAfter time.Duration // after the gap
	}{
		{"none", beat, 0},
		{"a short one", maxGap, 0},
		{"a long one", maxGap + 1, 10*beat + maxGap + 1},
		{"a very long one", time.Hour, 10*beat + time.Hour},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			d := pause.Detector{MaxGap: maxGap}
			require.Zero(t, d.RunningSince(time.Hour), "without a beat")
			now := beat
			for range 10 {
				require.Zero(t, d.Beat(now))
				require.Zero(t, d.RunningSince(now))
				now += beat
			}
			now += x.gap - beat
			require.Equal(t, x.sinceAfter, d.RunningSince(now), "before the next beat")
			if gap := d.Beat(now); x.sinceAfter == 0 {
				require.Zero(t, gap)
			} else {
				require.Equal(t, x.gap, gap)
			}
			require.Equal(t, x.sinceAfter, d.RunningSince(now+beat))
		})
	}
}

package residency_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/residency"
)

func TestPerTokenEstimatesSlotTimeByModel(t *testing.T) {
	var s residency.SlotTimes
	require.InDelta(t, 1.3e-3, s.PerToken("m"), 1e-9, "no stream has completed yet")
	for range 200 {
		s.Add("large", 1000, 2*time.Second)
		s.Add("small", 1000, 1700*time.Millisecond) // its prefill takes a third of the time
	}
	require.InDelta(t, 2.0e-3, s.PerToken("large"), 0.05e-3)
	require.InDelta(t, 1.7e-3, s.PerToken("small"), 0.05e-3)
	require.InDelta(t, 1.85e-3, s.PerToken("rare"), 0.05e-3, "a model without completed streams gets the mean of all models")
	s.Add("empty", 0, time.Second)
	require.InDelta(t, s.PerToken("rare"), s.PerToken("empty"), 1e-9)
}

func TestSlotTimesAdaptToChange(t *testing.T) {
	var s residency.SlotTimes
	for range 100 {
		s.Add("m", 1000, time.Second)
	}
	for range 30 {
		s.Decay(time.Second)
		s.Add("m", 20000, 60*time.Second)
	}
	require.InDelta(t, 3e-3, s.PerToken("m"), 0.2e-3)
}

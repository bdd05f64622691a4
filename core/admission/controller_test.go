package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/admission"
)

const target = 10 * time.Millisecond

// TestProbabilityRisesAndFallsWithDelay plays a step of the delay and its end.
func TestProbabilityRisesAndFallsWithDelay(t *testing.T) {
	c := admission.Controller{Target: target}
	for range 40 {
		c.Observe(target / 3)
	}
	require.Zero(t, c.Probability())
	for range 40 {
		c.Observe(20 * target)
	}
	require.Greater(t, c.Probability(), 0.9)
	require.Less(t, c.Probability(), 1.0, "some requests show the end of the overload")
	for range 80 {
		c.Observe(0)
	}
	require.Less(t, c.Probability(), 0.1)
}

func TestSingleLongDelayRejectsLittle(t *testing.T) {
	c := admission.Controller{Target: target}
	c.Observe(time.Hour)
	c.Observe(0)
	require.Less(t, c.Probability(), 0.1)
}

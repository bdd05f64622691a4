package bound_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/internal/testbed/bound"
	"guavapaddle/internal/testbed/workload"
)

// smallDeployment returns a deployment of one engine with two slots and steps of 10 ms.
func smallDeployment() workload.Deployment {
	return workload.Deployment{Engines: 1, Slots: 2, Step: 10 * time.Millisecond}
}

func arrival(number int, at time.Duration, u config.Urgency, tokens int, deadline time.Duration) workload.Arrival {
	kind := config.Kind{Name: string(u), Urgency: u, Value: 1, DeadlineMS: deadline.Milliseconds()}
	return workload.Arrival{At: at, Index: number, Tokens: tokens, Mix: workload.Mix{Kind: kind}}
}

func TestRun(t *testing.T) {
	s := time.Second
	tests := []struct {
		name     string
		arrivals []workload.Arrival
		want     []bool
	}{
		{"enough slots", []workload.Arrival{
			arrival(0, 0, config.Normal, 100, s), arrival(1, 0, config.Normal, 100, s),
		}, []bool{true, true}},
		{"the third is late", []workload.Arrival{
			arrival(0, 0, config.Normal, 100, s), arrival(1, 0, config.Normal, 100, s), arrival(2, 0, config.Normal, 100, s),
		}, []bool{true, true, false}},
		{"urgent work preempts deferrable work, which resumes", []workload.Arrival{
			arrival(0, 0, config.Deferrable, 100, 3*s), arrival(1, 0, config.Deferrable, 100, 3*s),
			arrival(2, s/2, config.Urgent, 100, s), arrival(3, s/2, config.Urgent, 100, s),
		}, []bool{true, true, true, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, bound.Run(smallDeployment(), tt.arrivals))
		})
	}
}

func TestAttainmentFallsWithLoad(t *testing.T) {
	share := func(load float64) float64 {
		as := workload.Generate(workload.Settings{Deployment: workload.Corella(), Load: load, Duration: 60 * time.Second}, 1)
		n := 0
		for _, met := range bound.Run(workload.Corella(), as) {
			if met {
				n++
			}
		}
		return float64(n) / float64(len(as))
	}
	low, high, over := share(0.4), share(0.9), share(1.5)
	require.Greater(t, low, 0.99)
	require.GreaterOrEqual(t, low, high)
	require.Less(t, over, 0.9)
	require.Greater(t, over, 0.6)
	t.Logf("met at 0.4: %.3f, at 0.9: %.3f, at 1.5: %.3f", low, high, over)
}

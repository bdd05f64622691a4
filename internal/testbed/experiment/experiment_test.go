package experiment_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/experiment"
	"guavapaddle/internal/testbed/workload"
)

func TestMain(m *testing.M) {
	experiment.RunNode()
	os.Exit(m.Run())
}

// smallRun returns the settings of a short run of a quarter of Corella under light load.
func smallRun(fault string) experiment.Settings {
	return experiment.Settings{
		Deployment: workload.Corella().Scaled(0.25), Nodes: 3, Load: 0.2, Duration: 2 * time.Second,
		WarmUp: time.Second, Fault: fault,
	}
}

// TestRun checks that every request of a run has a result and that no response belongs
// to another request, with and without the loss of a node. It does not check the
// attainment, which depends on the load of the machine.
func TestRun(t *testing.T) {
	for _, fault := range []string{"", experiment.NodeLoss} {
		t.Run("fault "+fault, func(t *testing.T) {
			set := smallRun(fault)
			arrivals := workload.Generate(workload.Settings{Deployment: set.Deployment, Load: set.Load, Duration: set.Duration}, 1)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			s, err := set.Run(ctx)
			require.NoError(t, err)
			require.Equal(t, len(arrivals), s.All.Offered)
			require.Zero(t, s.All.Wrong, "responses that differ from the expected one")
			require.Positive(t, s.All.Met)
			require.Equal(t, 3, s.Meta.Accelerators)
			ended := s.All.Done
			for _, n := range s.Reasons {
				ended += n
			}
			require.Equal(t, s.All.Offered, ended, "%v", s.Reasons)
		})
	}
}

// TestSettingsAreChecked checks that unknown policies, planners and faults are rejected.
func TestSettingsAreChecked(t *testing.T) {
	for _, set := range []experiment.Settings{
		{Deployment: workload.Corella(), Policy: "nonsense"},
		{Deployment: workload.Corella(), Planner: "nonsense"},
		{Deployment: workload.Corella(), Fault: "nonsense"},
	} {
		_, err := set.Run(context.Background())
		var setting *experiment.SettingError
		require.ErrorAs(t, err, &setting)
	}
}

// TestPlannerOf checks that the baseline policies select their own planners.
func TestPlannerOf(t *testing.T) {
	require.Equal(t, "lru", experiment.PlannerOf("round-robin"))
	require.Equal(t, "static", experiment.PlannerOf("static"))
	require.Equal(t, "gain", experiment.PlannerOf("home"))
}

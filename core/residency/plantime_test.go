package residency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/residency"
	"guavapaddle/internal/testbed/cputime"
)

// fullEngines returns an input with more declared models than places, all engines full, and
// a tenth of the models requested.
func fullEngines(servers, models int) residency.Input {
	in := residency.Input{Engine: engine(models), Load: map[string]float64{}, Waiting: map[string]int{}, StoreLoads: 5}
	for i := range servers {
		held := []string{}
		for j := range 3 {
			held = append(held, fmt.Sprintf("m%d", (3*i+j)%models))
		}
		in.Servers = append(in.Servers, server(fmt.Sprintf("s%03d", i), held...))
	}
	for i := range models / 10 {
		in.Load[fmt.Sprintf("m%d", 10*i)] = 1
		in.Waiting[fmt.Sprintf("m%d", 10*i)] = 1
	}
	return in
}

// minPlanTime returns the minimum processor time of several plans.
func minPlanTime(in residency.Input) time.Duration {
	return cputime.Min(20, func() { residency.Plan(in) })
}

// TestPlanTimeGrowsLinearlyWithModels plans for few engines and many models without a copy.
// Sorting those models and searching the largest adapter again for each of them made a plan
// take 150 ms, during which the nodes waited for the leader.
func TestPlanTimeGrowsLinearlyWithModels(t *testing.T) {
	const factor = 10
	few, many := minPlanTime(fullEngines(14, 200)), minPlanTime(fullEngines(14, 200*factor))
	require.Less(t, many, 3*factor*few, "planning time with ten times the models is %v, with the base number %v", many, few)
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ servers, models int }{{14, 471}, {256, 471}, {600, 1200}, {4000, 471}, {8000, 471}} {
		b.Run(fmt.Sprintf("%d-engines-%d-models", size.servers, size.models), func(b *testing.B) {
			in := fullEngines(size.servers, size.models)
			for b.Loop() {
				residency.Plan(in)
			}
		})
	}
}

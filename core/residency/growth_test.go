package residency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/residency"
	"guavapaddle/internal/testbed/cputime"
)

// crowd returns the input of a plan for engines that are full of models, with more
// models declared than there are places, a tenth of them asked for.
func crowd(servers, models int) residency.Input {
	in := residency.Input{Engine: engine(models), Load: map[string]float64{}, Waiting: map[string]int{}, Stores: 5}
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

// fastest returns the least processor time of several plans.
func fastest(in residency.Input) time.Duration {
	return cputime.Least(20, func() { residency.Plan(in) })
}

// TestThePlanGrowsWithTheModels plays few engines and many models without a copy, for
// which a plan took 150 ms that reckoned the order of those models, and the largest
// adapter, anew for each of them: nodes waited for the holder as long.
func TestThePlanGrowsWithTheModels(t *testing.T) {
	const times = 10
	few, many := fastest(crowd(14, 200)), fastest(crowd(14, 200*times))
	require.Less(t, many, 3*times*few, "ten times the models take %v, not %v", many, few)
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ servers, models int }{{14, 471}, {256, 471}, {600, 1200}} {
		b.Run(fmt.Sprintf("%d-engines-%d-models", size.servers, size.models), func(b *testing.B) {
			in := crowd(size.servers, size.models)
			for b.Loop() {
				residency.Plan(in)
			}
		})
	}
}

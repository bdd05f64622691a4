package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/retry"
)

// TestNodesStayWithinServiceBudget lets each node retry as often as its budget
// allows and counts the retries of all nodes in each window.
func TestNodesStayWithinServiceBudget(t *testing.T) {
	f := retry.ServiceBudget{Ratio: 0.2, Extra: 170, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	for _, x := range []struct{ nodes, perSecond int }{{8, 0}, {65, 0}, {65, 100}, {65, 700}, {85, 50}, {130, 100}} {
		budgets := make([]retry.Budget, x.nodes)
		for i := range budgets {
			f.Apply(&budgets[i], x.nodes)
		}
		retries := make([]int, 60) // per second
		requests := 0
		for second := range retries {
			for range x.perSecond {
				budgets[requests%x.nodes].Success()
				requests++
			}
			for i := range budgets {
				for budgets[i].Take(start.Add(time.Duration(second) * time.Second)) {
					retries[second]++
				}
			}
		}
		for i := 10; i <= len(retries); i++ {
			sum := 0
			for _, n := range retries[i-10 : i] {
				sum += n
			}
			require.LessOrEqual(t, float64(sum), 0.2*float64(10*x.perSecond)+170, "%d nodes, %d requests per second", x.nodes, x.perSecond)
		}
	}
}

func TestUnknownNodeCountGivesSmallBudget(t *testing.T) {
	f := retry.ServiceBudget{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	var unknown, eight retry.Budget
	f.Apply(&unknown, 0)
	f.Apply(&eight, 8)
	require.Less(t, unknown.Burst, eight.Burst)
	require.InDelta(t, 4, eight.Burst, 0.1)
	require.InDelta(t, 0.2, eight.PerSecond, 0.02)
	require.InDelta(t, 0.15, eight.PerSuccess, 1e-9)
}

package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/retry"
)

// TestAFleetStaysWithinWhatAServiceBears lets each node repeat as often as its
// budget allows, and counts the repeats in each window.
func TestAFleetStaysWithinWhatAServiceBears(t *testing.T) {
	f := retry.Fleet{Ratio: 0.2, Extra: 170, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	for _, x := range []struct{ nodes, perSecond int }{{8, 0}, {65, 0}, {65, 100}, {65, 700}, {85, 50}, {130, 100}} {
		budgets := make([]retry.Budget, x.nodes)
		for i := range budgets {
			f.Part(&budgets[i], x.nodes)
		}
		repeats := make([]int, 60) // in each second
		requests := 0
		for second := range repeats {
			for range x.perSecond {
				budgets[requests%x.nodes].Success()
				requests++
			}
			for i := range budgets {
				for budgets[i].Take(start.Add(time.Duration(second) * time.Second)) {
					repeats[second]++
				}
			}
		}
		for i := 10; i <= len(repeats); i++ {
			sum := 0
			for _, n := range repeats[i-10 : i] {
				sum += n
			}
			require.LessOrEqual(t, float64(sum), 0.2*float64(10*x.perSecond)+170, "%d nodes, %d requests a second", x.nodes, x.perSecond)
		}
	}
}

func TestANodeThatDoesNotKnowTheFleetTakesASmallPart(t *testing.T) {
	f := retry.Fleet{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	var unknown, eight retry.Budget
	f.Part(&unknown, 0)
	f.Part(&eight, 8)
	require.Less(t, unknown.Burst, eight.Burst)
	require.InDelta(t, 4, eight.Burst, 0.1)
	require.InDelta(t, 0.2, eight.Floor, 0.02)
	require.InDelta(t, 0.15, eight.Share, 1e-9)
}

package cputime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/cputime"
)

func TestOfExcludesWaiting(t *testing.T) {
	const wait = 50 * time.Millisecond
	require.Less(t, cputime.Of(func() { <-time.After(wait) }), wait/2)
}

func TestMinGrowsWithWork(t *testing.T) {
	work := func(rounds int) func() {
		return func() {
			sum := 0
			for i := range rounds {
				sum += i * i % 7
			}
			require.Positive(t, sum)
		}
	}
	require.Less(t, cputime.Min(5, work(1e5)), cputime.Min(5, work(1e7)))
}

package deputy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/deputy"
)

const never = time.Hour

var start = time.Unix(1000, 0)

func candidates(ages map[string]time.Duration) []deputy.Candidate {
	var out []deputy.Candidate
	for n, a := range ages {
		out = append(out, deputy.Candidate{Node: n, Age: a})
	}
	return out
}

func TestDeputyStaysWhileStoreAnswers(t *testing.T) {
	var c deputy.Selector
	first := c.Select(start, candidates(map[string]time.Duration{"a": never, "b": never, "c": never}))
	require.NotEmpty(t, first)
	ages := map[string]time.Duration{"a": never, "b": never, "c": never}
	for i := range 50 {
		ages[first] = 700 * time.Millisecond
		require.Equal(t, first, c.Select(start.Add(time.Duration(i)*time.Second), candidates(ages)))
	}
}

func TestDeputyWithoutStoreIsReplaced(t *testing.T) {
	var c deputy.Selector
	ages := map[string]time.Duration{"a": never, "b": never, "c": never}
	first := c.Select(start, candidates(ages))
	require.Equal(t, first, c.Select(start.Add(time.Second), candidates(ages)), "it has just been selected")
	second := c.Select(start.Add(3*time.Second), candidates(ages))
	require.NotEqual(t, first, second)
}

func TestNodeThatStoreAnswersIsPreferred(t *testing.T) {
	var c deputy.Selector
	ages := map[string]time.Duration{"a": never, "b": never, "c": never, "d": never}
	first := c.Select(start, candidates(ages))
	for n := range ages {
		if n != first {
			ages[n] = time.Second
			require.Equal(t, n, c.Select(start.Add(3*time.Second), candidates(ages)))
			break
		}
	}
}

func TestLostDeputyIsReplaced(t *testing.T) {
	var c deputy.Selector
	require.Empty(t, c.Select(start, nil))
	require.Equal(t, "a", c.Select(start, candidates(map[string]time.Duration{"a": never})))
	require.Equal(t, "b", c.Select(start, candidates(map[string]time.Duration{"b": never})))
	require.Equal(t, "b", c.Select(start.Add(time.Minute), candidates(map[string]time.Duration{"b": never})), "there is no other")
}

// TestDeputyIsAsLargeAsOthers guards against a small deputy, which couldn't do the leader's work
// while there is no leader.
func TestDeputyIsAsLargeAsOthers(t *testing.T) {
	var c deputy.Selector
	var candidates []deputy.Candidate
	for i := range 100 {
		candidates = append(candidates, deputy.Candidate{Node: fmt.Sprint("small-", i), Cores: 0.192})
	}
	require.Contains(t, c.Select(start, candidates), "small", "there is no larger node yet")
	candidates = append(candidates, deputy.Candidate{Node: "large", Cores: 0.8})
	require.Equal(t, "large", c.Select(start, candidates))
}

package workload_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/testbed/workload"
)

func settings(d workload.Deployment) workload.Settings {
	return workload.Settings{Deployment: d, Load: 0.8, Duration: 200 * time.Second}
}

// TestGenerate checks that arrivals are reproducible from their seed, sorted, and match
// the requested load and the shares of the kinds.
func TestGenerate(t *testing.T) {
	for _, d := range []workload.Deployment{workload.Corella(), workload.Kabinaki()} {
		t.Run(d.Name, func(t *testing.T) {
			arrivals := workload.Generate(settings(d), 7)
			require.Equal(t, arrivals, workload.Generate(settings(d), 7))
			require.NotEqual(t, arrivals, workload.Generate(settings(d), 8))
			var work float64
			kinds := map[string]int{}
			for i, a := range arrivals {
				work += d.ServiceTime(a.Tokens, 24)
				kinds[a.Mix.Name]++
				require.Equal(t, i, a.Index)
				require.Less(t, a.At, 200*time.Second)
				if i > 0 {
					require.GreaterOrEqual(t, a.At, arrivals[i-1].At)
				}
			}
			require.InDelta(t, 0.8, work/200/float64(d.Engines*d.Slots), 0.03)
			for _, m := range d.Mixes {
				require.InDelta(t, m.Share, float64(kinds[m.Name])/float64(len(arrivals)), 0.02)
			}
		})
	}
}

// TestBurstsChangeTheRateOfItems checks that the rates of more than ten items vary at
// least fivefold between periods of 5 s.
func TestBurstsChangeTheRateOfItems(t *testing.T) {
	s := settings(workload.Corella())
	s.MeanOn, s.MeanOff = 20*time.Second, 60*time.Second
	counts := map[string][]int{}
	for _, a := range workload.Generate(s, 3) {
		if counts[a.Model] == nil {
			counts[a.Model] = make([]int, 40)
		}
		counts[a.Model][a.At/(5*time.Second)]++
	}
	bursty := 0
	for _, itemCounts := range counts {
		minCount, maxCount := 1<<30, 0
		for _, n := range itemCounts {
			minCount, maxCount = min(minCount, n), max(maxCount, n)
		}
		if maxCount >= 5*max(1, minCount) {
			bursty++
		}
	}
	require.Greater(t, bursty, 10)
}

func TestShiftChangesThePopularModel(t *testing.T) {
	s := settings(workload.Corella())
	s.Shift, s.BurstFactor = 100*time.Second, 1
	before, after := map[string]int{}, map[string]int{}
	for _, a := range workload.Generate(s, 3) {
		if a.At < s.Shift {
			before[a.Model]++
		} else {
			after[a.Model]++
		}
	}
	top := func(m map[string]int) string {
		best := ""
		for name, n := range m {
			if strings.HasPrefix(name, "model") && (best == "" || n > m[best] || n == m[best] && name < best) {
				best = name
			}
		}
		return best
	}
	require.NotEqual(t, top(before), top(after))
}

func TestPromptsShareTheirPrefix(t *testing.T) {
	a := workload.Arrival{Model: "m", Prefix: 1, Index: 1, Team: "c"}
	b := workload.Arrival{Model: "m", Prefix: 1, Index: 2, Team: "c"}
	c := workload.Arrival{Model: "m", Prefix: 2, Index: 1, Team: "c"}
	require.Equal(t, a.Prompt()[:1024], b.Prompt()[:1024])
	require.NotEqual(t, a.Prompt(), b.Prompt())
	require.NotEqual(t, a.Prompt()[:1024], c.Prompt()[:1024])
}

func TestDocumentIsValid(t *testing.T) {
	for _, d := range []workload.Deployment{workload.Corella(), workload.Kabinaki()} {
		engines := make([]string, d.Engines)
		for i := range engines {
			engines[i] = fmt.Sprintf("127.0.0.1:%d", 9000+i)
		}
		doc := d.Document(engines)
		require.Empty(t, doc.Validate())
		require.Len(t, doc.Servers, d.Engines)
	}
}

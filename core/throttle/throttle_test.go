package throttle_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/throttle"
)

var start = time.Unix(1000, 0)

// at returns the time ms milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestOnlyAnswerToLaterRequestWithdrawsRate(t *testing.T) {
	for name, x := range map[string]struct {
		limits  []throttle.Limit
		active  bool
		rate    float64
		changes int
	}{
		"none":                {[]throttle.Limit{throttle.NoLimit(at(1))}, false, 0, 0},
		"named":               {[]throttle.Limit{throttle.NewLimit(at(1), 2)}, true, 2, 1},
		"named again":         {[]throttle.Limit{throttle.NewLimit(at(1), 2), throttle.NewLimit(at(2), 2)}, true, 2, 1},
		"another rate":        {[]throttle.Limit{throttle.NewLimit(at(1), 2), throttle.NewLimit(at(2), 3)}, true, 3, 2},
		"withdrawn":           {[]throttle.Limit{throttle.NewLimit(at(1), 2), throttle.NoLimit(at(2))}, false, 0, 2},
		"request sent before": {[]throttle.Limit{throttle.NewLimit(at(5), 2), throttle.NoLimit(at(4))}, true, 2, 1},
		"older rate":          {[]throttle.Limit{throttle.NewLimit(at(5), 2), throttle.NewLimit(at(4), 9)}, true, 2, 1},
		"named once more":     {[]throttle.Limit{throttle.NewLimit(at(1), 2), throttle.NoLimit(at(2)), throttle.NewLimit(at(3), 2)}, true, 2, 3},
		"zero is a rate":      {[]throttle.Limit{throttle.NewLimit(at(1), 0)}, true, 0, 1},
		"withdrawn, before":   {[]throttle.Limit{throttle.NewLimit(at(3), 2), throttle.NoLimit(at(4)), throttle.NewLimit(at(2), 5)}, false, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var v throttle.Throttle
			changes := 0
			for _, l := range x.limits {
				if v.Learn(l) {
					changes++
				}
			}
			require.Equal(t, x.active, v.Limit().Active)
			if x.active {
				require.InDelta(t, x.rate, v.Limit().Rate, 0)
			}
			require.Equal(t, x.changes, changes)
		})
	}
}

const span = 4 * time.Second

// maxInSpan returns the largest number of times within any span. The times must be sorted.
func maxInSpan(times []time.Time) int {
	n := 0
	for i, first := range times {
		j := i
		for j < len(times) && times[j].Sub(first) < span {
			j++
		}
		n = max(n, j-i)
	}
	return n
}

// sendScheduled returns a limited throttle and the times at which a scheduler under unlimited load
// sends requests by it, over duration milliseconds.
func sendScheduled(perSecond float64, duration int) (throttle.Throttle, []time.Time) {
	v := throttle.New(0)
	v.Learn(throttle.NewLimit(start, perSecond))
	var sent []time.Time
	for ms := range duration {
		if now := at(ms); v.GlobalWait(now) == 0 {
			v.Record(now)
			sent = append(sent, now)
		}
	}
	return v, sent
}

func TestSchedulerKeepsToTheRate(t *testing.T) {
	for _, perSecond := range []float64{0, 0.3, 1.3, 2.1, 20} {
		v, sent := sendScheduled(perSecond, 60_000)
		require.LessOrEqual(t, float64(maxInSpan(sent)), v.Rate()*span.Seconds()+3, "rate %v", perSecond)
		require.GreaterOrEqual(t, float64(len(sent)), v.Rate()*60-2, "rate %v", perSecond)
	}
}

func TestGlobalWaitIsTimeUntilRequestFits(t *testing.T) {
	v := throttle.New(0)
	require.Zero(t, v.GlobalWait(start))
	v.Learn(throttle.NewLimit(start, 2))
	require.Equal(t, 500*time.Millisecond, v.GlobalWait(start), "other nodes may have just sent requests")
	for range 2 {
		require.Zero(t, v.GlobalWait(at(1000)))
		v.Record(at(1000))
	}
	require.Equal(t, 500*time.Millisecond, v.GlobalWait(at(1000)))
	require.Zero(t, v.GlobalWait(at(1500)))
	v.Learn(throttle.NoLimit(at(1)))
	require.Zero(t, v.GlobalWait(at(1)))
}

// TestNodesKeepToTheRateTogether has nodes that have long been idle send as much as they may, right
// after a scheduler has used the whole rate.
func TestNodesKeepToTheRateTogether(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		nodes := []int{1, 3, 8, 80, 300}[seed%5]
		perSecond := 0.5 + 4*rng.Float64()
		sent := sendScheduledThenLocal(rng, nodes, perSecond)
		require.LessOrEqual(t, float64(maxInSpan(sent)), 1.5*perSecond*span.Seconds()+5, "seed %d: %d nodes, rate %v", seed, nodes, perSecond)
	}
}

// TestRatesBelowMinimumKeepTheBound guards against servers that name a rate below the minimum in
// use, or zero, and then get more requests than they accept.
func TestRatesBelowMinimumKeepTheBound(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 3))
		nodes := []int{1, 3, 8, 80, 300}[seed%5]
		perSecond := []float64{0, 0.05, 0.1, 0.2}[seed/5%4]
		sent := sendScheduledThenLocal(rng, nodes, perSecond)
		require.LessOrEqual(t, float64(maxInSpan(sent)), 1.5*perSecond*span.Seconds()+5, "seed %d: %d nodes, rate %v", seed, nodes, perSecond)
	}
}

// sendScheduledThenLocal returns the times of the requests that a scheduler sends in 8 s and of
// those that nodes send on their own in the following 12 s.
func sendScheduledThenLocal(rng *rand.Rand, nodes int, perSecond float64) []time.Time {
	share := throttle.Share{Nodes: nodes, Fraction: 0.5}
	_, sent := sendScheduled(perSecond, 8_000)
	all := make([]throttle.Throttle, nodes)
	for i := range all {
		all[i] = throttle.New(rng.Float64())
		all[i].Learn(throttle.NewLimit(start, perSecond))
	}
	for ms := 8_000; ms < 20_000; ms += 5 {
		for i := range all {
			if now := at(ms); all[i].LocalWait(now, share) == 0 {
				all[i].Record(now)
				sent = append(sent, now)
			}
		}
	}
	return sent
}

func TestLocalWaitIsTimeUntilWindow(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 2))
		v := throttle.New(rng.Float64())
		v.Learn(throttle.NewLimit(start, 1+rng.Float64()))
		share := throttle.Share{Nodes: 1 + rng.IntN(9), Fraction: 0.5}
		now := at(rng.IntN(10_000))
		for range 5 {
			now = now.Add(v.LocalWait(now, share) + time.Microsecond)
			require.Zero(t, v.LocalWait(now, share), "seed %d", seed)
			v.Record(now)
			require.Positive(t, v.LocalWait(now, share), "seed %d", seed)
		}
	}
}

package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/config"
	"guavapaddle/core/limit"
)

var (
	start      = time.UnixMilli(1_800_000_000_000)
	urgent     = config.Kind{Name: "live", Urgency: config.Urgent}
	normal     = config.Kind{Name: "desk", Urgency: config.Normal}
	deferrable = config.Kind{Name: "batch", Urgency: config.Deferrable}
)

func team(name string, weight float64) config.Team {
	return config.Team{Name: name, Weight: weight}
}

// simulate runs teams that send requests of the given cost at their rates, in
// units per second, for a number of seconds. It returns the units admitted for
// each team.
func simulate(p limit.Policy, seconds int, cost float64, kind config.Kind, rates map[string]float64, weights map[string]float64) map[string]float64 {
	r := rand.New(rand.NewPCG(1, 1))
	got := map[string]float64{}
	const tick = 10 * time.Millisecond
	for now := start; now.Before(start.Add(time.Duration(seconds) * time.Second)); now = now.Add(tick) {
		for _, name := range []string{"a", "b", "c"} {
			want := rates[name] * tick.Seconds() / cost
			n := int(want)
			if r.Float64() < want-float64(n) {
				n++
			}
			for range n {
				if res, ok, _ := p.Admit(now, team(name, weights[name]), kind, cost); ok {
					p.Settle(now, res, cost)
					got[name] += cost
				}
			}
		}
	}
	return got
}

func TestShares(t *testing.T) {
	const seconds, capacity = 120, 100.0
	for name, c := range map[string]struct {
		rates, weights, want map[string]float64 // units per second
	}{
		"no limit below capacity": {
			map[string]float64{"a": 80, "b": 5}, map[string]float64{"a": 1, "b": 9}, map[string]float64{"a": 80, "b": 5}},
		"equal weights get equal shares": {
			map[string]float64{"a": 500, "b": 500}, map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 50, "b": 50}},
		"shares follow weights": {
			map[string]float64{"a": 500, "b": 500}, map[string]float64{"a": 3, "b": 1}, map[string]float64{"a": 75, "b": 25}},
		"unused share is divided among the others": {
			map[string]float64{"a": 500, "b": 500, "c": 10}, map[string]float64{"a": 1, "b": 1, "c": 2}, map[string]float64{"a": 45, "b": 45, "c": 10}},
		"burst of one team does not affect others": {
			map[string]float64{"a": 5000, "b": 30}, map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 70, "b": 30}},
	} {
		for policy, p := range map[string]limit.Policy{
			"cost":     limit.NewByCost(limit.Settings{Capacity: capacity, NormalFraction: 1}),
			"requests": limit.NewByRequests(limit.Settings{Capacity: capacity, NormalFraction: 1}),
		} {
			t.Run(name+" by "+policy, func(t *testing.T) {
				got := simulate(p, seconds, 1, normal, c.rates, c.weights)
				for who, want := range c.want {
					// The capacity of one window is used up at the start.
					require.InDelta(t, want, got[who]/seconds, want*0.12+1, who)
				}
			})
		}
	}
}

// TestCostCountsFanOut is the example of the paper cited in the package comment:
// ByCost refuses a small request with a high cost and ByRequests admits it.
func TestCostCountsFanOut(t *testing.T) {
	const window = 10.0
	cost := limit.NewByCost(limit.Settings{Capacity: 100 / window, NormalFraction: 1})
	count := limit.NewByRequests(limit.Settings{Capacity: 100 / window, NormalFraction: 1})
	c := team("northstar", 1)
	r, ok, _ := cost.Admit(start, c, normal, 40)
	require.True(t, ok)
	cost.Settle(start, r, 40)
	large, ok, _ := cost.Admit(start, c, normal, 30)
	require.True(t, ok)
	_, ok, after := cost.Admit(start, c, normal, 36)
	require.False(t, ok, "40 units settled and 30 reserved leave 30")
	require.Greater(t, after, time.Duration(0))
	cost.Settle(start, large, 24)
	small, ok, _ := cost.Admit(start, c, normal, 36)
	require.True(t, ok, "settling 24 units instead of 30 leaves 36")

	cost.Settle(start, large, 24)
	cost.Settle(start, large, -1000)
	_, ok, _ = cost.Admit(start, c, normal, 1)
	require.False(t, ok, "a reservation must be settled only once")
	cost.Settle(start, small, 72)
	_, ok, _ = cost.Admit(start, c, normal, 1)
	require.False(t, ok, "a cost above the estimate must be counted")
	for _, estimate := range []float64{40, 30, 36} {
		_, ok, _ = count.Admit(start, c, normal, estimate)
		require.True(t, ok)
	}
}

// TestUnsettledStaysReserved checks that the passing of time does not release
// units that aren't known to be unused.
func TestUnsettledStaysReserved(t *testing.T) {
	p := limit.NewByCost(limit.Settings{Capacity: 10, NormalFraction: 1})
	r, ok, _ := p.Admit(start, team("a", 1), normal, 100)
	require.True(t, ok)
	_, ok, _ = p.Admit(start.Add(24*time.Hour), team("a", 1), normal, 10)
	require.False(t, ok)
	require.Equal(t, 1, p.Unsettled())
	p.Settle(start.Add(24*time.Hour), r, 0)
	_, ok, _ = p.Admit(start.Add(24*time.Hour), team("a", 1), normal, 10)
	require.True(t, ok)
}

func TestCapacityReservedForUrgent(t *testing.T) {
	p := limit.NewByRequests(limit.Settings{Capacity: 100})
	got := simulate(p, 60, 1, deferrable, map[string]float64{"a": 1000}, nil)
	require.InDelta(t, 80, got["a"]/60, 15)
	end := start.Add(time.Minute)
	for range 1000 {
		p.Admit(end, team("a", 1), deferrable, 1)
	}
	_, ok, _ := p.Admit(end, team("a", 1), deferrable, 1)
	require.False(t, ok)
	for range 100 {
		_, ok, _ = p.Admit(end, team("a", 1), urgent, 1)
		require.True(t, ok)
	}
}

func TestRetryAfterIsAccurate(t *testing.T) {
	p := limit.NewByCost(limit.Settings{Capacity: 100, NormalFraction: 1})
	c := team("a", 1)
	now := start
	for range 200 {
		if r, ok, _ := p.Admit(now, c, normal, 10); ok {
			p.Settle(now, r, 10)
		}
	}
	_, ok, after := p.Admit(now, c, normal, 200)
	require.False(t, ok)
	require.GreaterOrEqual(t, after, limit.MinRetryAfter)
	require.LessOrEqual(t, after, limit.MaxRetryAfter)
	_, ok, _ = p.Admit(now.Add(after*9/10), c, normal, 200)
	require.False(t, ok, "the delay must not be much too long")
	_, ok, _ = p.Admit(now.Add(after+time.Millisecond), c, normal, 200)
	require.True(t, ok)
}

func TestRules(t *testing.T) {
	p := limit.NewByRequests(limit.Settings{Rules: []limit.Rule{
		{Team: "*", Kind: "batch", Rate: 2},
		{Team: "a", Kind: "*", Rate: 5},
	}})
	admitted := func(name string, k config.Kind) int {
		n := 0
		for range 1000 {
			if r, ok, _ := p.Admit(start, team(name, 1), k, 1); ok {
				p.Settle(start, r, 1)
				n++
			}
		}
		return n
	}
	require.Equal(t, 20, admitted("b", deferrable), "two per second over ten seconds")
	require.Equal(t, 20, admitted("c", deferrable), "each team is counted separately")
	require.Equal(t, 1000, admitted("b", normal))
	require.Equal(t, 20, admitted("a", deferrable))
	require.Equal(t, 30, admitted("a", normal), "all kinds are counted together")
}

// TestLargeRequestIsNotLockedOut checks that a request above its team's whole
// share is admitted while the team has no other usage.
func TestLargeRequestIsNotLockedOut(t *testing.T) {
	p := limit.NewByCost(limit.Settings{Capacity: 1})
	_, ok, _ := p.Admit(start, team("a", 1), normal, 500)
	require.True(t, ok)
	_, ok, _ = p.Admit(start, team("a", 1), normal, 500)
	require.False(t, ok)
}

func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{10, 1000} {
		for name, capacity := range map[string]float64{"free": 1e9, "overloaded": 1} {
			b.Run(fmt.Sprint(teams, " teams ", name), func(b *testing.B) {
				p := limit.NewByCost(limit.Settings{Capacity: capacity})
				var all []config.Team
				for i := range teams {
					all = append(all, team(fmt.Sprint("c", i), 1))
					r, _, _ := p.Admit(start, all[i], normal, 100)
					p.Settle(start, r, 100)
				}
				now := start
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(time.Microsecond)
					if r, ok, _ := p.Admit(now, all[i%teams], normal, 1); ok {
						p.Settle(now, r, 1)
					}
				}
			})
		}
	}
}

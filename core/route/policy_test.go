package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/route"
	"guavapaddle/core/view"
)

var (
	now  = time.Unix(1_000_000, 0)
	item = backend.Item{Name: "m", Version: "1"}
)

func candidate(name string, running, queued int, waitMS int64) route.Candidate {
	return route.Candidate{
		Server: view.Server{
			Server: name, Resident: []backend.Item{item}, Running: running, Queued: queued,
			Slots: 8, WaitMS: waitMS, Reachable: true,
		},
		SameDataCentre: true,
	}
}

func with(c route.Candidate, change func(*route.Candidate)) route.Candidate {
	change(&c)
	return c
}

func TestInvariantNoLeavingOrUnreachableServerIsPicked(t *testing.T) {
	leaving := with(candidate("leaving", 0, 0, 0), func(c *route.Candidate) { c.Leaving = true })
	unreachable := with(candidate("lost", 0, 0, 0), func(c *route.Candidate) { c.Reachable = false })
	other := with(candidate("other", 0, 0, 0), func(c *route.Candidate) { c.Resident = nil })
	excluded := candidate("excluded", 0, 0, 0)
	good := candidate("good", 8, 20, 5000)
	for _, name := range route.Names() {
		t.Run(name, func(t *testing.T) {
			p, err := route.New(name)
			require.NoError(t, err)
			random := rand.New(rand.NewPCG(1, 1))
			r := route.Request{Item: item, Exclude: map[string]bool{"excluded": true}}
			for i := range 200 {
				r.PrefixHash = uint64(i)
				c, ok := p.Pick(now, r, []route.Candidate{leaving, unreachable, other, excluded, good}, random)
				require.True(t, ok)
				require.Equal(t, 4, c.Index)
			}
			c, ok := p.Pick(now, r, []route.Candidate{leaving, unreachable, other, excluded}, random)
			require.False(t, ok)
			require.Equal(t, route.Selection{Index: -1, Reason: route.NoneUsable}, c)
			c, ok = p.Pick(now, r, []route.Candidate{other}, random)
			require.False(t, ok)
			require.Equal(t, route.NoHolder, c.Reason)
		})
	}
	_, err := route.New("nonsense")
	var unknown *route.UnknownPolicyError
	require.ErrorAs(t, err, &unknown)
}

func TestHome(t *testing.T) {
	tests := []struct {
		name    string
		request route.Request
		cs      []route.Candidate
		want    int
		reason  route.Reason
	}{
		{"least wait", route.Request{}, []route.Candidate{candidate("a", 8, 4, 900), candidate("b", 8, 1, 300)}, 1, route.LeastWait},
		{"least load among equal waits", route.Request{}, []route.Candidate{candidate("a", 5, 0, 0), candidate("b", 2, 0, 0)}, 1, route.LeastWait},
		{"own recent requests count", route.Request{}, []route.Candidate{
			with(candidate("a", 2, 0, 0), func(c *route.Candidate) { c.OwnRecent = 7 }), candidate("b", 5, 0, 0),
		}, 1, route.LeastWait},
		{"same data centre preferred to a slightly lower load", route.Request{}, []route.Candidate{
			with(candidate("a", 0, 0, 0), func(c *route.Candidate) { c.SameDataCentre = false }), candidate("b", 3, 0, 0),
		}, 1, route.LeastWait},
		{"other data centre preferred to a wait", route.Request{}, []route.Candidate{
			with(candidate("a", 0, 0, 0), func(c *route.Candidate) { c.SameDataCentre = false }), candidate("b", 8, 3, 500),
		}, 0, route.LeastWait},
		{"no candidate meets the deadline", route.Request{Deadline: now.Add(time.Second), Seconds: 0.8}, []route.Candidate{
			candidate("a", 8, 3, 700), candidate("b", 8, 3, 900),
		}, 0, route.LateAnyway},
		{"only holder", route.Request{Exclude: map[string]bool{"a": true}}, []route.Candidate{
			candidate("a", 0, 0, 0), candidate("b", 8, 9, 900),
		}, 1, route.OnlyHolder},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.request.Item = item
			c, ok := (&route.Home{}).Pick(now, tt.request, tt.cs, rand.New(rand.NewPCG(1, 1)))
			require.True(t, ok)
			require.Equal(t, tt.want, c.Index)
			require.Equal(t, tt.reason, c.Reason)
		})
	}
}

func TestAffinity(t *testing.T) {
	var cs []route.Candidate
	for i := range 5 {
		cs = append(cs, candidate(fmt.Sprint("s", i), 2, 0, 0))
	}
	p, random := &route.Home{}, rand.New(rand.NewPCG(1, 1))
	r := route.Request{Item: item, PrefixHash: 42}
	first, _ := p.Pick(now, r, cs, random)
	require.Equal(t, route.Affinity, first.Reason)
	t.Run("unchanged when another server is excluded", func(t *testing.T) {
		excluded := (first.Index + 1) % len(cs)
		r := r
		r.Exclude = map[string]bool{cs[excluded].Server.Server: true}
		again, _ := p.Pick(now, r, cs, random)
		require.Equal(t, first.Index, again.Index)
	})
	t.Run("overridden by load", func(t *testing.T) {
		busy := append([]route.Candidate(nil), cs...)
		busy[first.Index].Running = 7
		c, _ := p.Pick(now, r, busy, random)
		require.NotEqual(t, first.Index, c.Index)
		require.Equal(t, route.LeastWait, c.Reason)
	})
	t.Run("spreads prefixes", func(t *testing.T) {
		count := map[int]int{}
		for i := range 1000 {
			c, _ := p.Pick(now, route.Request{Item: item, PrefixHash: uint64(i + 1)}, cs, random)
			count[c.Index]++
		}
		for i := range cs {
			require.InDelta(t, 200, count[i], 60)
		}
	})
}

func TestDirectPrefersLessLoaded(t *testing.T) {
	cs := []route.Candidate{candidate("a", 8, 8, 0), candidate("b", 1, 0, 0)}
	for i := range 20 {
		c, ok := (&route.Direct{}).Pick(now, route.Request{Item: item, PrefixHash: uint64(i)}, cs, rand.New(rand.NewPCG(1, uint64(i))))
		require.True(t, ok)
		require.Equal(t, 1, c.Index)
	}
}

func TestRoundRobinOrder(t *testing.T) {
	p := &route.RoundRobin{}
	cs := []route.Candidate{candidate("a", 0, 0, 0), candidate("b", 0, 0, 0)}
	for i := range 6 {
		c, _ := p.Pick(now, route.Request{Item: item}, cs, nil)
		require.Equal(t, i%2, c.Index)
	}
}

func TestTracker(t *testing.T) {
	var tr route.Tracker
	tr.Sent("a", now)
	tr.Sent("a", now.Add(10*time.Millisecond))
	require.Equal(t, 2, tr.Recent("a"))
	tr.ViewUpdated("a", now.Add(11*time.Millisecond))
	require.Equal(t, 1, tr.Recent("a"), "the view can't include the second request yet")
	require.Equal(t, 2, tr.InFlight("a"))
	tr.Ended("a")
	tr.Ended("a")
	tr.Ended("a")
	require.Zero(t, tr.Recent("a"))
	require.Zero(t, tr.InFlight("a"))
	tr.Forget("a")
	require.Zero(t, tr.InFlight("a"))
}

// BenchmarkHome measures a pick among n holders.
func BenchmarkHome(b *testing.B) {
	for _, n := range []int{2, 8, 64, 600} {
		b.Run(fmt.Sprint("holders=", n), func(b *testing.B) {
			var cs []route.Candidate
			for i := range n {
				cs = append(cs, candidate(fmt.Sprint("s", i), i%9, 0, int64(i%7)))
			}
			p, random := &route.Home{}, rand.New(rand.NewPCG(1, 1))
			r := route.Request{Item: item, Urgency: config.Urgent, Deadline: now.Add(time.Second)}
			b.ReportAllocs()
			for b.Loop() {
				r.PrefixHash++
				p.Pick(now, r, cs, random)
			}
		})
	}
}

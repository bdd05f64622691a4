package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/core/throttle"
)

// TestNodesWithoutSchedulerShareBrittleServer guards against nodes that together have more requests at a brittle server
// than it has room for while none of them counts those of all.
func TestNodesWithoutSchedulerShareBrittleServer(t *testing.T) {
	r := balance.Request{Service: "plain"}
	for name, x := range map[string]struct{ slots, nodes, share int }{
		"fewer nodes than slots": {6, 3, 2},
		"more nodes than slots":  {6, 8, 1},
		"alone":                  {6, 0, 6},
	} {
		p := newPicker(fleet.Server{ID: "a", Service: "plain", Slots: x.slots})
		p.SetNodes(x.nodes)
		require.False(t, p.IsBrittle(now, "plain"))
		require.True(t, p.LearnLimit("a", throttle.NoLimit(now).WithBrittleness(3)))
		require.True(t, p.IsBrittle(now, "plain"))
		var last *balance.Ticket
		for range x.share {
			_, reason := p.Pick(now, r)
			require.Equal(t, balance.Picked, reason, name)
			last = p.RecordSent(now, "a", r)
		}
		_, reason := p.Pick(now, r)
		require.Equal(t, balance.Busy, reason, name)
		_, reason = p.PickWithin(now, r, 2000, 1)
		if x.share < x.slots {
			require.Equal(t, balance.Picked, reason, "a scheduler counts the requests of all nodes")
		}
		p.RecordDone(now, last, balance.Succeeded)
		_, reason = p.Pick(now, r)
		require.Equal(t, balance.Picked, reason, name)
	}
}

func TestBrittleServerRestsAfterRejection(t *testing.T) {
	r := balance.Request{Service: "plain"}
	for name, x := range map[string]struct {
		nodes    int
		from, to time.Duration // at these times it rests, and may be picked
	}{
		"few nodes":  {2, 950 * time.Millisecond, 1600 * time.Millisecond},
		"many nodes": {30, 9500 * time.Millisecond, 16 * time.Second},
	} {
		p := newPicker(fleet.Server{ID: "a", Service: "plain", Slots: 6})
		p.SetNodes(x.nodes)
		p.LearnLimit("a", throttle.NoLimit(now).WithBrittleness(3))
		p.RecordDone(now, p.RecordSent(now, "a", r), balance.Full)
		_, reason := p.Pick(now.Add(x.from), r)
		require.Equal(t, balance.Busy, reason, "%s: it isn't picked for lack of another one either", name)
		_, reason = p.Pick(now.Add(x.to), r)
		require.Equal(t, balance.Picked, reason, name)
	}
}

func TestServerIsNoLongerBrittleAfterAnswerWithoutNotice(t *testing.T) {
	p := newPicker(fleet.Server{ID: "a", Service: "plain", Slots: 6}, fleet.Server{ID: "b", Service: "plain", Slots: 6})
	p.LearnLimit("a", throttle.NoLimit(now).WithBrittleness(0))
	require.True(t, p.LearnLimit("a", throttle.NoLimit(now.Add(time.Second))))
	require.False(t, p.IsBrittle(now.Add(time.Second), "plain"))
	p.LearnLimit("b", throttle.NoLimit(now).WithBrittleness(2))
	require.False(t, p.IsBrittle(now.Add(time.Minute), "plain"), "its last answer is too old")
	require.Contains(t, p.KnownLimits(now.Add(time.Hour)), "b")
}

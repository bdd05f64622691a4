package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/leader"
)

const ttl = 3 * time.Second

func keeper(node string) *leader.Keeper {
	return &leader.Keeper{Self: leader.Lease{Node: node, Incarnation: "i", Cores: 1}, TTL: ttl}
}

func TestALeaseIsTakenOnlyAfterItStoodUnchanged(t *testing.T) {
	a, b := keeper("a"), keeper("b")
	a.Observe(0, leader.Lease{}, 0)
	l, v, ok := a.Propose(0)
	require.True(t, ok)
	require.Zero(t, v)
	require.EqualValues(t, 1, l.Epoch)
	a.Won(0, l, 10)

	b.Observe(time.Second, l, 10)
	_, _, ok = b.Propose(time.Second + ttl)
	require.False(t, ok, "within the margin")
	b.Observe(2*time.Second, l, 11) // renewed: counts from here
	_, _, ok = b.Propose(2*time.Second + ttl + ttl/8)
	require.False(t, ok)
	taken, v, ok := b.Propose(2*time.Second + 2*ttl)
	require.True(t, ok)
	require.EqualValues(t, 11, v)
	require.EqualValues(t, 2, taken.Epoch, "the next epoch fences the last holder")
}

func TestAHolderMayOrderOnlyWithinItsLease(t *testing.T) {
	k := keeper("a")
	k.Observe(0, leader.Lease{}, 0)
	l, _, _ := k.Propose(0)
	k.Won(0, l, 10)
	_, ok := k.Epoch(time.Second)
	require.True(t, ok)
	_, ok = k.Epoch(ttl)
	require.False(t, ok, "a clock that went on while the node was frozen ends the lease")
	_, _, due := k.Propose(ttl / 2)
	require.True(t, due, "renewed within each third")
	k.Won(ttl/2, l, 11)
	_, ok = k.Epoch(ttl)
	require.True(t, ok)
}

func TestALeaseThatAnotherTookIsLost(t *testing.T) {
	k := keeper("a")
	k.Observe(0, leader.Lease{}, 0)
	l, _, _ := k.Propose(0)
	k.Won(0, l, 10)
	k.Observe(time.Second, leader.Lease{Node: "b", Incarnation: "i", Epoch: 2}, 12)
	_, ok := k.Epoch(time.Second)
	require.False(t, ok)
	require.False(t, k.Mine())
}

func TestARenewalWithoutAnswerIsRecognised(t *testing.T) {
	k := keeper("a")
	k.Observe(0, leader.Lease{}, 0)
	l, _, _ := k.Propose(0)
	k.Observe(time.Second, l, 10) // read back: it took
	require.True(t, k.Mine())
	_, ok := k.Epoch(time.Second)
	require.False(t, ok, "when it took is not known, so it has to be renewed first")
	_, v, due := k.Propose(time.Second)
	require.True(t, due)
	require.EqualValues(t, 10, v)
}

func TestAFencedHolderTakesANewEpoch(t *testing.T) {
	k := keeper("a")
	k.Observe(0, leader.Lease{}, 0)
	l, _, _ := k.Propose(0)
	k.Won(0, l, 10)
	k.Fenced(1)
	_, ok := k.Epoch(time.Second)
	require.False(t, ok)
	n, _, due := k.Propose(time.Second)
	require.True(t, due)
	require.EqualValues(t, 2, n.Epoch)
}

func TestAReleasedLeaseIsTakenAtOnce(t *testing.T) {
	b := keeper("b")
	b.Observe(0, leader.Lease{Epoch: 4}, 20)
	l, _, ok := b.Propose(0)
	require.True(t, ok)
	require.EqualValues(t, 5, l.Epoch)
}

func TestARestartedNodeTakesItsOwnLeaseAtOnce(t *testing.T) {
	k := keeper("a")
	k.Observe(0, leader.Lease{Node: "a", Incarnation: "earlier", Epoch: 4}, 20)
	require.False(t, k.Mine())
	l, v, ok := k.Propose(0)
	require.True(t, ok)
	require.EqualValues(t, 20, v)
	require.EqualValues(t, 5, l.Epoch)
}

func TestALargerNodeTakesTheLeaseFirst(t *testing.T) {
	small, large := keeper("small"), keeper("large")
	small.Self.Cores = 0.19
	for _, k := range []*leader.Keeper{small, large} {
		k.Observe(0, leader.Lease{}, 0)
	}
	_, _, ok := small.Propose(500 * time.Millisecond)
	require.False(t, ok)
	_, _, ok = large.Propose(0)
	require.True(t, ok)
	_, _, ok = small.Propose(800 * time.Millisecond)
	require.True(t, ok, "if there is no larger one it takes it")

	for _, k := range []*leader.Keeper{small, large} {
		k.Observe(time.Second, leader.Lease{Node: "b", Incarnation: "i", Epoch: 1, Cores: 0.8}, 10)
	}
	lapsed := time.Second + ttl + ttl/6
	_, _, ok = large.Propose(lapsed)
	require.True(t, ok)
	_, _, ok = small.Propose(lapsed + time.Second)
	require.False(t, ok)
	_, _, ok = small.Propose(lapsed + 1500*time.Millisecond)
	require.True(t, ok)
}

// TestALeaseThatWasJustRenewedNeedsNoLook: after a start of hundreds of nodes each would
// read the row again and again until the holder has taken its connection.
func TestALeaseThatWasJustRenewedNeedsNoLook(t *testing.T) {
	other := leader.Lease{Node: "b", Incarnation: "2", Epoch: 1}
	k := &leader.Keeper{Self: leader.Lease{Node: "a", Incarnation: "1"}, TTL: 3 * time.Second}
	require.False(t, k.Settled(0), "nothing is known")
	k.Observe(time.Second, other, 5)
	require.True(t, k.Settled(2*time.Second))
	require.False(t, k.Settled(2500*time.Millisecond), "it may lapse soon")
	k.Observe(3*time.Second, other, 6)
	require.True(t, k.Settled(4*time.Second))
	k.Observe(4*time.Second, leader.Lease{Epoch: 1}, 7)
	require.False(t, k.Settled(4*time.Second), "nobody holds it")
	k.Observe(5*time.Second, leader.Lease{Node: "a", Incarnation: "0", Epoch: 1}, 8)
	require.False(t, k.Settled(5*time.Second), "an earlier process of this node held it")
}

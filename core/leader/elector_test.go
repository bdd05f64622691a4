package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/leader"
	"guavapaddle/core/relay"
	"guavapaddle/core/revision"
)

const ttl = 3 * time.Second

// at returns a revision of the first era.
func at(number int64) revision.Revision { return revision.Revision{Number: number} }

func newElector(node string) *leader.Elector {
	return &leader.Elector{Self: leader.Lease{Node: node, Incarnation: "i", Cores: 1}, TTL: ttl}
}

func TestLeaseIsTakenOnlyAfterWait(t *testing.T) {
	a, b := newElector("a"), newElector("b")
	a.Observe(0, leader.Lease{}, at(0))
	l, v, ok := a.Propose(0)
	require.True(t, ok)
	require.Zero(t, v.Number)
	require.EqualValues(t, 1, l.Epoch)
	a.Acquired(0, l, at(10))

	b.Observe(time.Second, l, at(10))
	_, _, ok = b.Propose(time.Second + ttl)
	require.False(t, ok, "within the margin")
	b.Observe(2*time.Second, l, at(11)) // renewed, so the wait starts again
	_, _, ok = b.Propose(2*time.Second + ttl + ttl/8)
	require.False(t, ok)
	taken, v, ok := b.Propose(2*time.Second + 2*ttl)
	require.True(t, ok)
	require.Equal(t, at(11), v)
	require.EqualValues(t, 2, taken.Epoch, "the next epoch fences the last leader")
}

func TestLeaderHasEpochOnlyWithinLease(t *testing.T) {
	e := newElector("a")
	e.Observe(0, leader.Lease{}, at(0))
	l, _, _ := e.Propose(0)
	e.Acquired(0, l, at(10))
	_, ok := e.Epoch(time.Second)
	require.True(t, ok)
	_, ok = e.Epoch(ttl)
	require.False(t, ok, "the lease ends by a clock that ran on while the node was suspended")
	_, _, due := e.Propose(ttl / 2)
	require.True(t, due, "due after a third of the time to live")
	e.Acquired(ttl/2, l, at(11))
	_, ok = e.Epoch(ttl)
	require.True(t, ok)
}

func TestLeaseTakenByAnotherNodeIsLost(t *testing.T) {
	e := newElector("a")
	e.Observe(0, leader.Lease{}, at(0))
	l, _, _ := e.Propose(0)
	e.Acquired(0, l, at(10))
	e.Observe(time.Second, leader.Lease{Node: "b", Incarnation: "i", Epoch: 2}, at(12))
	_, ok := e.Epoch(time.Second)
	require.False(t, ok)
	require.False(t, e.IsLeader())
}

func TestRenewalWithoutAnswerIsObserved(t *testing.T) {
	e := newElector("a")
	e.Observe(0, leader.Lease{}, at(0))
	l, _, _ := e.Propose(0)
	e.Observe(time.Second, l, at(10)) // read back: the write succeeded
	require.True(t, e.IsLeader())
	_, ok := e.Epoch(time.Second)
	require.False(t, ok, "the time of the write is unknown, so the lease has to be renewed first")
	_, v, due := e.Propose(time.Second)
	require.True(t, due)
	require.Equal(t, at(10), v)
}

func TestFencedLeaderTakesNewEpoch(t *testing.T) {
	e := newElector("a")
	e.Observe(0, leader.Lease{}, at(0))
	l, _, _ := e.Propose(0)
	e.Acquired(0, l, at(10))
	e.RecordFenced(1)
	_, ok := e.Epoch(time.Second)
	require.False(t, ok)
	n, _, due := e.Propose(time.Second)
	require.True(t, due)
	require.EqualValues(t, 2, n.Epoch)
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	b := newElector("b")
	b.Observe(0, leader.Lease{Epoch: 4}, at(20))
	l, _, ok := b.Propose(0)
	require.True(t, ok)
	require.EqualValues(t, 5, l.Epoch)
}

func TestRestartedNodeTakesItsLeaseAtOnce(t *testing.T) {
	e := newElector("a")
	e.Observe(0, leader.Lease{Node: "a", Incarnation: "earlier", Epoch: 4}, at(20))
	require.False(t, e.IsLeader())
	l, v, ok := e.Propose(0)
	require.True(t, ok)
	require.Equal(t, at(20), v)
	require.EqualValues(t, 5, l.Epoch)
}

func TestLargerNodeTakesLeaseFirst(t *testing.T) {
	small, large := newElector("small"), newElector("large")
	small.Self.Cores = 0.19
	for _, e := range []*leader.Elector{small, large} {
		e.Observe(0, leader.Lease{}, at(0))
	}
	_, _, ok := small.Propose(500 * time.Millisecond)
	require.False(t, ok)
	_, _, ok = large.Propose(0)
	require.True(t, ok)
	_, _, ok = small.Propose(800 * time.Millisecond)
	require.True(t, ok, "it takes the lease if there is no larger node")

	for _, e := range []*leader.Elector{small, large} {
		e.Observe(time.Second, leader.Lease{Node: "b", Incarnation: "i", Epoch: 1, Cores: 0.8}, at(10))
	}
	lapsed := time.Second + ttl + ttl/6
	_, _, ok = large.Propose(lapsed)
	require.True(t, ok)
	_, _, ok = small.Propose(lapsed + time.Second)
	require.False(t, ok)
	_, _, ok = small.Propose(lapsed + 1500*time.Millisecond)
	require.True(t, ok)
}

// TestRecentlyRenewedLeaseNeedsNoRead guards against repeated reads of the row: after a start of
// hundreds of nodes each of them would read it again and again until the leader has accepted its
// connection.
func TestRecentlyRenewedLeaseNeedsNoRead(t *testing.T) {
	other := leader.Lease{Node: "b", Incarnation: "2", Epoch: 1}
	e := &leader.Elector{Self: leader.Lease{Node: "a", Incarnation: "1"}, TTL: 3 * time.Second}
	require.False(t, e.RecentlyRenewed(0), "no row has been observed")
	e.Observe(time.Second, other, at(5))
	require.True(t, e.RecentlyRenewed(2*time.Second))
	require.False(t, e.RecentlyRenewed(2500*time.Millisecond), "the lease may lapse soon")
	e.Observe(3*time.Second, other, at(6))
	require.True(t, e.RecentlyRenewed(4*time.Second))
	e.Observe(4*time.Second, leader.Lease{Epoch: 1}, at(7))
	require.False(t, e.RecentlyRenewed(4*time.Second), "nobody holds the lease")
	e.Observe(5*time.Second, leader.Lease{Node: "a", Incarnation: "0", Epoch: 1}, at(8))
	require.False(t, e.RecentlyRenewed(5*time.Second), "an earlier process of this node held the lease")
}

// TestRelaysTakeLeaseFirst guards against a small node that takes the lease of a large fleet because it has lost
// its relay, while the relays still reach the leader.
func TestRelaysTakeLeaseFirst(t *testing.T) {
	relays := []relay.Relay{{Node: "b"}}
	last := leader.Lease{Node: "x", Incarnation: "1", Epoch: 1, Cores: 0.8, Relays: relays, Assigned: true}
	lapsed := ttl + ttl/6
	for _, c := range []struct {
		cores float64
		at    time.Duration
		due   bool
	}{{0.8, lapsed, true}, {0.4, lapsed + 1500*time.Millisecond, true}, {0.2, lapsed + 1500*time.Millisecond, false}, {0.2, lapsed + 10*time.Second, true}} {
		e := &leader.Elector{Self: leader.Lease{Node: "a", Incarnation: "1", Cores: c.cores}, TTL: ttl}
		e.Observe(0, last, at(10))
		l, _, due := e.Propose(c.at)
		require.Equal(t, c.due, due, "%v cores after %v", c.cores, c.at)
		require.Empty(t, l.Relays, "the caller adds them")
		got, ok := e.Leader()
		require.True(t, ok)
		require.Equal(t, relays, got.Relays)
	}
}

// TestDeferredNodeTakesLeaseLast guards against a node that gives a lease up since it can't do a leader's work, and takes
// it again at once.
func TestDeferredNodeTakesLeaseLast(t *testing.T) {
	e := newElector("a")
	e.Observe(0, leader.Lease{}, at(0))
	l, _, _ := e.Propose(0)
	e.Acquired(0, l, at(10))
	e.Deferred = true
	_, _, due := e.Propose(ttl / 2)
	require.True(t, due, "it renews a lease that it holds")
	e.Observe(ttl, leader.Lease{Epoch: 1}, at(11))
	_, _, due = e.Propose(ttl + 5*time.Second)
	require.False(t, due)
	_, _, due = e.Propose(ttl + 10*time.Second)
	require.True(t, due, "no other node has taken it")
	e.Deferred = false
	_, _, due = e.Propose(ttl)
	require.True(t, due)
}

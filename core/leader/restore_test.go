package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/leader"
	"guavapaddle/core/revision"
)

const (
	margin = ttl / 6
	// epochsPerEra is the number of epochs reserved for each era.
	epochsPerEra = 1 << 20
)

// restored returns a revision of the second era.
func restored(number int64) revision.Revision { return revision.Revision{Era: 1, Number: number} }

// newLeader returns an elector that has acquired the lease at time zero under epoch 1, revision 10.
func newLeader(t *testing.T) *leader.Elector {
	t.Helper()
	e := newElector("a")
	e.Observe(0, leader.Lease{}, at(0))
	l, _, ok := e.Propose(0)
	require.True(t, ok)
	e.Acquired(0, l, at(10))
	return e
}

// TestLeaderKeepsLeaseAfterRestore guards against a leader that never writes its lease again because the
// restored row has a lower version.
func TestLeaderKeepsLeaseAfterRestore(t *testing.T) {
	for name, row := range map[string]leader.Lease{
		"own row":              {Node: "a", Incarnation: "i", Epoch: 1},
		"row of an earlier":    {Node: "b", Incarnation: "i"},
		"released, by another": {},
	} {
		t.Run(name, func(t *testing.T) {
			e := newLeader(t)
			e.Observe(time.Second, row, restored(7))
			require.True(t, e.IsLeader())
			epoch, ok := e.Epoch(time.Second)
			require.True(t, ok, "its lease has not lapsed")
			require.EqualValues(t, 1, epoch)
			known, _ := e.Leader()
			require.Equal(t, "a", known.Node)
			l, expected, due := e.Propose(time.Second)
			require.True(t, due)
			require.Equal(t, restored(7), expected)
			require.EqualValues(t, epochsPerEra+1, l.Epoch, "an epoch of the new era")
			require.EqualValues(t, 1, l.TermID(), "the term goes on")
			e.Acquired(time.Second, l, restored(8))
			epoch, ok = e.Epoch(time.Second)
			require.True(t, ok)
			require.EqualValues(t, epochsPerEra+1, epoch)
			_, _, due = e.Propose(time.Second)
			require.False(t, due)
		})
	}
}

// TestLapsedLeaderWaitsAfterRestore guards against a second holder: the copy may lack the acquisition of
// another node after this node's lease had lapsed.
func TestLapsedLeaderWaitsAfterRestore(t *testing.T) {
	e := newLeader(t)
	lapsed := ttl + margin
	e.Observe(lapsed, leader.Lease{Node: "a", Incarnation: "i", Epoch: 1}, restored(7))
	require.False(t, e.IsLeader())
	_, ok := e.Epoch(lapsed)
	require.False(t, ok)
	_, _, due := e.Propose(lapsed + ttl)
	require.False(t, due)
	l, _, due := e.Propose(lapsed + ttl + margin)
	require.True(t, due)
	require.EqualValues(t, epochsPerEra+1, l.Epoch)
}

// TestRestoredRowIsTakenOnlyAfterWait guards against a node that takes the lease at once, as a restarted
// node does with its own and any node with a released one, while a node whose acquisition was lost
// still relies on it.
func TestRestoredRowIsTakenOnlyAfterWait(t *testing.T) {
	for name, row := range map[string]leader.Lease{
		"of an earlier process": {Node: "a", Incarnation: "earlier", Epoch: 4},
		"released":              {Epoch: 4},
		"of another node":       {Node: "b", Incarnation: "i", Epoch: 4},
	} {
		t.Run(name, func(t *testing.T) {
			e := newElector("a") // it has never seen an earlier era
			e.Observe(0, row, restored(20))
			_, _, ok := e.Propose(ttl)
			require.False(t, ok)
			l, _, ok := e.Propose(ttl + margin)
			require.True(t, ok)
			require.EqualValues(t, epochsPerEra+1, l.Epoch)
			e.Observe(ttl, leader.Lease{Node: "c", Incarnation: "i", Epoch: epochsPerEra + 1}, restored(21))
			e.Observe(2*ttl, leader.Lease{Epoch: epochsPerEra + 1}, restored(22))
			_, _, ok = e.Propose(2 * ttl)
			require.True(t, ok, "released in this era")
		})
	}
	e := newElector("a")
	e.Observe(0, leader.Lease{Node: "b", Epoch: 1}, at(10))
	e.Observe(time.Second, leader.Lease{}, restored(0))
	_, _, ok := e.Propose(time.Second + ttl)
	require.False(t, ok, "the copy lacks the row")
	_, _, ok = e.Propose(time.Second + ttl + margin)
	require.True(t, ok)
}

// TestRepliesOfEarlierEraAreIgnored guards against a reply that arrives after a later era is known.
func TestRepliesOfEarlierEraAreIgnored(t *testing.T) {
	e := newLeader(t)
	l, _, due := e.Propose(time.Second)
	require.True(t, due)
	e.Observe(time.Second, leader.Lease{Node: "b", Incarnation: "i", Epoch: epochsPerEra + 1}, restored(11))
	e.Acquired(time.Second, l, at(12))
	e.Observe(time.Second, leader.Lease{Node: "c", Epoch: 9}, at(30))
	require.Equal(t, restored(11), e.Revision())
}

// TestTakeoverOverRestoreDoesNotCount guards against a second holder: the write of a node that had waited
// for the lease to lapse is executed after the store has lost another node's acquisition.
func TestTakeoverOverRestoreDoesNotCount(t *testing.T) {
	e := newElector("a")
	e.Observe(0, leader.Lease{Node: "b", Incarnation: "i", Epoch: 1}, at(10))
	l, _, ok := e.Propose(ttl + margin)
	require.True(t, ok)
	e.Acquired(ttl+margin, l, restored(11))
	require.False(t, e.IsLeader())
	_, _, ok = e.Propose(2*ttl + margin)
	require.False(t, ok)
	l, _, ok = e.Propose(2*ttl + 2*margin)
	require.True(t, ok)
	require.EqualValues(t, epochsPerEra+1, l.Epoch)
}

// TestRenewalOverRestoreIsRepeated checks that a renewal that is executed after the restore keeps the
// lease, under the next epoch.
func TestRenewalOverRestoreIsRepeated(t *testing.T) {
	e := newLeader(t)
	l, _, due := e.Propose(time.Second)
	require.True(t, due)
	e.Acquired(time.Second, l, restored(11))
	require.True(t, e.IsLeader())
	l, expected, due := e.Propose(time.Second)
	require.True(t, due)
	require.Equal(t, restored(11), expected)
	require.EqualValues(t, epochsPerEra+1, l.Epoch)
}

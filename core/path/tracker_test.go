package path_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/path"
)

var start = time.Unix(1000, 0)

func TestServerThatOnlyPeersReachGetsConnectionsThroughThem(t *testing.T) {
	var p path.Tracker
	require.Equal(t, path.Plan{}, p.Plan(start, "a"))
	p.RecordOwn(start, "a", path.Refused)
	require.Equal(t, path.Plan{}, p.Plan(start, "a"), "it may have failed itself")
	require.False(t, p.RecordThroughPeer(start, "a", true))
	require.Equal(t, path.Plan{ThroughPeer: true}, p.Plan(start.Add(path.ProbeInterval/2), "a"))
	require.Equal(t, path.Plan{ThroughPeer: true, Probe: true}, p.Plan(start.Add(path.ProbeInterval), "a"))
	require.Equal(t, path.Plan{ThroughPeer: true}, p.Plan(start.Add(path.ProbeInterval), "a"), "one probe for each interval")
	require.Equal(t, path.Plan{}, p.Plan(start, "b"))
	p.RecordOwn(start, "b", path.Opened)
	require.True(t, p.Plan(start, "a").ThroughPeer, "an open path to one server says nothing of another")
	p.RecordOwn(start, "a", path.Opened)
	require.Equal(t, path.Plan{}, p.Plan(start, "a"))
}

func TestNodeIsIsolatedOnceSeveralServersFailThatPeersReach(t *testing.T) {
	var p path.Tracker
	p.RecordOwn(start, "a", path.TimedOut)
	require.Equal(t, 1, p.MaxMisses("a"))
	require.Equal(t, 2, p.MaxMisses("b"))
	require.False(t, p.RecordThroughPeer(start, "a", true), "one server alone may have failed")
	require.False(t, p.Suspect())
	p.RecordOwn(start, "b", path.TimedOut)
	require.True(t, p.Suspect())
	require.Equal(t, 2, p.MaxMisses("a"))
	require.Equal(t, 2, p.Failed())
	require.True(t, p.RecordThroughPeer(start, "b", true))
	require.False(t, p.RecordThroughPeer(start, "a", true), "it is already")
	require.True(t, p.Isolated())
	require.True(t, p.Plan(start, "untried").ThroughPeer)
	require.True(t, p.Hanging("a"))
	require.False(t, p.Hanging("untried"))
	require.True(t, p.AllHanging())
	p.RecordOwn(start, "untried", path.Opened)
	require.False(t, p.Isolated())
	require.False(t, p.AllHanging())
	require.False(t, p.Suspect())
	require.False(t, p.Plan(start, "other").ThroughPeer)
}

func TestServersThatPeersDoNotReachEitherHaveFailed(t *testing.T) {
	var p path.Tracker
	for _, a := range []string{"a", "b", "c"} {
		p.RecordOwn(start, a, path.Refused)
		require.False(t, p.RecordThroughPeer(start, a, false))
	}
	require.True(t, p.MissedByPeers(start, "a"))
	require.False(t, p.MissedByPeers(start.Add(time.Second), "a"))
	require.False(t, p.MissedByPeers(start, "d"))
	require.True(t, p.Suspect(), "this node may be cut off, and others may be too")
	require.False(t, p.Isolated())
	require.Equal(t, path.Plan{}, p.Plan(start, "a"))
}

func TestOldFailuresDoNotAddUp(t *testing.T) {
	var p path.Tracker
	p.RecordOwn(start, "a", path.Refused)
	p.RecordOwn(start.Add(time.Minute), "b", path.Refused)
	require.False(t, p.Suspect())
	require.Equal(t, 1, p.Failed())
}

func TestRefusedConnectionsLeaveOpenOnesAlone(t *testing.T) {
	var p path.Tracker
	for _, a := range []string{"a", "b"} {
		p.RecordOwn(start, a, path.Refused)
		p.RecordThroughPeer(start, a, true)
	}
	require.True(t, p.Isolated())
	require.False(t, p.Hanging("a"))
	require.False(t, p.AllHanging())
}

func TestOtherIsTheLastOtherServerReached(t *testing.T) {
	var p path.Tracker
	other, _ := p.Other("a", start)
	require.Empty(t, other)
	p.RecordOwn(start, "a", path.Opened)
	other, _ = p.Other("a", start)
	require.Empty(t, other)
	p.RecordOwn(start.Add(time.Second), "b", path.Opened)
	p.RecordOwn(start.Add(2*time.Second), "b", path.Opened)
	for _, x := range []struct {
		address, other string
		since          time.Duration
		reached        bool
	}{{"a", "b", time.Second, true}, {"a", "b", 3 * time.Second, false}, {"b", "a", 0, true}, {"b", "a", time.Second, false}} {
		other, reached := p.Other(x.address, start.Add(x.since))
		require.Equal(t, x.other, other, x)
		require.Equal(t, x.reached, reached, x)
	}
}

package grant_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/core/grant"
)

func withSoftware(s fleet.Server, version string) fleet.Server {
	s.Software = version
	return s
}

// resumed returns a request that must go on at servers of a software version.
func resumed(id uint64, model, version string) grant.Request {
	r := request(id, model, 900, 1)
	r.Pick.Software = version
	return r
}

func TestResumedRequestIsGrantedAtItsSoftwareVersion(t *testing.T) {
	s := newScheduler(withSoftware(server("a", "m"), "v1"), withSoftware(server("b", "m"), "v2"))
	for id := uint64(1); id <= 4; id++ {
		version := []string{"v1", "v2"}[id%2]
		s.Enqueue(resumed(id, "m", version))
		d := s.Next(start)
		require.Len(t, d, 1)
		require.True(t, d[0].Granted)
		require.Equal(t, version, d[0].Selection.Server.Software)
	}
}

// TestResumedRequestDoesNotHoldOthersUp guards against requests that wait behind one whose only servers are full.
func TestResumedRequestDoesNotHoldOthersUp(t *testing.T) {
	full := withSoftware(server("a", "m"), "v1")
	full.Slots = 1
	s := newScheduler(full, withSoftware(server("b", "m"), "v2"))
	s.Enqueue(resumed(1, "m", "v1"))
	require.Equal(t, []uint64{1}, granted(s.Next(start)))
	s.Enqueue(resumed(2, "m", "v1"))
	s.Enqueue(request(3, "m", 900, 2))
	require.Equal(t, []uint64{3}, granted(s.Next(start)))
	s.Release(start, 1, balance.Succeeded)
	require.Equal(t, []uint64{2}, granted(s.Next(start)))
}

// TestResumedRequestWithoutServerIsRefusedAtOnce guards against a queue that waits for a software version that has gone, for a model
// that no server of it has a place for, or for servers that have all been tried.
func TestResumedRequestWithoutServerIsRefusedAtOnce(t *testing.T) {
	s := newScheduler(withSoftware(server("a", "m"), "v1"), withSoftware(server("b", "n"), "v2"))
	s.SetUnplaceable(map[grant.Item]bool{{Service: "llm", Model: "m", Software: "v2"}: true})
	for _, x := range []struct {
		id             uint64
		model, version string
		exclude        string
		reason         balance.Reason
	}{{1, "m", "v3", "", balance.NoVersion}, {2, "m", "v2", "", balance.NoModel}, {3, "m", "v1", "a", balance.NoServer}} {
		r := resumed(x.id, x.model, x.version)
		r.Pick.Exclude = map[string]bool{x.exclude: true}
		s.Enqueue(r)
		d := s.Next(start)
		require.Len(t, d, 1, x)
		require.False(t, d[0].Granted, x)
		require.Equal(t, x.reason, d[0].Reason)
		require.Positive(t, d[0].RetryAfter)
	}
	require.Zero(t, s.Waiting())
}

// TestResumedRequestWaitsForItsModel guards against streams that are refused while their model is loaded at a server of their software
// version, and against ones that wait once it is known that it won't be.
func TestResumedRequestWaitsForItsModel(t *testing.T) {
	s := newScheduler(withSoftware(server("a", "m"), "v1"), withSoftware(server("b", "n"), "v2"))
	s.Enqueue(resumed(1, "m", "v2"))
	require.Empty(t, s.Next(start))
	item := grant.Item{Service: "llm", Model: "m", Software: "v2"}
	require.Equal(t, map[grant.Item]int{item: 1}, s.WaitingByMissingItem())
	s.SetUnplaceable(map[grant.Item]bool{{Service: "llm", Model: "m", Software: "v1"}: true})
	require.Empty(t, s.Next(start))
	s.SetUnplaceable(map[grant.Item]bool{item: true})
	d := s.Next(start)
	require.Len(t, d, 1)
	require.Equal(t, balance.NoModel, d[0].Reason)
	require.Zero(t, s.Waiting())
}

// TestAdapterIsRequestedForSoftwareVersion guards against an adapter that is loaded at a server where the waiting request
// can't go.
func TestAdapterIsRequestedForSoftwareVersion(t *testing.T) {
	s := newScheduler(withSoftware(server("a", "m"), "v1"), withSoftware(server("b", "m"), "v2"))
	r := resumed(1, "m", "v2")
	r.Pick.Adapter = "a1"
	s.Enqueue(r)
	require.Empty(t, s.Next(start))
	require.Equal(t, map[grant.Item]int{{Service: "llm", Model: "m", Adapter: "a1", Software: "v2"}: 1}, s.WaitingByMissingItem())
}

package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/apikey"
	"guavapaddle/core/fleet"
)

func TestTeamPriorityPrecedesRoutePriority(t *testing.T) {
	urgent, batch := fleet.Route{Name: "a", Host: "h", Prefix: "/a/"}, fleet.Route{Name: "b", Host: "h", Prefix: "/b/", Priority: 2}
	first, second := fleet.Team{Name: "first", Priority: 0}, fleet.Team{Name: "second", Priority: 1}
	c := fleet.NewConfig(1, []fleet.Route{urgent, batch}, nil, fleet.Limits{}).WithTeams([]fleet.TeamKeys{{Team: first}, {Team: second}})
	require.Equal(t, 0, c.Urgency(urgent, first))
	require.Equal(t, 1, c.Urgency(batch, first))
	require.Equal(t, 2, c.Urgency(urgent, second))
	require.Equal(t, 3, c.Urgency(batch, second))
	require.Equal(t, 2, c.Urgency(batch, fleet.Team{}), "without a team the route's priority applies")
}

func TestRevokedKeysAreRetained(t *testing.T) {
	configWithKeys := func(version int64, keys ...string) *fleet.Config {
		m := fleet.TeamKeys{Team: fleet.Team{Name: "t"}}
		for _, k := range keys {
			m.Keys = append(m.Keys, apikey.Sum(k))
		}
		return fleet.NewConfig(version, nil, nil, fleet.Limits{}).WithTeams([]fleet.TeamKeys{m})
	}
	one := configWithKeys(1, "k1", "k2")
	two := configWithKeys(2, "k2").WithRevokedSince(one)
	three := configWithKeys(3, "k2", "k3").WithRevokedSince(two)
	four := configWithKeys(4, "k1").WithRevokedSince(three)
	require.True(t, two.Revoked(apikey.Sum("k1")))
	require.True(t, three.Revoked(apikey.Sum("k1")))
	require.False(t, three.Revoked(apikey.Sum("k3")))
	require.False(t, four.Revoked(apikey.Sum("k1")), "the key is allowed again")
	_, ok := four.Team(apikey.Sum("k1"))
	require.True(t, ok)
	_, ok = three.Team(apikey.Sum("k1"))
	require.False(t, ok)
}

func TestCostCountsTokensOrRequests(t *testing.T) {
	q := fleet.Quota{CountTokens: true, DefaultTokens: 200}
	require.Equal(t, 1540.0, q.Cost(1460, 80, true))
	require.Equal(t, 200.0, q.Cost(0, 0, false))
	require.Equal(t, 1.0, fleet.Quota{}.Cost(1460, 80, true))
}

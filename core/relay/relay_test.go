package relay_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/relay"
)

// fleet returns nodes spread over six data centres, one in sixteen of them large.
func fleet(n int) (list []relay.Candidate, nodes map[string]int) {
	nodes = map[string]int{}
	for i := range n {
		c := relay.Candidate{Cores: 0.2, Relay: relay.Relay{Node: fmt.Sprint("n", i), Address: fmt.Sprint("10.0.0.1:", i), Key: fmt.Sprint("k", i),
			DataCentre: fmt.Sprint("dc", i/16%6)}}
		if i%16 == 0 {
			c.Cores = 0.8
		}
		nodes[c.DataCentre]++
		list = append(list, c)
	}
	return list, nodes
}

func TestSmallFleetNeedsNoRelay(t *testing.T) {
	for _, n := range []int{0, 1, 8, 85, relay.DefaultMaxDirect} {
		require.Zero(t, relay.Sizes{}.Count(n, 0))
	}
	require.Positive(t, relay.Sizes{}.Count(relay.DefaultMaxDirect+1, 0))
	require.Positive(t, relay.Sizes{}.Count(relay.DefaultMaxDirect, 5), "a fleet near the limit keeps its relays")
	require.Zero(t, relay.Sizes{}.Count(relay.DefaultMaxDirect/2, 5))
}

// TestFanoutDoesNotGrowWithFleet guards against a relay whose connections and messages grow with the
// number of nodes.
func TestFanoutDoesNotGrowWithFleet(t *testing.T) {
	for _, n := range []int{300, 1000, 2000} {
		list, nodes := fleet(n)
		relays := relay.Assign(relay.Capable(list, 0.8), nil, nodes, relay.Sizes{}.Count(n, 0))
		require.Len(t, relays, (n+relay.DefaultFanout-1)/relay.DefaultFanout)
		children := map[string]int{}
		for _, c := range list {
			children[relay.Order(relays, c.Node, c.DataCentre)[0].Node]++
		}
		for r, count := range children {
			require.LessOrEqual(t, count, 3*relay.DefaultFanout, "%s of %d nodes", r, n)
		}
	}
}

func TestAssignedRelaysStay(t *testing.T) {
	list, nodes := fleet(1000)
	capable := relay.Capable(list, 0.8)
	before := relay.Assign(capable, nil, nodes, 20)
	require.Equal(t, before, relay.Assign(capable, before, nodes, 20))
	more := relay.Assign(capable, before, nodes, 31)
	require.Subset(t, more, before)

	lost := before[7].Node
	var rest []relay.Candidate
	for _, c := range capable {
		if c.Node != lost {
			rest = append(rest, c)
		}
	}
	after := relay.Assign(rest, before, nodes, 20)
	require.Len(t, after, 20)
	require.NotContains(t, after, before[7])
	changed := 0
	for _, c := range list {
		if o := relay.Order(before, c.Node, c.DataCentre)[0]; o != relay.Order(after, c.Node, c.DataCentre)[0] {
			changed++
		}
	}
	require.Less(t, changed, len(list)/8, "few nodes change their relay")
}

func TestOrderBeginsWithOwnDataCentre(t *testing.T) {
	list, nodes := fleet(1000)
	relays := relay.Assign(relay.Capable(list, 0.8), nil, nodes, 31)
	second := map[string]int{}
	for _, c := range list {
		order := relay.Order(relays, c.Node, c.DataCentre)
		require.Len(t, order, 31)
		require.Equal(t, c.DataCentre, order[0].DataCentre)
		if order[0] == relays[0] {
			second[order[1].Node]++
		}
	}
	require.Greater(t, len(second), 1, "the nodes of a lost relay spread over several others")
}

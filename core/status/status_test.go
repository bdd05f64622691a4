package status_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/status"
)

func TestBehind(t *testing.T) {
	r := status.Report{Nodes: []status.Node{
		{Name: "a", State: status.Live, ConfigVersion: 4},
		{Name: "b", State: status.Live, ConfigVersion: 3},
		{Name: "c", State: status.Silent},
		{Name: "d", State: status.Leaving, ConfigVersion: 3},
		{Name: "e", State: status.Live, ConfigVersion: 5},
	}}
	require.Equal(t, []status.Node{r.Nodes[1]}, r.Behind(4))
	require.Empty(t, r.Behind(3))
}

func TestMergeOrdersEvents(t *testing.T) {
	event := func(node string, sequence uint64, at int64) status.Event {
		return status.Event{Node: node, Sequence: sequence, AtUnixMS: at}
	}
	a := status.Explanation{RequestID: "r", Events: []status.Event{event("a", 1, 10), event("a", 2, 5), event("a", 3, 30)}}
	b := status.Explanation{RequestID: "r", Events: []status.Event{event("b", 9, 20)}}
	other := status.Explanation{RequestID: "s", Events: []status.Event{event("c", 1, 1)}}
	m := status.Merge("r", a, b, a, other)
	require.Equal(t, []status.Event{event("a", 1, 10), event("a", 2, 10), event("b", 9, 20), event("a", 3, 30)}, m.Events,
		"no duplicates, and events of one node keep their order although its clock was set back")
}

package departure_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/departure"
	"guavapaddle/core/fleet"
)

func TestAnnouncementOverridesList(t *testing.T) {
	var s departure.Set
	list := []fleet.Server{{ID: "a", StartedAtMS: 1}, {ID: "b", StartedAtMS: 1}, {ID: "c", Leaving: true}}
	require.Empty(t, s.Undeclared(list))
	require.Equal(t, list, s.MarkLeaving(list))
	require.True(t, s.Add(departure.Incarnation{ID: "b", Born: 1}))
	require.False(t, s.Add(departure.Incarnation{ID: "b", Born: 1}))
	got := s.MarkLeaving(list)
	require.False(t, got[0].Leaving)
	require.True(t, got[1].Leaving)
	require.True(t, got[2].Leaving)
	require.False(t, list[1].Leaving, "the list itself isn't modified")
	require.Equal(t, []departure.Incarnation{{ID: "b", Born: 1}}, s.Undeclared(list))
	require.False(t, s.MarkLeaving([]fleet.Server{{ID: "b", StartedAtMS: 2}})[0].Leaving, "the server has restarted")
	require.Empty(t, s.MarkLeaving(nil))
}

func TestOldestIncarnationsAreForgotten(t *testing.T) {
	var s departure.Set
	for i := range 5000 {
		s.Add(departure.Incarnation{ID: fmt.Sprint(i)})
	}
	require.False(t, s.MarkLeaving([]fleet.Server{{ID: "0"}})[0].Leaving)
	require.True(t, s.MarkLeaving([]fleet.Server{{ID: "4999"}})[0].Leaving)
}

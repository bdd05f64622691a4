package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/roster"
)

func TestOnlyUnchangedRowsExpire(t *testing.T) {
	var w roster.Watch
	now := 5 * time.Hour
	require.Empty(t, w.Gone(now, map[string]int64{"old": 3, "live": 4}), "a new watch must consider no row expired")
	for v := int64(5); v < 8; v++ {
		now += roster.Refresh
		require.Empty(t, w.Gone(now, map[string]int64{"old": 3, "live": v, "new": 2}))
	}
	now += roster.Refresh
	require.Equal(t, []string{"old"}, w.Gone(now, map[string]int64{"old": 3, "live": 9, "new": 2}))
	require.Equal(t, []string{"old"}, w.Gone(now, map[string]int64{"old": 3, "live": 9, "new": 2}), "the row stays expired until it is removed")
	require.Empty(t, w.Gone(now, map[string]int64{"live": 9}))
	require.Empty(t, w.Gone(now+time.Hour, map[string]int64{"old": 3}), "a row that reappears is new")
}

func TestNodeMayMissTwoRefreshes(t *testing.T) {
	var w roster.Watch
	w.Gone(0, map[string]int64{"a": 1})
	require.Empty(t, w.Gone(3*roster.Refresh, map[string]int64{"a": 1}))
	require.Empty(t, w.Gone(4*roster.Refresh, map[string]int64{"a": 2}))
}

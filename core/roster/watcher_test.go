package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/roster"
)

func TestOnlyUnchangedRowsExpire(t *testing.T) {
	var w roster.Watcher
	now := 5 * time.Hour
	require.Empty(t, w.Expired(now, map[string]int64{"old": 3, "live": 4}), "a new watch must consider no row expired")
	for v := int64(5); v < 8; v++ {
		now += roster.Refresh
		require.Empty(t, w.Expired(now, map[string]int64{"old": 3, "live": v, "new": 2}))
	}
	now += roster.Refresh
	require.Equal(t, []string{"old"}, w.Expired(now, map[string]int64{"old": 3, "live": 9, "new": 2}))
	require.Equal(t, []string{"old"}, w.Expired(now, map[string]int64{"old": 3, "live": 9, "new": 2}), "the row stays expired until it is removed")
	require.Empty(t, w.Expired(now, map[string]int64{"live": 9}))
	require.Empty(t, w.Expired(now+time.Hour, map[string]int64{"old": 3}), "a row that reappears is new")
}

func TestNodeMayMissTwoRefreshes(t *testing.T) {
	var w roster.Watcher
	w.Expired(0, map[string]int64{"a": 1})
	require.Empty(t, w.Expired(3*roster.Refresh, map[string]int64{"a": 1}))
	require.Empty(t, w.Expired(4*roster.Refresh, map[string]int64{"a": 2}))
}

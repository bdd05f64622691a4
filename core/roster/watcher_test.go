package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/revision"
	"guavapaddle/core/roster"
)

// versions holds the versions of rows in the first era.
type versions map[string]int64

// revisions returns the revisions of the rows.
func (v versions) revisions() map[string]revision.Revision {
	out := map[string]revision.Revision{}
	for key, number := range v {
		out[key] = revision.Revision{Number: number}
	}
	return out
}

func TestOnlyUnchangedRowsExpire(t *testing.T) {
	var w roster.Watcher
	now := 5 * time.Hour
	require.Empty(t, w.Expired(now, versions{"old": 3, "live": 4}.revisions()), "a new watch must consider no row expired")
	for v := int64(5); v < 8; v++ {
		now += roster.Refresh
		require.Empty(t, w.Expired(now, versions{"old": 3, "live": v, "new": 2}.revisions()))
	}
	now += roster.Refresh
	require.Equal(t, []string{"old"}, w.Expired(now, versions{"old": 3, "live": 9, "new": 2}.revisions()))
	require.Equal(t, []string{"old"}, w.Expired(now, versions{"old": 3, "live": 9, "new": 2}.revisions()), "the row stays expired until it is removed")
	require.Empty(t, w.Expired(now, versions{"live": 9}.revisions()))
	require.Empty(t, w.Expired(now+time.Hour, versions{"old": 3}.revisions()), "a row that reappears is new")
}

func TestNodeMayMissTwoRefreshes(t *testing.T) {
	var w roster.Watcher
	w.Expired(0, versions{"a": 1}.revisions())
	require.Empty(t, w.Expired(3*roster.Refresh, versions{"a": 1}.revisions()))
	require.Empty(t, w.Expired(4*roster.Refresh, versions{"a": 2}.revisions()))
}

// TestRowOfLaterEraIsNew guards against a live node's row that expires because a restored store has
// assigned its version a second time.
func TestRowOfLaterEraIsNew(t *testing.T) {
	var w roster.Watcher
	w.Expired(0, map[string]revision.Revision{"a": {Number: 7}})
	require.Empty(t, w.Expired(roster.MaxAge, map[string]revision.Revision{"a": {Era: 1, Number: 7}}))
	require.Equal(t, []string{"a"}, w.Expired(2*roster.MaxAge, map[string]revision.Revision{"a": {Era: 1, Number: 7}}))
}

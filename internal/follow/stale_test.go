package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/follow"
)

// TestStaleAfterLeavesTimeWithinNotice adds up the longest time without an update, which
// must be below the notice period: the age of a copy that is just not stale, the silence of the
// node that passes it on, and the node's own read of the store.
func TestStaleAfterLeavesTimeWithinNotice(t *testing.T) {
	const read = 420 * time.Millisecond // the first call after a pause, and its response
	for _, c := range []struct{ notice, silence time.Duration }{
		{4 * time.Second, 700 * time.Millisecond},
		{4 * time.Second, 1300 * time.Millisecond},
		{10 * time.Second, 1300 * time.Millisecond},
	} {
		stale := follow.StaleAfter(c.notice, c.silence)
		require.Less(t, stale+c.silence+read, c.notice)
		require.GreaterOrEqual(t, stale, 1300*time.Millisecond)
	}
	require.Equal(t, 1300*time.Millisecond, follow.StaleAfter(0, 700*time.Millisecond), "a working feed returns every second")
}

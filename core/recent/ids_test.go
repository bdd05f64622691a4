package recent_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/recent"
)

// TestMostRecentIDsAreRemembered checks for each number of added ids that exactly the last ones are remembered.
func TestMostRecentIDsAreRemembered(t *testing.T) {
	for _, limit := range []int{0, 1, 3} {
		want := limit
		if want == 0 {
			want = recent.DefaultMax
		}
		ids := recent.IDs{Max: limit}
		require.False(t, ids.Contains(""))
		for added := range 3 * want {
			ids.Add(fmt.Sprint("id-", added))
			for i := range 3 * want {
				require.Equal(t, i <= added && i > added-want, ids.Contains(fmt.Sprint("id-", i)), "id %d after %d, limit %d", i, added, limit)
			}
		}
	}
}

package revision_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/revision"
)

func TestLaterEraFollowsHigherNumber(t *testing.T) {
	old := revision.Revision{Era: 1, Number: 120}
	restored := revision.Revision{Era: 2, Number: 90}
	require.True(t, old.Before(restored))
	require.False(t, restored.Before(old))
	require.False(t, old.Before(old))
	require.True(t, revision.Revision{Era: 1, Number: 119}.Before(old))
	require.Equal(t, restored, revision.Max(old, restored))
	require.Equal(t, restored, revision.Max(restored, old))
	require.True(t, revision.Revision{}.IsZero())
	require.True(t, revision.Revision{}.Before(old))
	require.Equal(t, "2:90", restored.String())
}

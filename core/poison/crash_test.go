package poison_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/poison"
)

func TestBlockMatchesPromptsWithAllItsParts(t *testing.T) {
	t.Parallel()
	b := poison.Block{Parts: parts("a", "b")}
	require.True(t, b.Matches(parts("x", "b", "a")))
	require.False(t, b.Matches(parts("a", "c")))
	require.False(t, b.Matches(nil))
	require.False(t, poison.Block{}.Matches(parts("a")))
	found, ok := poison.FindMatch([]poison.Block{{Parts: parts("z")}, b}, service, parts("a", "b"))
	require.True(t, ok)
	require.Equal(t, b, found)
}

func TestLongIDsAreShortened(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 5000)
	require.Less(t, len(poison.PartOf(long)), 40)
	require.Equal(t, poison.PartOf(long), poison.PartOf(long))
	require.NotEqual(t, poison.PartOf(long), poison.PartOf(long+"y"))
	require.Equal(t, poison.Part("5c1e07a2"), poison.PartOf("5c1e07a2"))
}

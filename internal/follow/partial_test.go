package follow_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/follow"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// omitsEngines reports whether a server counts as an engine in the tests of partial copies.
func omitsEngines(id string) bool { return strings.HasPrefix(id, "engine-") }

func newStoreWithEngine(t *testing.T) *standin.Store {
	t.Helper()
	s := standin.NewStore(t)
	s.Put(platform.TableOperator, platform.KeyConfig, configOf(1))
	s.Put(platform.TableServers, "engine-1", entry("ready"))
	s.Put(platform.TableServers, "plain-1", entry("ready"))
	return s
}

// TestPartialUpdatesPassOn checks what a node learns from the relay that it uses, and that a node which gets a
// whole copy afterwards doesn't take its partial one for complete.
func TestPartialUpdatesPassOn(t *testing.T) {
	t.Parallel()
	s := newStoreWithEngine(t)
	omit := func(f *follow.Follower) { f.Omit = omitsEngines }
	relay := startAdjustedNode(t, s, omit)
	eventually(t, "start", func() bool { return relay.has("engine-1") && relay.version() == 1 })
	empty := standin.NewStore(t)
	child := startNode(t, empty, func() bool { return true })
	eventually(t, "both tables are read", func() bool { return empty.Calls("/rows-get") == 2 })
	update := func() {
		u := relay.WithOwnConfig(relay.PartialChangesSince(time.Now(), child.Versions()), child.Versions())
		require.True(t, child.ApplyUpdate(time.Now(), u))
	}
	update()
	require.True(t, child.has("plain-1"))
	require.False(t, child.has("engine-1"))
	require.EqualValues(t, 1, child.version())

	s.Put(platform.TableOperator, platform.KeyConfig, configOf(2))
	s.Put(platform.TableServers, "plain-1", entry("draining"))
	s.Put(platform.TableServers, "engine-2", entry("ready"))
	eventually(t, "changes", func() bool { return relay.version() == 2 && relay.leaving("plain-1") && relay.has("engine-2") })
	update()
	require.True(t, child.leaving("plain-1"))
	require.False(t, child.has("engine-2"))
	require.EqualValues(t, 2, child.version())

	require.True(t, child.ApplyUpdate(time.Now(), relay.ChangesSince(time.Now(), child.Versions())))
	require.True(t, child.has("engine-1"))
	require.True(t, child.has("engine-2"))
}

// TestPartialCopyIsNotAppliedWhereWholeOneIsNeeded guards against a leader that has no engines any more: the store
// rejected it, and it got the copy of a node that uses a relay.
func TestPartialCopyIsNotAppliedWhereWholeOneIsNeeded(t *testing.T) {
	t.Parallel()
	s := newStoreWithEngine(t)
	leader := startAdjustedNode(t, s, func(f *follow.Follower) {
		f.Omit, f.HoldsWhole = omitsEngines, func() bool { return true }
	})
	seed := startAdjustedNode(t, s, func(f *follow.Follower) { f.Omit = omitsEngines })
	eventually(t, "start", func() bool { return leader.has("engine-1") && seed.has("engine-1") && seed.version() == 1 })
	c, ok := seed.PartialSnapshot(time.Now())
	require.True(t, ok)
	leader.ApplySnapshot(time.Now(), c, 0)
	require.True(t, leader.has("engine-1"))
	require.True(t, leader.has("plain-1"))
}

// TestPartialCopyIsCompletedWithoutRelay guards against a node that knows no engines although no relay replies
// to it any more.
func TestPartialCopyIsCompletedWithoutRelay(t *testing.T) {
	t.Parallel()
	s := newStoreWithEngine(t)
	n := startAdjustedNode(t, s, func(f *follow.Follower) { f.Omit = omitsEngines })
	eventually(t, "start", func() bool { return n.has("engine-1") })
	u := n.PartialChangesSince(time.Now(), follow.Versions{})
	require.True(t, n.ApplyUpdate(time.Now(), u))
	require.False(t, n.has("engine-1"))
	eventually(t, "read in full", func() bool { return n.has("engine-1") })
}

package follow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/follow"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// inForceBound is how long after its write a configuration or a departure must be known.
const inForceBound = 2 * time.Second

func configOf(version int) []byte { return fmt.Appendf(nil, `{"version":%d}`, version) }

// TestChangesAfterRestoreAreApplied guards against nodes that ignore the store's changes after it was
// restored from a copy, until its versions have passed those from before.
func TestChangesAfterRestoreAreApplied(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		outage   time.Duration // before the store is back
		written  int           // rows written to the restored store before any node calls it
		restores int
	}{
		"versions behind":              {outage: 100 * time.Millisecond, restores: 1},
		"versions past":                {outage: 100 * time.Millisecond, written: 40, restores: 1},
		"without outage":               {restores: 1},
		"after long outage":            {outage: 2500 * time.Millisecond, restores: 1},
		"twice, versions behind":       {outage: 100 * time.Millisecond, restores: 2},
		"twice, then versions past":    {outage: 100 * time.Millisecond, written: 40, restores: 2},
		"nothing lost, as the control": {outage: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := standin.NewStore(t)
			s.Put(platform.TableOperator, platform.KeyConfig, configOf(1))
			s.Put(platform.TableServers, "i-1", entry("ready"))
			s.Put(platform.TableServers, "i-2", entry("ready"))
			n := startNode(t, s, nil)
			eventually(t, "start", func() bool { return n.version() == 1 && n.has("i-1") && n.has("i-2") })
			copied := s.Backup()
			for i := 2; i < 12; i++ {
				s.Put(platform.TableOperator, platform.KeyConfig, configOf(i))
				s.Put(platform.TableServers, "i-2", entry("ready"))
			}
			eventually(t, "lost changes", func() bool { return n.version() == 11 })
			change := func() {
				s.Put(platform.TableOperator, platform.KeyConfig, configOf(12))
				s.Put(platform.TableServers, "i-1", entry("draining"))
				s.Put(platform.TableServers, "i-3", entry("ready"))
			}
			for range c.restores {
				s.Outage(c.outage > 0)
				<-time.After(c.outage)
				s.Restore(copied)
				change()
				for i := range c.written {
					s.Put("other", fmt.Sprint(i), nil)
				}
				s.Outage(false)
			}
			if c.restores == 0 {
				change()
			}
			require.Eventually(t, func() bool { return n.version() == 12 && n.leaving("i-1") && n.has("i-3") }, inForceBound, time.Millisecond,
				"version %d", n.version())
			require.True(t, n.has("i-2"))
		})
	}
}

// TestRestoreDoesNotCauseEndlessReads guards against a node that reads its tables in full again and
// again because the restored store lacks the versions that the node has.
func TestRestoreDoesNotCauseEndlessReads(t *testing.T) {
	t.Parallel()
	s := standin.NewStore(t)
	s.Put(platform.TableOperator, platform.KeyConfig, configOf(1))
	n := startAdjustedNode(t, s, func(f *follow.Follower) { f.Role = func() follow.Role { return follow.Leader } })
	eventually(t, "start", func() bool { return n.version() == 1 })
	copied := s.Backup()
	s.Put(platform.TableOperator, platform.KeyConfig, configOf(2))
	eventually(t, "lost change", func() bool { return n.version() == 2 })
	s.Restore(copied)
	before := s.Calls("/rows-get")
	<-time.After(2 * time.Second)
	require.LessOrEqual(t, s.Calls("/rows-get")-before, 4, "two tables, each read at most twice")
}

// TestRestoredEntryIsWithheldUntilWrittenAgain checks what becomes of the entry of a server that was gone
// before the store was restored: it is used once the server has written it again, or once the store would
// have removed it if the server were silent. Other nodes withhold it too.
func TestRestoredEntryIsWithheldUntilWrittenAgain(t *testing.T) {
	t.Parallel()
	const heartbeat = 300 * time.Millisecond
	for name, again := range map[string]bool{"written again": true, "kept by heartbeats": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := standin.NewStore(t)
			s.Put(platform.TableServers, "i-1", entry("ready"))
			s.Put(platform.TableServers, "i-2", entry("ready"))
			n := startAdjustedNode(t, s, func(f *follow.Follower) { f.Heartbeat = heartbeat })
			other := startNode(t, s, func() bool { return true })
			eventually(t, "start", func() bool { return n.has("i-1") && n.has("i-2") && other.has("i-1") })
			copied := s.Backup()
			s.Drop(platform.TableServers, "i-1")
			eventually(t, "gone", func() bool { return !n.has("i-1") })
			s.Restore(copied)
			restored := time.Now()
			s.Put(platform.TableServers, "i-3", entry("ready"))
			eventually(t, "the restored table is known", func() bool { return n.has("i-3") })
			other.ApplyUpdate(time.Now(), n.ChangesSince(time.Now(), other.Versions()))
			require.True(t, other.has("i-3"))
			require.False(t, n.has("i-1"))
			require.False(t, other.has("i-1"), "it didn't learn of the removal before the restore")
			if again {
				s.Put(platform.TableServers, "i-1", entry("ready"))
			}
			eventually(t, "used again", func() bool { return n.has("i-1") })
			if !again {
				require.GreaterOrEqual(t, time.Since(restored), 3*heartbeat, "the store needs that long to remove it again")
			}
			other.ApplyUpdate(time.Now(), n.ChangesSince(time.Now(), other.Versions()))
			eventually(t, "used again by the other node", func() bool { return other.has("i-1") })
		})
	}
}

// TestStoreThatIsBehindConfirmsNothing guards against a configuration that counts as the newest, and with
// it API keys that were revoked, because a restored store shows it again.
func TestStoreThatIsBehindConfirmsNothing(t *testing.T) {
	t.Parallel()
	s := standin.NewStore(t)
	s.Put(platform.TableOperator, platform.KeyConfig, configOf(1))
	n := startAdjustedNode(t, s, func(f *follow.Follower) { f.Role = func() follow.Role { return follow.Leader } })
	eventually(t, "start", func() bool { return n.version() == 1 })
	copied := s.Backup()
	s.Put(platform.TableOperator, platform.KeyConfig, configOf(2))
	eventually(t, "lost change", func() bool { return n.version() == 2 })
	s.Restore(copied)
	restored := time.Now()
	s.Put(platform.TableServers, "i-1", entry("ready"))
	eventually(t, "the restored store is known", func() bool { return n.has("i-1") })
	for time.Since(restored) < 3*time.Second {
		require.EqualValues(t, 2, n.version())
		require.GreaterOrEqual(t, n.ConfigAge()+100*time.Millisecond, time.Since(restored))
		<-time.After(20 * time.Millisecond)
	}
	s.Put(platform.TableOperator, platform.KeyConfig, configOf(2))
	eventually(t, "confirmed", func() bool { return n.ConfigAge() < 2*time.Second })
}

// TestRestoreEndsUnansweredFeed guards against a node that learns of a restore only when a feed call times
// out which the store left unanswered at the moment of the restore: entries that the copy lacks were used
// for 3.2 s after their servers had gone. Any other response of the store shows the restore.
func TestRestoreEndsUnansweredFeed(t *testing.T) {
	t.Parallel()
	const timely = 300 * time.Millisecond // of the 1.4 s after which the call times out
	for name, learn := range map[string]func(s *standin.Store, n *node){
		"by the other table": func(s *standin.Store, _ *node) {
			s.Put(platform.TableOperator, platform.KeyConfig, configOf(3))
		},
		"by another call": func(_ *standin.Store, n *node) { n.ObserveEra(1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := standin.NewStore(t)
			s.Put(platform.TableOperator, platform.KeyConfig, configOf(1))
			s.Put(platform.TableServers, "i-1", entry("ready"))
			n := startAdjustedNode(t, s, func(f *follow.Follower) { f.Role = func() follow.Role { return follow.Leader } })
			eventually(t, "start", func() bool { return n.version() == 1 && n.has("i-1") })
			s.HangFeeds(platform.TableServers, 1)
			eventually(t, "a feed gets no response", func() bool { return s.HungFeeds() == 1 })
			s.Restore(s.Backup())
			s.Put(platform.TableServers, "i-2", entry("ready"))
			learn(s, n)
			require.Eventually(t, func() bool { return n.has("i-2") }, timely, time.Millisecond)
		})
	}
}

// TestUpdateOfEarlierEraIsIgnored guards against a node that takes an entry, or a configuration, from another node which
// hasn't seen yet that the store was restored.
func TestUpdateOfEarlierEraIsIgnored(t *testing.T) {
	t.Parallel()
	s := standin.NewStore(t)
	s.Put(platform.TableOperator, platform.KeyConfig, configOf(1))
	s.Put(platform.TableServers, "i-1", entry("ready"))
	n := startNode(t, s, nil)
	eventually(t, "start", func() bool { return n.version() == 1 && n.has("i-1") })
	copied := s.Backup()
	s.Put(platform.TableServers, "i-2", entry("ready"))
	eventually(t, "lost change", func() bool { return n.has("i-2") })
	late := n.ChangesSince(time.Now(), follow.Versions{})
	s.Restore(copied)
	s.Put(platform.TableServers, "i-1", entry("draining"))
	s.Put(platform.TableServers, "i-3", entry("ready"))
	eventually(t, "the restored table is known", func() bool { return n.has("i-3") && n.leaving("i-1") && !n.has("i-2") })
	late.Whole = true
	require.False(t, n.ApplyUpdate(time.Now(), late))
	require.True(t, n.has("i-3"))
	require.True(t, n.leaving("i-1"))
	require.False(t, n.has("i-2"))
}

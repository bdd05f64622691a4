package follow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/core/revision"
	"guavapaddle/internal/follow"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/io/jsonhttp"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// node is a follower that records the last calls of OnConfig and OnServers.
type node struct {
	*follow.Follower

	mu      sync.Mutex
	config  int64
	servers map[string]fleet.Server
}

func startNode(t testing.TB, s *standin.Store, hasFeed func() bool) *node {
	t.Helper()
	return startAdjustedNode(t, s, func(f *follow.Follower) { f.HasFeed = hasFeed })
}

func startAdjustedNode(t testing.TB, s *standin.Store, adjust func(*follow.Follower)) *node {
	t.Helper()
	n := &node{}
	n.Follower = &follow.Follower{
		Store: &platform.Store{Client: &jsonhttp.Client{Address: s.Address()}}, Log: zap.NewNop(),
		OnConfig: func(c *fleet.Config) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.config = c.Version()
		},
		OnServers: func(list []fleet.Server) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.servers = map[string]fleet.Server{}
			for _, f := range list {
				n.servers[f.ID] = f
			}
		},
	}
	adjust(n.Follower)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		await.Value(t, done, "the follower's end")
	})
	return n
}

func (n *node) has(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.servers[id]
	return ok
}

func (n *node) leaving(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers[id].Leaving
}

func (n *node) version() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config
}

func entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":%q,"seq":1}`, state)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 5*time.Second, time.Millisecond, what)
}

// outage makes the store unreachable for so long that entries expire in it, which they do
// after three intervals of 1.2 s without a heartbeat.
func outage(t *testing.T, s *standin.Store) {
	t.Helper()
	s.Outage(true)
	began, calls := time.Now(), s.Calls("/rows-feed")
	eventually(t, "the outage is detected", func() bool {
		return s.Calls("/rows-feed") > calls+6 && time.Since(began) > 2500*time.Millisecond
	})
}

func TestChangesAreAppliedInOrderAndUnreadableOnesIgnored(t *testing.T) {
	s := standin.NewStore(t)
	n := startNode(t, s, nil)
	s.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":5}`))
	eventually(t, "first", func() bool { return n.version() == 5 })
	s.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":`))
	s.Put(platform.TableServers, "i-1", entry("ready"))
	eventually(t, "server", func() bool { return n.has("i-1") })
	require.EqualValues(t, 5, n.version(), "the last readable one stays in force")
	s.Put(platform.TableServers, "i-1", entry("draining"))
	eventually(t, "leaving", func() bool { return n.leaving("i-1") })
	s.Drop(platform.TableServers, "i-1")
	eventually(t, "gone", func() bool { return !n.has("i-1") })
}

func TestTableIsReadInFullAfterHistoryIsGone(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	s.Put(platform.TableServers, "i-2", entry("ready"))
	n := startNode(t, s, nil)
	eventually(t, "both", func() bool { return n.has("i-1") && n.has("i-2") })
	s.Outage(true)
	s.Drop(platform.TableServers, "i-1")
	s.Put(platform.TableServers, "i-3", entry("ready"))
	s.Compact()
	s.Outage(false)
	eventually(t, "new", func() bool { return n.has("i-3") })
	eventually(t, "old", func() bool { return !n.has("i-1") })
	require.True(t, n.has("i-2"))
}

func TestEntriesExpiredInOutageAreKeptForGrace(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	s.Put(platform.TableServers, "i-2", entry("ready"))
	n := startNode(t, s, nil)
	eventually(t, "both", func() bool { return n.has("i-1") && n.has("i-2") })
	outage(t, s)
	require.True(t, n.has("i-1"), "known servers stay in use")
	s.Drop(platform.TableServers, "i-1")
	s.Drop(platform.TableServers, "i-2")
	s.Outage(false)
	outageEnd := time.Now()
	s.Put(platform.TableServers, "i-3", entry("ready"))
	eventually(t, "contact", func() bool { return n.has("i-3") })
	require.True(t, n.has("i-1") && n.has("i-2"), "they may come back")
	s.Put(platform.TableServers, "i-2", entry("ready"))
	eventually(t, "a missing entry is dropped after MissingGrace", func() bool { return !n.has("i-1") })
	require.WithinDuration(t, outageEnd.Add(follow.MissingGrace), time.Now(), 1500*time.Millisecond)
	require.True(t, n.has("i-2"))
}

func TestNodeWithFeedReadsOnlyConfigurationFromStore(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	s.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":5}`))
	leader := startNode(t, s, nil)
	n := startNode(t, s, func() bool { return true })
	eventually(t, "start", func() bool { return n.has("i-1") && n.version() == 5 && leader.has("i-1") })
	s.Put(platform.TableServers, "i-2", entry("ready"))
	s.Put(platform.TableServers, "i-1", entry("draining"))
	s.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":6}`))
	eventually(t, "leader", func() bool { return leader.leaving("i-1") && leader.version() == 6 })
	require.EqualValues(t, 5, n.version())
	n.ApplyUpdate(time.Now(), leader.ChangesSince(time.Now(), n.Versions()))
	require.True(t, n.has("i-2") && n.leaving("i-1"))
	eventually(t, "configuration", func() bool { return n.version() == 6 })
	s.Drop(platform.TableServers, "i-2")
	eventually(t, "gone at the leader", func() bool { return !leader.has("i-2") })
	n.ApplyUpdate(time.Now(), leader.ChangesSince(time.Now(), n.Versions()))
	require.False(t, n.has("i-2"))
	n.ApplyUpdate(time.Now(), follow.Update{Servers: []platform.Row{{Table: platform.TableServers, Key: "i-1", Version: 2, Value: entry("ready")}}, Version: revision.Revision{Number: 2}})
	require.True(t, n.leaving("i-1"), "an older row never replaces a newer one")
}

func TestDeputyUpdatesLeaderWithoutStoreContact(t *testing.T) {
	leaderStore, s := standin.NewStore(t), standin.NewStore(t)
	for _, x := range []*standin.Store{leaderStore, s} {
		x.Put(platform.TableServers, "i-1", entry("ready"))
		x.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":5}`))
	}
	leader, deputy := startNode(t, leaderStore, nil), startNode(t, s, nil)
	eventually(t, "start", func() bool {
		return leader.version() == 5 && leader.has("i-1") && deputy.version() == 5 && deputy.has("i-1")
	})
	leaderStore.Outage(true)
	eventually(t, "the leader's own contact is old", func() bool { return leader.StoreAge(time.Now()) > 1500*time.Millisecond })
	s.Put(platform.TableServers, "i-1", entry("draining"))
	s.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":6}`))
	eventually(t, "deputy", func() bool { return deputy.leaving("i-1") && deputy.version() == 6 })
	u := deputy.ChangesSince(time.Now(), leader.Versions())
	leader.ApplyUpdate(time.Now(), u)
	require.True(t, leader.leaving("i-1"))
	require.LessOrEqual(t, leader.Age(time.Now()), u.Age+time.Second, "its copy is as young as the deputy's")
	require.Greater(t, leader.StoreAge(time.Now()), 1500*time.Millisecond)
	require.Equal(t, u.Operator, leader.ChangesSince(time.Now(), follow.Versions{}).Operator, "it announces a configuration that it can't read")
}

func TestNodeWithFeedKeepsMissingEntriesAsLongAsLeader(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	n := startNode(t, s, func() bool { return true })
	eventually(t, "start", func() bool { return n.has("i-1") })
	gone := platform.Row{Table: platform.TableServers, Key: "i-1", Version: 100, Gone: true}
	began := time.Now()
	n.ApplyUpdate(began, follow.Update{Servers: []platform.Row{gone}, Version: revision.Revision{Number: 100}, Grace: 500 * time.Millisecond})
	require.True(t, n.has("i-1"), "the store has just come back")
	eventually(t, "gone", func() bool { return !n.has("i-1") })
	require.GreaterOrEqual(t, time.Since(began), 500*time.Millisecond)
}

func TestFeedCallsAreSpacedDespiteFrequentChanges(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-0", entry("ready"))
	n := startNode(t, s, nil)
	eventually(t, "start", func() bool { return n.has("i-0") })
	began := time.Now()
	for i := 1; i <= 4; i++ {
		name := fmt.Sprint("i-", i)
		s.Put(platform.TableServers, name, entry("ready"))
		eventually(t, name, func() bool { return n.has(name) })
	}
	require.GreaterOrEqual(t, time.Since(began), time.Second, "three pauses of 0.4 s")
}

func TestOldCopyOfAnotherNodeDoesNotHideOutage(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	n := startNode(t, s, nil)
	eventually(t, "start", func() bool { return n.has("i-1") })
	outage(t, s)
	n.ApplyUpdate(time.Now(), follow.Update{Age: 4 * time.Second}) // of the leader, which can't read the store either
	s.Drop(platform.TableServers, "i-1")
	s.Outage(false)
	s.Put(platform.TableServers, "i-2", entry("ready"))
	eventually(t, "contact", func() bool { return n.has("i-2") })
	require.True(t, n.has("i-1"), "it may come back")
}

// TestRemovedServerIsNotRestoredByOlderCopy guards against requests to a server
// whose entry is gone. A node reads the removal from the store itself while there is no
// leader; then the first reply of the new leader, whose copy is older, still has the
// entry, and no later change would remove it.
func TestRemovedServerIsNotRestoredByOlderCopy(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	s.Put(platform.TableServers, "i-2", entry("ready"))
	n := startNode(t, s, nil)
	eventually(t, "both", func() bool { return n.has("i-1") && n.has("i-2") })
	old := s.Row(platform.TableServers, "i-1")
	s.Drop(platform.TableServers, "i-1")
	eventually(t, "gone", func() bool { return !n.has("i-1") })
	n.ApplyUpdate(time.Now(), follow.Update{Servers: []platform.Row{old}, Version: old.Revision()})
	require.False(t, n.has("i-1"), "from an update")
	n.ApplySnapshot(time.Now(), follow.Snapshot{Servers: []platform.Row{old}, Version: old.Revision()}, 0)
	require.False(t, n.has("i-1"), "from a full copy")
	s.Put(platform.TableServers, "i-1", entry("ready"))
	eventually(t, "a newer entry is applied", func() bool { return n.has("i-1") })
}

// TestMissingEntryIsNotRenewedByOlderCopy guards against a missing entry that is
// kept after MissingGrace. It expires in an outage, and another node's reply from before the outage
// still has it, which doesn't show that its server lives.
func TestMissingEntryIsNotRenewedByOlderCopy(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	n := startNode(t, s, nil)
	eventually(t, "there", func() bool { return n.has("i-1") })
	old := s.Row(platform.TableServers, "i-1")
	outage(t, s)
	s.Drop(platform.TableServers, "i-1")
	s.Put(platform.TableServers, "i-2", entry("ready"))
	s.Outage(false)
	eventually(t, "contact", func() bool { return n.has("i-2") })
	require.True(t, n.has("i-1"), "it may come back")
	n.ApplyUpdate(time.Now(), follow.Update{Servers: []platform.Row{old}, Version: old.Revision()})
	eventually(t, "it is dropped", func() bool { return !n.has("i-1") })
}

// TestLostCallIsNotAnOutage guards against requests to servers that have been
// gone for three seconds, in a simulated run without any outage. One call to the store gets no
// response, and a server's entry is removed meanwhile. If the node takes the next response for
// the end of an outage, it keeps the missing entry for MissingGrace.
func TestLostCallIsNotAnOutage(t *testing.T) {
	const drain = 2 * time.Second // how long a server that is gone may still get requests
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	s.Put(platform.TableServers, "i-2", entry("ready"))
	n := startNode(t, s, nil)
	eventually(t, "both", func() bool { return n.has("i-1") && n.has("i-2") })
	s.HangFeeds(platform.TableServers, 1)
	eventually(t, "a feed hangs", func() bool { return s.HungFeeds() > 0 })
	s.Drop(platform.TableServers, "i-1")
	gone := time.Now()
	eventually(t, "it is gone here", func() bool { return !n.has("i-1") })
	require.Less(t, time.Since(gone), drain)
	require.True(t, n.has("i-2"))
}

// BenchmarkChange measures the update of one entry among many.
func BenchmarkChange(b *testing.B) {
	for _, servers := range []int{16, 265, 600, 4000, 8000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			s := standin.NewStore(b)
			for i := range servers {
				s.Put(platform.TableServers, fmt.Sprint("i-", i), entry("ready"))
			}
			n := startNode(b, s, func() bool { return true })
			last := fmt.Sprint("i-", servers-1)
			require.Eventually(b, func() bool { return n.has(last) }, 5*time.Second, time.Millisecond)
			r := s.Row(platform.TableServers, last)
			for b.Loop() {
				r.Version++
				n.ApplyUpdate(time.Now(), follow.Update{Servers: []platform.Row{r}, After: revision.Revision{Number: r.Version - 1}, Version: r.Revision()})
			}
		})
	}
}

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
	"guavapaddle/internal/follow"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/io/jsonhttp"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

// node is a follower with what it told last.
type node struct {
	*follow.Follower

	mu      sync.Mutex
	config  int64
	servers map[string]fleet.Server
}

func start(t testing.TB, s *standin.Store, fed func() bool) *node {
	t.Helper()
	n := &node{}
	n.Follower = &follow.Follower{
		Store: &platform.Store{Client: &jsonhttp.Client{Address: s.Address()}}, Log: zap.NewNop(), Fed: fed,
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

// outage takes the store away for so long that entries lapse in it: they do after
// three heartbeats of 1.2 s without one.
func outage(t *testing.T, s *standin.Store) {
	t.Helper()
	s.Outage(true)
	began, calls := time.Now(), s.Calls("/rows-feed")
	eventually(t, "the outage is noticed", func() bool {
		return s.Calls("/rows-feed") > calls+6 && time.Since(began) > 2500*time.Millisecond
	})
}

func TestChangesArriveInOrderAndUnreadableOnesChangeNothing(t *testing.T) {
	s := standin.NewStore(t)
	n := start(t, s, nil)
	s.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":5}`))
	eventually(t, "first", func() bool { return n.version() == 5 })
	s.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":`))
	s.Put(platform.TableServers, "i-1", entry("ready"))
	eventually(t, "server", func() bool { return n.has("i-1") })
	require.EqualValues(t, 5, n.version(), "the last good one stays")
	s.Put(platform.TableServers, "i-1", entry("draining"))
	eventually(t, "leaving", func() bool { return n.leaving("i-1") })
	s.Drop(platform.TableServers, "i-1")
	eventually(t, "gone", func() bool { return !n.has("i-1") })
}

func TestAfterTheHistoryIsGoneTheTableIsReadWhole(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	s.Put(platform.TableServers, "i-2", entry("ready"))
	n := start(t, s, nil)
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

func TestEntriesThatLapsedInAnOutageAreKeptForAMoment(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	s.Put(platform.TableServers, "i-2", entry("ready"))
	n := start(t, s, nil)
	eventually(t, "both", func() bool { return n.has("i-1") && n.has("i-2") })
	outage(t, s)
	require.True(t, n.has("i-1"), "known servers stay in use")
	s.Drop(platform.TableServers, "i-1")
	s.Drop(platform.TableServers, "i-2")
	s.Outage(false)
	back := time.Now()
	s.Put(platform.TableServers, "i-3", entry("ready"))
	eventually(t, "contact", func() bool { return n.has("i-3") })
	require.True(t, n.has("i-1") && n.has("i-2"), "they may come back")
	s.Put(platform.TableServers, "i-2", entry("ready"))
	eventually(t, "missing after the grace is gone", func() bool { return !n.has("i-1") })
	require.WithinDuration(t, back.Add(follow.Grace), time.Now(), 1500*time.Millisecond)
	require.True(t, n.has("i-2"))
}

func TestANodeThatIsFedAsksTheStoreOnlyForTheConfiguration(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	s.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":5}`))
	holder := start(t, s, nil)
	n := start(t, s, func() bool { return true })
	eventually(t, "start", func() bool { return n.has("i-1") && n.version() == 5 && holder.has("i-1") })
	s.Put(platform.TableServers, "i-2", entry("ready"))
	s.Put(platform.TableServers, "i-1", entry("draining"))
	s.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":6}`))
	eventually(t, "holder", func() bool { return holder.leaving("i-1") && holder.version() == 6 })
	require.EqualValues(t, 5, n.version())
	n.Take(time.Now(), holder.Since(time.Now(), n.Known()))
	require.True(t, n.has("i-2") && n.leaving("i-1"))
	eventually(t, "configuration", func() bool { return n.version() == 6 })
	s.Drop(platform.TableServers, "i-2")
	eventually(t, "gone at the holder", func() bool { return !holder.has("i-2") })
	n.Take(time.Now(), holder.Since(time.Now(), n.Known()))
	require.False(t, n.has("i-2"))
	n.Take(time.Now(), follow.Update{Servers: []platform.Row{{Table: platform.TableServers, Key: "i-1", Version: 2, Value: entry("ready")}}, Version: 2})
	require.True(t, n.leaving("i-1"), "an older row never replaces a newer one")
}

func TestADeputyKeepsTheCopyOfAHolderYoungThatTheStoreTurnsAway(t *testing.T) {
	away, s := standin.NewStore(t), standin.NewStore(t)
	for _, x := range []*standin.Store{away, s} {
		x.Put(platform.TableServers, "i-1", entry("ready"))
		x.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":5}`))
	}
	holder, deputy := start(t, away, nil), start(t, s, nil)
	eventually(t, "start", func() bool {
		return holder.version() == 5 && holder.has("i-1") && deputy.version() == 5 && deputy.has("i-1")
	})
	away.Outage(true)
	eventually(t, "the holder's own contact grows old", func() bool { return holder.Contact(time.Now()) > 1500*time.Millisecond })
	s.Put(platform.TableServers, "i-1", entry("draining"))
	s.Put(platform.TableOperator, platform.KeyConfig, []byte(`{"version":6}`))
	eventually(t, "deputy", func() bool { return deputy.leaving("i-1") && deputy.version() == 6 })
	u := deputy.Since(time.Now(), holder.Known())
	holder.Take(time.Now(), u)
	require.True(t, holder.leaving("i-1"))
	require.LessOrEqual(t, holder.Age(time.Now()), u.Age+time.Second, "its copy is as young as the deputy's")
	require.Greater(t, holder.Contact(time.Now()), 1500*time.Millisecond)
	require.Equal(t, u.Operator, holder.Since(time.Now(), follow.Known{}).Operator, "it tells of a configuration that it can't read")
}

func TestANodeThatIsFedKeepsEntriesAsLongAsTheHolder(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	n := start(t, s, func() bool { return true })
	eventually(t, "start", func() bool { return n.has("i-1") })
	gone := platform.Row{Table: platform.TableServers, Key: "i-1", Version: 100, Gone: true}
	began := time.Now()
	n.Take(began, follow.Update{Servers: []platform.Row{gone}, Version: 100, Grace: 500 * time.Millisecond})
	require.True(t, n.has("i-1"), "the store has just come back")
	eventually(t, "gone", func() bool { return !n.has("i-1") })
	require.GreaterOrEqual(t, time.Since(began), 500*time.Millisecond)
}

func TestAFeedThatChangesOftenIsNotAskedAtEachChange(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-0", entry("ready"))
	n := start(t, s, nil)
	eventually(t, "start", func() bool { return n.has("i-0") })
	began := time.Now()
	for i := 1; i <= 4; i++ {
		name := fmt.Sprint("i-", i)
		s.Put(platform.TableServers, name, entry("ready"))
		eventually(t, name, func() bool { return n.has(name) })
	}
	require.GreaterOrEqual(t, time.Since(began), time.Second, "three pauses of 0.4 s")
}

func TestAnOldCopyOfAnotherNodeDoesNotHideAnOutage(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	n := start(t, s, nil)
	eventually(t, "start", func() bool { return n.has("i-1") })
	outage(t, s)
	n.Take(time.Now(), follow.Update{Age: 4 * time.Second}) // as the holder has it, which can't read the store either
	s.Drop(platform.TableServers, "i-1")
	s.Outage(false)
	s.Put(platform.TableServers, "i-2", entry("ready"))
	eventually(t, "contact", func() bool { return n.has("i-2") })
	require.True(t, n.has("i-1"), "it may come back")
}

// TestAServerThatIsGoneDoesNotComeBackFromAnOlderCopy: requests went to a server long
// after its entry was gone. A node had read the removal from the store itself, while
// nobody held the lease; then the first answer of the new holder came, which was older
// and still had the entry. No later change ever removed it.
func TestAServerThatIsGoneDoesNotComeBackFromAnOlderCopy(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	s.Put(platform.TableServers, "i-2", entry("ready"))
	n := start(t, s, nil)
	eventually(t, "both", func() bool { return n.has("i-1") && n.has("i-2") })
	old := s.Row(platform.TableServers, "i-1")
	s.Drop(platform.TableServers, "i-1")
	eventually(t, "gone", func() bool { return !n.has("i-1") })
	n.Take(time.Now(), follow.Update{Servers: []platform.Row{old}, Version: old.Version})
	require.False(t, n.has("i-1"), "by an update")
	n.Load(time.Now(), follow.Copy{Servers: []platform.Row{old}, Version: old.Version}, 0)
	require.False(t, n.has("i-1"), "by a whole copy")
	s.Put(platform.TableServers, "i-1", entry("ready"))
	eventually(t, "a newer entry counts", func() bool { return n.has("i-1") })
}

// TestAnEntryKeptForAMomentIsNotRenewedByAnOlderCopy has an entry lapse in an outage.
// While it is kept for a moment, another node's answer that is older than the outage
// still has it: that is no sign that its server lives.
func TestAnEntryKeptForAMomentIsNotRenewedByAnOlderCopy(t *testing.T) {
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	n := start(t, s, nil)
	eventually(t, "there", func() bool { return n.has("i-1") })
	old := s.Row(platform.TableServers, "i-1")
	outage(t, s)
	s.Drop(platform.TableServers, "i-1")
	s.Put(platform.TableServers, "i-2", entry("ready"))
	s.Outage(false)
	eventually(t, "contact", func() bool { return n.has("i-2") })
	require.True(t, n.has("i-1"), "it may come back")
	n.Take(time.Now(), follow.Update{Servers: []platform.Row{old}, Version: old.Version})
	eventually(t, "it doesn't", func() bool { return !n.has("i-1") })
}

// TestALostCallIsNoOutageInWhichEntriesLapse: requests went to servers that had been gone
// for three seconds, on a day without any outage. One call to the store got no answer,
// and a server was gone meanwhile. The node took its next answer for the store's return,
// after which entries that lapsed are kept for a moment, and kept the server.
func TestALostCallIsNoOutageInWhichEntriesLapse(t *testing.T) {
	const drain = 2 * time.Second // within which a server that is gone gets no more requests
	s := standin.NewStore(t)
	s.Put(platform.TableServers, "i-1", entry("ready"))
	s.Put(platform.TableServers, "i-2", entry("ready"))
	n := start(t, s, nil)
	eventually(t, "both", func() bool { return n.has("i-1") && n.has("i-2") })
	s.HangFeeds(platform.TableServers, 1)
	eventually(t, "a feed hangs", func() bool { return s.Hung() > 0 })
	s.Drop(platform.TableServers, "i-1")
	gone := time.Now()
	eventually(t, "it is gone here", func() bool { return !n.has("i-1") })
	require.Less(t, time.Since(gone), drain)
	require.True(t, n.has("i-2"))
}

// BenchmarkChange takes in one changed entry beside many others.
func BenchmarkChange(b *testing.B) {
	for _, servers := range []int{16, 265, 600} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			s := standin.NewStore(b)
			for i := range servers {
				s.Put(platform.TableServers, fmt.Sprint("i-", i), entry("ready"))
			}
			n := start(b, s, func() bool { return true })
			last := fmt.Sprint("i-", servers-1)
			require.Eventually(b, func() bool { return n.has(last) }, 5*time.Second, time.Millisecond)
			r := s.Row(platform.TableServers, last)
			for b.Loop() {
				r.Version++
				n.Take(time.Now(), follow.Update{Servers: []platform.Row{r}, After: r.Version - 1, Version: r.Version})
			}
		})
	}
}

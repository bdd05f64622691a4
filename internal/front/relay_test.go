package front_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"guavapaddle/core/leader"
	"guavapaddle/internal/front"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const (
	relayedNodes = 9
	relayFanout  = 3
	recentLines  = 60 // of a node's log in the message of a failure
)

// newRelayedCluster starts a fleet that needs three relays, and waits until all nodes use theirs.
func newRelayedCluster(t *testing.T, adjust func(s *front.Settings)) (*testCluster, *standin.Worker, *standin.Worker) {
	t.Helper()
	f := &testCluster{t: t, store: standin.NewStore(t), lease: 3 * time.Second, adjust: func(s *front.Settings) {
		s.MaxDirect, s.RelayFanout = 4, relayFanout
		if adjust != nil {
			adjust(s)
		}
	}}
	engine, plain := f.run(relayedNodes, configuration)
	f.waitForRelays()
	return f, engine, plain
}

// leaseRow returns the lease.
func (f *testCluster) leaseRow() leader.Lease {
	var l leader.Lease
	if r := f.store.Row("lease", "orders"); r.Version != 0 {
		require.NoError(f.t, json.Unmarshal(r.Value, &l))
	}
	return l
}

// relays returns the nodes that are relays, by name.
func (f *testCluster) relays() map[string]bool {
	out := map[string]bool{}
	for _, r := range f.leaseRow().Relays {
		out[r.Node] = true
	}
	return out
}

// stopRelays stops all relays and returns the other nodes.
func (f *testCluster) stopRelays() (rest []*testNode) {
	relays := f.relays()
	for _, p := range f.nodes {
		if !relays[p.settings.Node] {
			rest = append(rest, p)
			continue
		}
		p.stop()
	}
	return rest
}

// usesRelay reports whether a relay has replied to a node.
func (p *testNode) usesRelay() bool {
	return p.logs.FilterMessage("upstream").FilterField(zap.Bool("relay", true)).Len() > 0
}

// recentLogs returns the last log lines of a node, for the message of a failure.
func (p *testNode) recentLogs() string {
	var b strings.Builder
	list := p.logs.All()
	for _, e := range list[max(0, len(list)-recentLines):] {
		fmt.Fprintln(&b, e.Time.Format("05.000"), e.Message, e.ContextMap())
	}
	return b.String()
}

// waitForRelays waits until relays are assigned and all other nodes have reached the leader through them.
func (f *testCluster) waitForRelays() {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return len(f.relays()) == relayedNodes/relayFanout }, 8*time.Second, 5*time.Millisecond)
	f.waitForLeader()
	relays := f.relays()
	for _, p := range f.nodes {
		direct := relays[p.settings.Node] || p.settings.Node == f.leaseRow().Node || p.logs.FilterMessage("deputy").Len() > 0
		require.Eventually(f.t, func() bool { return direct || p.usesRelay() }, 8*time.Second, 5*time.Millisecond, p.settings.Node)
	}
}

// TestRelaysPassOn checks that nodes which report to relays learn of changes in time and are served by the
// leader as if they reported to it.
func TestRelaysPassOn(t *testing.T) {
	t.Parallel()
	f, engine, plain := newRelayedCluster(t, nil)
	for i, p := range f.nodes {
		status, body := p.get(t, "/plans/x", fmt.Sprint("a", i), "m0/a1")
		require.Equal(t, 200, status, "%s: %s\n%s", p.settings.Node, body, p.recentLogs())
		require.Equal(t, 5, strings.Count(body, "data:"))
	}
	require.Equal(t, []string{"a1"}, engine.Models()["m0"])
	l := f.leaseRow()
	granted := 0
	for _, p := range f.nodes {
		n := p.logs.FilterMessage("place").FilterField(zap.Bool("granted", true)).Len()
		require.True(t, n == 0 || p.settings.Node == l.Node, "only the leader grants")
		granted += n
	}
	require.Equal(t, len(f.nodes), granted)

	reads := f.store.Calls("/rows-get")
	f.store.Put(platform.TableOperator, platform.KeyConfig, []byte(configWithRoute(2)))
	for i, p := range f.nodes {
		require.Eventually(t, func() bool { status, _ := p.get(t, "/more/x", fmt.Sprint("m", i), ""); return status == 200 },
			inForceBound, 5*time.Millisecond)
	}
	require.LessOrEqual(t, f.store.Calls("/rows-get")-reads, 2, "only the leader and its deputy read the configuration")
	before := f.store.Calls("/rows-feed")
	<-time.After(2 * time.Second)
	require.Less(t, f.store.Calls("/rows-feed")-before, 30, "only the leader and its deputy follow the store")

	f.store.Put(platform.TableServers, "i-engine", engine.Entry("llm", "z", true))
	f.store.Put(platform.TableServers, "i-plain", plain.Entry("plain", "z", true))
	<-time.After(maxDrain)
	require.True(t, f.logged("server-leaving"))
	sent := len(engine.Visits()) + len(plain.Visits())
	for i, p := range f.nodes {
		status, _ := p.get(t, "/plans/x", fmt.Sprint("d", i), "m0")
		require.Equal(t, 503, status)
		status, _ = p.get(t, "/calls/x", fmt.Sprint("e", i), "")
		require.Equal(t, 503, status)
	}
	require.Equal(t, sent, len(engine.Visits())+len(plain.Visits()))
}

// TestNodesSurviveLossOfRelays guards against nodes that stay with a relay that is gone: they must find another
// one, or the leader, before requests miss their target. The relays are stopped one after the other.
func TestNodesSurviveLossOfRelays(t *testing.T) {
	t.Parallel()
	f, _, _ := newRelayedCluster(t, nil)
	l := f.leaseRow()
	rest := f.stopRelays()
	stopped := time.Now()
	for time.Since(stopped) < 4*time.Second {
		for i, p := range rest {
			status, body := p.get(t, "/plans/x", fmt.Sprint(time.Since(stopped), i), "m0")
			require.Equal(t, 200, status, "%s: %s\n%s", p.settings.Node, body, p.recentLogs())
		}
		<-time.After(20 * time.Millisecond)
	}
	f.store.Put(platform.TableOperator, platform.KeyConfig, []byte(configWithRoute(2)))
	for i, p := range rest {
		require.Eventually(t, func() bool { status, _ := p.get(t, "/more/x", fmt.Sprint("m", i), ""); return status == 200 },
			inForceBound, 5*time.Millisecond)
	}
	require.Equal(t, l.Node, f.leaseRow().Node, "the leader is not affected")
}

// TestLateNodeSurvivesLossOfRelays guards against a leader that refuses the first connection of a node that has
// only called its relay so far: the request for which the node connects would be refused too. With the store
// unavailable, the leader must have learned the node's key from the relay.
func TestLateNodeSurvivesLossOfRelays(t *testing.T) {
	t.Parallel()
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprint("outage-", outage), func(t *testing.T) {
			t.Parallel()
			f, _, _ := newRelayedCluster(t, nil)
			late := f.start("late")
			require.Eventually(t, func() bool { return late.ready() && late.usesRelay() }, 5*time.Second, 5*time.Millisecond)
			<-time.After(time.Second) // two reports of the relay
			f.store.Outage(outage)
			f.stopRelays()
			stopped := time.Now()
			for i := 0; time.Since(stopped) < 4*time.Second; i++ {
				status, body := late.get(t, "/plans/x", fmt.Sprint("late", i), "m0")
				require.Equal(t, 200, status, "%s\n%s", body, late.recentLogs())
				<-time.After(20 * time.Millisecond)
			}
		})
	}
}

// TestNodeOfLargeFleetStartsWithFewCalls guards against nodes that read both tables from the store when they
// start, hundreds at a time.
func TestNodeOfLargeFleetStartsWithFewCalls(t *testing.T) {
	t.Parallel()
	f, _, _ := newRelayedCluster(t, nil)
	reads, feeds, began := f.store.Calls("/rows-get"), f.store.Calls("/rows-feed"), time.Now()
	late := f.start("late")
	require.Eventually(t, func() bool { return late.ready() && late.usesRelay() }, 5*time.Second, 5*time.Millisecond)
	status, body := late.get(t, "/plans/x", "p", "m0")
	require.Equal(t, 200, status, body)
	require.Zero(t, late.logs.FilterMessage("table-read").Len())
	require.LessOrEqual(t, f.store.Calls("/rows-get")-reads, 6, "the lease, and at the relay the nodes' rows")
	perSecond := 14.0 // of the leader and its deputy
	require.LessOrEqual(t, f.store.Calls("/rows-feed")-feeds, int(2*perSecond*(1+time.Since(began).Seconds())))
}

// TestRestartedRelayIsUsedAgain guards against nodes that can't connect to a relay any more because it has
// another key since its restart.
func TestRestartedRelayIsUsedAgain(t *testing.T) {
	t.Parallel()
	f, _, _ := newRelayedCluster(t, nil)
	before := f.leaseRow()
	deputy := func(name string) bool {
		for _, p := range f.nodes {
			if p.settings.Node == name {
				return p.logs.FilterMessage("deputy").Len() > 0
			}
		}
		return false
	}
	for _, r := range before.Relays {
		if deputy(r.Node) {
			continue
		}
		for _, p := range f.nodes {
			if p.settings.Node == r.Node {
				p.stop()
				require.NoError(t, await.Value(t, p.done, "the relay's end"))
				p.done <- nil // read again by the cleanup
				f.restart(p)
			}
		}
		require.Eventually(t, func() bool {
			for _, now := range f.leaseRow().Relays {
				if now.Node == r.Node && now.Key != r.Key {
					return true
				}
			}
			return false
		}, 8*time.Second, 5*time.Millisecond)
		return
	}
}

// TestRelaysFollowNextLeader guards against nodes that lose the leader although their relay has found the next
// one, and against a new leader that forgets the relays.
func TestRelaysFollowNextLeader(t *testing.T) {
	t.Parallel()
	f, engine, _ := newRelayedCluster(t, nil)
	require.Eventually(t, func() bool { _, ok := engine.Models()["m1"]; return ok }, 5*time.Second, 5*time.Millisecond)
	f.store.Put(platform.TableServers, "i-engine", engine.Entry("llm", "z", false))
	before := f.leaseRow()
	var rest []*testNode
	for _, p := range f.nodes {
		if p.settings.Node == before.Node {
			p.stop()
			continue
		}
		rest = append(rest, p)
	}
	require.Eventually(t, func() bool { l := f.leaseRow(); return l.Node != "" && l.Node != before.Node }, 8*time.Second, 5*time.Millisecond)
	for i, p := range rest {
		require.Eventually(t, func() bool { status, _ := p.get(t, "/plans/x", fmt.Sprint("q", i), "m0/a2"); return status == 200 },
			5*time.Second, 5*time.Millisecond)
	}
	f.store.Put(platform.TableOperator, platform.KeyConfig, []byte(configWithRoute(2)))
	for i, p := range rest {
		require.Eventually(t, func() bool { status, _ := p.get(t, "/more/x", fmt.Sprint("m", i), ""); return status == 200 },
			2*inForceBound, 5*time.Millisecond)
	}
	require.Len(t, f.leaseRow().Relays, len(before.Relays), "nodes that have changed their upstream are not counted twice")
}

// TestQuotaBindsThroughRelays guards against usage that is lost, or counted twice, between a node and the
// leader, so that a team is served more or less than its quota.
func TestQuotaBindsThroughRelays(t *testing.T) {
	t.Parallel()
	const rate, cost, slack, over, seconds = 500, 10, 200, 0.1, 6
	f := &testCluster{t: t, store: standin.NewStore(t), key: deskKey, adjust: func(s *front.Settings) {
		s.MaxDirect, s.RelayFanout = 4, relayFanout
		s.RevokeMS = int(revocation.Milliseconds())
		s.QuotaOver, s.QuotaSlack, s.QuotaSpanS = over, slack, 2
	}}
	f.run(relayedNodes, configWithTeam(1, fmt.Sprintf(`,"unit":"tokens","plain-tokens":%d,"rate-per-s":%d,"burst":%d`, cost, rate, rate), deskKey))
	f.waitForRelays()
	<-time.After(2 * time.Second) // the granter has assigned shares
	statuses := f.sendLoad("/calls/x", "", 50*time.Millisecond, seconds*time.Second)
	spent := float64(cost * statuses[200])
	require.LessOrEqual(t, spent, (rate*seconds+rate)*(1+over)+slack, "%v", statuses)
	require.Greater(t, spent, rate*seconds*0.8, "the team gets its quota: %v", statuses)
}

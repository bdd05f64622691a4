package hub_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
	"guavapaddle/core/poison"
	"guavapaddle/internal/hub"
)

func TestReplyHoldsWhatOtherNodesReported(t *testing.T) {
	h := &hub.Hub{}
	now := time.Unix(1000, 0)
	h.Merge(now, hub.Report{Node: "a", Counts: map[string]balance.Count{"i-1": {Pending: 1, Running: 2, Tokens: 300}},
		Demand: []hub.Demand{{Item: hub.Item{Model: "m"}, Tokens: 500}}, Crashes: []poison.Crash{{ID: 7, Server: "i-9", Age: time.Second}}})
	h.Merge(now, hub.Report{Node: "b", Counts: map[string]balance.Count{"i-1": {Pending: 1, Tokens: 100}}})
	h.AddResidencyUpdate(now, hub.ResidencyUpdate{Server: "i-1", Model: "m", Held: true})
	reply := h.Merge(now, hub.Report{Node: "c", Counts: map[string]balance.Count{"i-1": {Pending: 50}}})
	require.True(t, reply.Leading)
	require.Equal(t, 3, reply.Nodes)
	require.Equal(t, balance.Count{Pending: 2, Running: 2, Tokens: 400}, reply.Counts["i-1"], "counts of the other nodes only")
	require.Equal(t, []hub.CrashedServer{{Server: "i-9", Age: time.Second}}, reply.Crashed)
	require.Len(t, reply.Notes, 1)
	require.Len(t, h.Demand(), 1)
	require.Empty(t, h.Demand(), "each demand is returned once")

	again := h.Merge(now, hub.Report{Node: "c", Heard: reply.Heard})
	require.Empty(t, again.Crashed, "sent once")
	require.Empty(t, again.Notes)
	h.AddResidencyUpdate(now, hub.ResidencyUpdate{Server: "i-2", Model: "m", Held: true})
	again = h.Merge(now, hub.Report{Node: "c", Heard: again.Heard})
	require.Equal(t, []hub.ResidencyUpdate{{Server: "i-2", Model: "m", Held: true}}, again.Notes)
	other := &hub.Hub{}
	other.AddResidencyUpdate(now, hub.ResidencyUpdate{Server: "i-3"})
	require.Len(t, other.Merge(now, hub.Report{Node: "c", Heard: again.Heard}).Notes, 1, "another hub numbers its own updates")

	later := now.Add(5 * time.Second)
	reply = h.Merge(later, hub.Report{Node: "c"})
	require.Equal(t, 1, reply.Nodes, "expired reports are dropped")
	require.Empty(t, reply.Notes, "residency updates expire with the reports")
	require.Equal(t, []hub.CrashedServer{{Server: "i-9", Age: 6 * time.Second}}, reply.Crashed, "crashed servers are kept longer")
}

func TestOneNodeWithStoreContactIsDeputy(t *testing.T) {
	h := &hub.Hub{Self: "leader"}
	now := time.Unix(1000, 0)
	contact := map[string]time.Duration{"leader": 0, "a": time.Hour, "b": time.Hour, "c": time.Hour}
	deputies := func(at time.Time) []string {
		var out []string
		for _, n := range []string{"leader", "a", "b", "c"} {
			if h.Merge(at, hub.Report{Node: n, Contact: contact[n]}).Deputy {
				out = append(out, n)
			}
		}
		return out
	}
	deputies(now)
	first := deputies(now)
	require.Len(t, first, 1)
	require.NotEqual(t, "leader", first[0])
	contact[first[0]] = 700 * time.Millisecond
	for i := range 10 {
		require.Equal(t, first, deputies(now.Add(time.Duration(i)*time.Second)))
	}
	contact[first[0]] = time.Hour
	later := now.Add(13 * time.Second)
	deputies(later)
	require.NotEqual(t, first, deputies(later), "a deputy without contact to the store is replaced")
}

// TestCountsAreSummedOverLastReports simulates nodes that report, stop and resume, and compares
// each reply with the sum of the others' last reports.
func TestCountsAreSummedOverLastReports(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 1))
	h := &hub.Hub{}
	now := time.Unix(1000, 0)
	last := map[string]map[string]balance.Count{}
	at := map[string]time.Time{}
	for range 2000 {
		now = now.Add(time.Duration(50+rng.IntN(350)) * time.Millisecond)
		node := fmt.Sprint("n", rng.IntN(6))
		counts := map[string]balance.Count{}
		for range rng.IntN(3) {
			counts[fmt.Sprint("i-", rng.IntN(4))] = balance.Count{Pending: rng.IntN(2), Running: rng.IntN(3), Tokens: rng.IntN(500), Granted: rng.IntN(2)}
		}
		got := h.Merge(now, hub.Report{Node: node, Counts: counts}).Counts
		last[node], at[node] = counts, now
		want := map[string]balance.Count{}
		for n, list := range last {
			if n == node || now.Sub(at[n]) > 1500*time.Millisecond {
				continue
			}
			for id, c := range list {
				w := want[id]
				want[id] = balance.Count{Pending: w.Pending + c.Pending, Running: w.Running + c.Running, Tokens: w.Tokens + c.Tokens, Granted: w.Granted + c.Granted}
			}
		}
		for id, c := range want {
			if c == (balance.Count{}) {
				delete(want, id)
			}
		}
		require.Equal(t, want, got)
	}
}

// TestCountsOfGrantedServersAreLeftOut checks that replies leave out the servers whose
// requests a granter starts: no node picks them by counts.
func TestCountsOfGrantedServersAreLeftOut(t *testing.T) {
	h := &hub.Hub{HasGranter: func(id string) bool { return id == "engine" }}
	now := time.Unix(1000, 0)
	counts := map[string]balance.Count{"engine": {Running: 3}, "plain": {Running: 2}}
	h.Merge(now, hub.Report{Node: "a", Counts: counts})
	require.Equal(t, map[string]balance.Count{"plain": {Running: 2}}, h.Merge(now, hub.Report{Node: "b"}).Counts)
	require.Equal(t, counts, h.Counts())
}

// BenchmarkReport measures the merging of one node's report at a leader with many nodes and
// servers.
func BenchmarkReport(b *testing.B) {
	for _, size := range []struct{ nodes, servers int }{{8, 16}, {100, 100}, {300, 265}, {350, 600}} {
		b.Run(fmt.Sprintf("%d-nodes-%d-servers", size.nodes, size.servers), func(b *testing.B) {
			h := &hub.Hub{HasGranter: func(id string) bool { return id >= "i-010" }}
			now := time.Unix(1000, 0)
			for i := 0; b.Loop(); i++ {
				counts := map[string]balance.Count{}
				for j := range 6 {
					counts[fmt.Sprintf("i-%03d", (7*i+j)%size.servers)] = balance.Count{Running: 1}
				}
				h.Merge(now, hub.Report{Node: fmt.Sprint("n", i%size.nodes), Counts: counts})
			}
		})
	}
}

// TestReportedLimitIsInEachReply guards against a node that joins and doesn't get a server's
// rate limit because the response that set it is older than LimitTTL.
func TestReportedLimitIsInEachReply(t *testing.T) {
	h := &hub.Hub{}
	setAt := time.Unix(1000, 0)
	limit := func(now time.Time) []hub.Limit {
		return []hub.Limit{{Server: "i-1", Rate: 2, Active: true, Age: now.Sub(setAt)}}
	}
	now := setAt
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		h.Merge(now, hub.Report{Node: "a", Limits: limit(now)})
		reply := h.Merge(now.Add(100*time.Millisecond), hub.Report{Node: "b"})
		require.Len(t, reply.Limits, 1, "%v after the limit was set", now.Sub(setAt))
		require.Equal(t, now.Add(100*time.Millisecond).Sub(setAt), reply.Limits[0].Age)
	}
	reply := h.Merge(now.Add(2*hub.LimitTTL), hub.Report{Node: "b"})
	require.Empty(t, reply.Limits, "a limit that no node reports expires")
}

// TestDeputyGetsKeysOfRelayedNodes checks that the deputy gets the keys of nodes that report to relays, also
// while the relay's later reports don't repeat them.
func TestDeputyGetsKeysOfRelayedNodes(t *testing.T) {
	h := &hub.Hub{Self: "leader"}
	now := time.Unix(1000, 0)
	cores := map[string]float64{"relay": 0.2, "deputy": 1}
	report := func(node string, roster uint64, keys ...string) hub.ReportReply {
		return h.Merge(now, hub.Report{Node: node, At: hub.Contact{Key: "key-" + node, Cores: cores[node]}, Roster: roster, Keys: keys})
	}
	report("deputy", 0)
	report("relay", 0, "key-a", "key-b")
	first := report("deputy", 0)
	require.True(t, first.Deputy)
	require.ElementsMatch(t, []string{"key-relay", "key-deputy", "key-a", "key-b"}, first.Keys)
	report("relay", 0)
	require.Empty(t, report("deputy", first.Roster).Keys, "nothing has changed")
	report("relay", 0, "key-b", "key-c")
	require.ElementsMatch(t, []string{"key-relay", "key-deputy", "key-b", "key-c"}, report("deputy", first.Roster).Keys)

	relay := &hub.Hub{}
	relay.MergeAsRelay(now, hub.Report{Node: "a", At: hub.Contact{Key: "key-a"}})
	keys, version := relay.Roster()
	require.Equal(t, []string{"key-a"}, keys)
	relay.MergeAsRelay(now, hub.Report{Node: "a", At: hub.Contact{Key: "key-a"}})
	_, again := relay.Roster()
	require.Equal(t, version, again)
	relay.MergeAsRelay(now, hub.Report{Node: "a", At: hub.Contact{Key: "key-a2"}})
	_, again = relay.Roster()
	require.NotEqual(t, version, again, "the node has restarted")
}

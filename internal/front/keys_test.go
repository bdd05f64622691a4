package front_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/front"
	"guavapaddle/platform"
	"guavapaddle/platform/standin"
)

const (
	revocation = 1500 * time.Millisecond
	deskKey    = "k-desk"
)

// configWithTeam returns the configuration with one team that has the given keys and quota.
func configWithTeam(version int, quota string, keys ...string) string {
	text := strings.Replace(configuration, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	list := `"` + strings.Join(keys, `","`) + `"`
	return strings.Replace(text, `"limits":`, `"tenants":[{"name":"desk","api-keys":[`+list+`]`+quota+`}],"limits":`, 1)
}

func newClusterWithKeys(t *testing.T, nodes int, quota string) (*testCluster, *standin.Worker) {
	t.Helper()
	f := &testCluster{t: t, store: standin.NewStore(t), key: deskKey, adjust: func(s *front.Settings) {
		s.RevokeMS = int(revocation.Milliseconds())
		s.QuotaOver, s.QuotaSlack, s.QuotaSpanS = 0.1, 200, 2
	}}
	engine, _ := f.run(nodes, configWithTeam(1, quota, deskKey))
	return f, engine
}

// waitForLeader waits until all nodes have reached the leader.
func (f *testCluster) waitForLeader() {
	f.t.Helper()
	for _, p := range f.nodes {
		require.Eventually(f.t, func() bool { return p.logs.FilterMessage("leader-reached").Len() > 0 }, 5*time.Second, time.Millisecond)
	}
}

func TestKeysAreAddedAndRevokedOnAllNodes(t *testing.T) {
	f, _ := newClusterWithKeys(t, 3, "")
	f.waitForLeader()
	for i, p := range f.nodes {
		status, body := p.get(t, "/calls/x", fmt.Sprint("c", i), "")
		require.Equal(t, 200, status, body)
		status, body = p.get(t, "/plans/x", fmt.Sprint("p", i), "m0")
		require.Equal(t, 200, status, body)
	}
	f.store.Put(platform.TableOperator, platform.KeyConfig, []byte(configWithTeam(2, "", "k-new")))
	for i, p := range f.nodes {
		p.key = "k-new"
		require.Eventually(t, func() bool { status, _ := p.get(t, "/calls/x", fmt.Sprint("n", i), ""); return status == 200 },
			2*time.Second, 5*time.Millisecond)
		p.key = deskKey
		status, _ := p.get(t, "/calls/x", fmt.Sprint("o", i), "")
		require.Equal(t, 401, status)
	}
}

// TestNodesRefuseKeysTheyCannotCheck guards against API keys that are accepted for longer
// than the revocation time while the store is unavailable to all nodes.
func TestNodesRefuseKeysTheyCannotCheck(t *testing.T) {
	f, engine := newClusterWithKeys(t, 3, "")
	f.waitForLeader()
	f.store.Outage(true)
	outageStart := time.Now()
	for _, p := range f.nodes {
		require.Eventually(t, func() bool { status, _ := p.get(t, "/plans/x", "p", "m0"); return status == 503 },
			2*revocation, 5*time.Millisecond)
		require.Less(t, time.Since(outageStart), revocation+time.Second/10)
		require.False(t, p.ready(), "the balancer sends clients elsewhere")
	}
	ran := len(engine.Runs())
	status, _ := f.nodes[0].get(t, "/plans/x", "q", "m0")
	require.Equal(t, 503, status)
	require.Len(t, engine.Runs(), ran)
	f.store.Outage(false)
	for _, p := range f.nodes {
		require.Eventually(t, func() bool { status, _ := p.get(t, "/plans/x", "p", "m0"); return status == 200 },
			3*time.Second, 5*time.Millisecond)
	}
}

// TestNodeRejectedByStoreServesKeysConfirmedByLeader guards against refused API keys at a
// node that reaches the other nodes but not the store, while the leader confirms its
// configuration.
func TestNodeRejectedByStoreServesKeysConfirmedByLeader(t *testing.T) {
	f, _ := newClusterWithKeys(t, 2, "")
	f.waitForLeader()
	unavailable := standin.NewStore(t)
	unavailable.Outage(true)
	available := f.store
	f.seeds, f.store = []string{f.nodes[0].settings.Control}, unavailable
	p := f.start("late")
	f.store = available
	require.Eventually(t, p.ready, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return p.logs.FilterMessage("leader-reached").Len() > 0 }, 5*time.Second, time.Millisecond)
	refused := 0
	for i, end := 0, time.Now().Add(2*revocation); time.Now().Before(end); i++ {
		if status, _ := p.get(t, "/calls/x", fmt.Sprint("c", i), ""); status != 200 {
			refused++
		}
	}
	require.Zero(t, refused)
	f.store.Put(platform.TableOperator, platform.KeyConfig, []byte(configWithTeam(2, "", "k-new")))
	require.Eventually(t, func() bool { status, _ := p.get(t, "/calls/x", "late", ""); return status != 200 }, revocation, 5*time.Millisecond)
}

// TestQuotaHoldsAcrossNodes has a team send many times its quota to three nodes.
func TestQuotaHoldsAcrossNodes(t *testing.T) {
	const rate, cost, slack, over = 1000, 110, 200, 0.1
	f, engine := newClusterWithKeys(t, 3, fmt.Sprintf(`,"unit":"tokens","plain-tokens":50,"rate-per-s":%d,"burst":%d`, rate, rate))
	f.waitForLeader()
	start := time.Now()
	statuses := map[int]int{}
	for i := 0; time.Since(start) < 2*time.Second; i++ {
		status, _ := f.nodes[i%3].get(t, "/plans/x", fmt.Sprint("p", i), "m0")
		statuses[status]++
	}
	span := time.Since(start).Seconds()
	spent := float64(cost * len(engine.Runs()))
	require.LessOrEqual(t, spent, (rate*span+rate)*(1+over)+slack)
	require.Greater(t, spent, rate*span*0.8, "the team gets its quota")
	require.Positive(t, statuses[429])
	require.Equal(t, len(engine.Runs()), statuses[200])
	require.Len(t, statuses, 2, statuses)
}

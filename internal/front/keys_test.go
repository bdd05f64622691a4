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

// withTeams returns the configuration with one team whose keys and quota are given.
func withTeams(version int, quota string, keys ...string) string {
	text := strings.Replace(configuration, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	list := `"` + strings.Join(keys, `","`) + `"`
	return strings.Replace(text, `"limits":`, `"tenants":[{"name":"desk","api-keys":[`+list+`]`+quota+`}],"limits":`, 1)
}

func newKeyedFleet(t *testing.T, nodes int, quota string) (*fleetRig, *standin.Worker) {
	t.Helper()
	f := &fleetRig{t: t, store: standin.NewStore(t), key: deskKey, tune: func(s *front.Settings) {
		s.RevokeMS = int(revocation.Milliseconds())
		s.QuotaOver, s.QuotaSlack, s.QuotaSpanS = 0.1, 200, 2
	}}
	engine, _ := f.run(nodes, withTeams(1, quota, deskKey))
	return f, engine
}

// reached waits until all nodes report to the holder.
func (f *fleetRig) reached() {
	f.t.Helper()
	for _, p := range f.nodes {
		require.Eventually(f.t, func() bool { return p.logs.FilterMessage("leader-reached").Len() > 0 }, 5*time.Second, time.Millisecond)
	}
}

func TestKeysAreAddedAndRevokedOnAllNodes(t *testing.T) {
	f, _ := newKeyedFleet(t, 3, "")
	f.reached()
	for i, p := range f.nodes {
		status, body := p.get(t, "/calls/x", fmt.Sprint("c", i), "")
		require.Equal(t, 200, status, body)
		status, body = p.get(t, "/plans/x", fmt.Sprint("p", i), "m0")
		require.Equal(t, 200, status, body)
	}
	f.store.Put(platform.TableOperator, platform.KeyConfig, []byte(withTeams(2, "", "k-new")))
	for i, p := range f.nodes {
		p.key = "k-new"
		require.Eventually(t, func() bool { status, _ := p.get(t, "/calls/x", fmt.Sprint("n", i), ""); return status == 200 },
			2*time.Second, 5*time.Millisecond)
		p.key = deskKey
		status, _ := p.get(t, "/calls/x", fmt.Sprint("o", i), "")
		require.Equal(t, 401, status)
	}
}

// TestNodesStopServingKeysThatTheyCannotCheck has the store go away for all nodes.
func TestNodesStopServingKeysThatTheyCannotCheck(t *testing.T) {
	f, engine := newKeyedFleet(t, 3, "")
	f.reached()
	f.store.Outage(true)
	away := time.Now()
	for _, p := range f.nodes {
		require.Eventually(t, func() bool { status, _ := p.get(t, "/plans/x", "p", "m0"); return status == 503 },
			2*revocation, 5*time.Millisecond)
		require.Less(t, time.Since(away), revocation+time.Second/10)
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

// TestANodeThatTheStoreTurnsAwayServesKeysThatTheHolderVouchesFor has one node reach
// the other nodes and not the store.
func TestANodeThatTheStoreTurnsAwayServesKeysThatTheHolderVouchesFor(t *testing.T) {
	f, _ := newKeyedFleet(t, 2, "")
	f.reached()
	away := standin.NewStore(t)
	away.Outage(true)
	served := f.store
	f.seeds, f.store = []string{f.nodes[0].settings.Control}, away
	p := f.start("late")
	f.store = served
	require.Eventually(t, p.ready, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return p.logs.FilterMessage("leader-reached").Len() > 0 }, 5*time.Second, time.Millisecond)
	refused := 0
	for i, end := 0, time.Now().Add(2*revocation); time.Now().Before(end); i++ {
		if status, _ := p.get(t, "/calls/x", fmt.Sprint("c", i), ""); status != 200 {
			refused++
		}
	}
	require.Zero(t, refused)
	f.store.Put(platform.TableOperator, platform.KeyConfig, []byte(withTeams(2, "", "k-new")))
	require.Eventually(t, func() bool { status, _ := p.get(t, "/calls/x", "late", ""); return status != 200 }, revocation, 5*time.Millisecond)
}

// TestAllNodesTogetherKeepToAQuota has a team ask three nodes for many times its quota.
func TestAllNodesTogetherKeepToAQuota(t *testing.T) {
	const rate, cost, slack, over = 1000, 110, 200, 0.1
	f, engine := newKeyedFleet(t, 3, fmt.Sprintf(`,"unit":"tokens","plain-tokens":50,"rate-per-s":%d,"burst":%d`, rate, rate))
	f.reached()
	began := time.Now()
	statuses := map[int]int{}
	for i := 0; time.Since(began) < 2*time.Second; i++ {
		status, _ := f.nodes[i%3].get(t, "/plans/x", fmt.Sprint("p", i), "m0")
		statuses[status]++
	}
	span := time.Since(began).Seconds()
	spent := float64(cost * len(engine.Runs()))
	require.LessOrEqual(t, spent, (rate*span+rate)*(1+over)+slack)
	require.Greater(t, spent, rate*span*0.8, "the team gets what it is owed")
	require.Positive(t, statuses[429])
	require.Equal(t, len(engine.Runs()), statuses[200])
	require.Len(t, statuses, 2, statuses)
}

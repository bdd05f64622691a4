package front_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform"
)

// inForceBound is how long after its write a configuration must be in force.
const inForceBound = 2 * time.Second

// configWithRoute returns the configuration with a route that version 1 lacks.
func configWithRoute(version int) string {
	text := strings.Replace(configuration, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1)
	return strings.Replace(text, `"routes":[`, `"routes":[{"name":"more","host":"h.example","prefix":"/more/","kind":"safe","timeout-ms":3000,"service":"plain","max-attempts":2},`, 1)
}

// logged reports whether all nodes have logged an event.
func (f *testCluster) logged(event string) bool {
	for _, p := range f.nodes {
		if p.logs.FilterMessage(event).Len() == 0 {
			return false
		}
	}
	return true
}

// TestServerStaysLeavingAfterRestore guards against requests to a server whose departure the store has
// lost: its entry is there again as ready until the server, or the store, writes it again.
func TestServerStaysLeavingAfterRestore(t *testing.T) {
	t.Parallel()
	for kind, x := range serviceKinds {
		for _, how := range []string{"announced", "removed"} {
			t.Run(kind+"/"+how, func(t *testing.T) {
				t.Parallel()
				f, leaving, service := newPair(t, 3, x.model, true)
				f.waitForLeader()
				copied := f.store.Backup()
				depart := func() {
					if how == "removed" {
						f.store.Drop(platform.TableServers, leaving.ID)
						return
					}
					f.store.Put(platform.TableServers, leaving.ID, leaving.Entry(service, "z", true))
				}
				depart()
				announced := time.Now()
				event := map[string]string{"announced": "server-leaving", "removed": "server-gone"}[how]
				require.Eventually(t, func() bool { return f.logged(event) }, maxDrain, time.Millisecond)
				<-time.After(time.Until(announced.Add(maxDrain)))
				f.store.Restore(copied)
				time.AfterFunc(3*time.Second, depart)
				before := len(leaving.Visits())
				statuses := f.sendLoad(x.path, x.model, 50*time.Millisecond, 4*time.Second)
				require.Equal(t, before, len(leaving.Visits()), "statuses %v", statuses)
				require.Len(t, statuses, 1, fmt.Sprint(statuses))
				require.NotZero(t, statuses[200])
			})
		}
	}
}

// TestConfigurationStaysInForceAfterRestore guards against nodes that serve an older configuration
// because the store has lost the newest one, among them a node that starts before it is written again.
func TestConfigurationStaysInForceAfterRestore(t *testing.T) {
	t.Parallel()
	f, _, _ := newCluster(t, 2)
	f.waitForLeader()
	copied := f.store.Backup()
	f.store.Put(platform.TableOperator, platform.KeyConfig, []byte(configWithRoute(2)))
	serves := func(p *testNode, id string) bool {
		status, _ := p.get(t, "/more/x", id, "")
		return status == 200
	}
	for i, p := range f.nodes {
		require.Eventually(t, func() bool { return serves(p, fmt.Sprint("a", i)) }, inForceBound, 5*time.Millisecond)
	}
	f.store.Restore(copied)
	late := f.start("late")
	require.Eventually(t, late.ready, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return serves(late, "b") }, inForceBound, 5*time.Millisecond, "the node that started after the restore")
	for i := range 20 {
		for j, p := range f.nodes {
			require.True(t, serves(p, fmt.Sprint("c", i, "-", j)), p.settings.Node)
		}
		<-time.After(50 * time.Millisecond)
	}
}

// TestNodeRowIsWrittenAgainAfterRestore guards against nodes whose keys no other node can check any
// more because the store has lost their rows.
func TestNodeRowIsWrittenAgainAfterRestore(t *testing.T) {
	t.Parallel()
	f, _, _ := newCluster(t, 2)
	f.waitForLeader()
	copied := f.store.Backup()
	late := f.start("late")
	require.Eventually(t, func() bool { return f.store.Row("node", "late").Version != 0 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, late.ready, 5*time.Second, 5*time.Millisecond)
	f.waitForLeader()
	f.store.Restore(copied)
	require.Eventually(t, func() bool { return f.store.Row("node", "late").Version != 0 }, 5*time.Second, 5*time.Millisecond)
}

// TestRevokedKeyIsRefusedByNodeStartedAfterRestore guards against a node that accepts a revoked key because
// it reads the restored store before any node that knows the newest configuration has replied to it.
func TestRevokedKeyIsRefusedByNodeStartedAfterRestore(t *testing.T) {
	t.Parallel()
	f, _ := newClusterWithKeys(t, 2, "")
	f.waitForLeader()
	copied := f.store.Backup()
	f.store.Put(platform.TableOperator, platform.KeyConfig, []byte(configWithTeam(2, "", "k-new")))
	for i, p := range f.nodes {
		require.Eventually(t, func() bool {
			status, _ := p.get(t, "/calls/x", fmt.Sprint("r", i), "")
			return status == 401
		}, inForceBound, 5*time.Millisecond)
	}
	<-time.After(revocation)
	f.store.Restore(copied)
	late := f.start("late")
	began := time.Now()
	for i := 0; time.Since(began) < 3*time.Second; i++ {
		status, body := late.get(t, "/calls/x", fmt.Sprint("k", i), "")
		require.NotEqual(t, 200, status, "%v after the start: %s", time.Since(began), body)
		<-time.After(5 * time.Millisecond)
	}
}

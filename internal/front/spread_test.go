package front_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leader returns the node that holds the lease and the others.
func (f *testCluster) leader() (leader *testNode, others []*testNode) {
	f.t.Helper()
	row := string(f.store.Row("lease", "orders").Value)
	for _, p := range f.nodes {
		if strings.Contains(row, `"node":"`+p.settings.Node+`"`) {
			leader = p
			continue
		}
		others = append(others, p)
	}
	require.NotNil(f.t, leader, row)
	return leader, others
}

// TestLeavingServerIsKnownToAllNodes guards against nodes that keep sending to a leaving
// server because only another node got a response that announces it, while an outage of the
// store keeps them from learning of it there.
func TestLeavingServerIsKnownToAllNodes(t *testing.T) {
	t.Parallel()
	for name, x := range serviceKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, leaving, _ := newPair(t, 3, x.model, true)
			for _, p := range f.nodes {
				require.Eventually(t, func() bool { return p.logs.FilterMessage("leader-reached").Len() > 0 }, 5*time.Second, time.Millisecond)
			}
			leader, others := f.leader()
			f.store.Outage(true)
			leaving.Drain()
			for i := 0; len(leaving.Visits()) == 0; i++ {
				require.Less(t, i, 100, "no request has reached the server")
				others[0].get(t, x.path, fmt.Sprint("first-", i), x.model)
			}
			<-time.After(maxDrain)
			before := len(leaving.Visits())
			for _, p := range []*testNode{leader, others[1]} {
				for i := range 10 {
					status, body := p.get(t, x.path, fmt.Sprint(p.settings.Node, "-", i), x.model)
					require.Equal(t, 200, status, body)
				}
			}
			require.Len(t, leaving.Visits(), before, "only %s got a response", others[0].settings.Node)
		})
	}
}

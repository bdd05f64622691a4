package front_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// holder returns the node that holds the lease and the others.
func (f *fleetRig) holder() (holder *process, others []*process) {
	f.t.Helper()
	row := string(f.store.Row("lease", "orders").Value)
	for _, p := range f.nodes {
		if strings.Contains(row, `"node":"`+p.settings.Node+`"`) {
			holder = p
			continue
		}
		others = append(others, p)
	}
	require.NotNil(f.t, holder, row)
	return holder, others
}

// TestADepartureReachesNodesThatGotNoAnswer guards against nodes that go on sending to a
// server that leaves because only another node has had an answer that says so, and the
// store, which is away, can't tell them.
func TestADepartureReachesNodesThatGotNoAnswer(t *testing.T) {
	t.Parallel()
	for name, x := range bothKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, leaving, _ := newPair(t, 3, x.model, true)
			for _, p := range f.nodes {
				require.Eventually(t, func() bool { return p.logs.FilterMessage("leader-reached").Len() > 0 }, 5*time.Second, time.Millisecond)
			}
			holder, others := f.holder()
			f.store.Outage(true)
			leaving.Depart()
			for i := 0; len(leaving.Visits()) == 0; i++ {
				require.Less(t, i, 100, "no request reaches the server")
				others[0].get(t, x.path, fmt.Sprint("first-", i), x.model)
			}
			<-time.After(drainWithin)
			before := len(leaving.Visits())
			for _, p := range []*process{holder, others[1]} {
				for i := range 10 {
					status, body := p.get(t, x.path, fmt.Sprint(p.settings.Node, "-", i), x.model)
					require.Equal(t, 200, status, body)
				}
			}
			require.Len(t, leaving.Visits(), before, "only %s had an answer", others[0].settings.Node)
		})
	}
}

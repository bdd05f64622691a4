package front_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/platform/standin"
)

// TestRegistrationsDoNotDelayLease guards against a leader that can't renew the lease while hundreds of
// nodes register: the store writes the rows of one part one after another and rejects what waits for over a
// second.
func TestRegistrationsDoNotDelayLease(t *testing.T) {
	t.Parallel()
	f := &testCluster{t: t, store: standin.NewStore(t)}
	f.store.RejectChanges("node")
	f.run(1, configuration)
	f.waitForLeader()
	require.NotEqual(t, f.store.Row("lease", "orders").Part, "node")
	<-time.After(3 * time.Second)
	require.LessOrEqual(t, f.store.Rejected(), 5, "failed registrations are repeated ever later")
	f.store.RejectChanges("")
	require.Eventually(t, func() bool { return f.store.Row("node", "n0").Version != 0 }, 8*time.Second, 5*time.Millisecond)
	require.Equal(t, "node", f.store.Row("node", "n0").Part)
}

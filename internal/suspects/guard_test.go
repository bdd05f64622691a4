package suspects_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/outcome"
	"guavapaddle/core/suspect"
	"guavapaddle/internal/suspects"
	"guavapaddle/internal/testbed/tabletest"
)

const fp = suspect.Fingerprint("a")

// withGuards runs f in simulated time with two guards on one table. The guards
// don't exchange marks by themselves.
func withGuards(t *testing.T, f func(t *testing.T, table *tabletest.Table, a, b *suspects.Guard)) {
	synctest.Test(t, func(t *testing.T) {
		table := tabletest.New()
		a, b := &suspects.Guard{Table: table}, &suspects.Guard{Table: table}
		f(t, table, a, b)
		a.Wait()
		b.Wait()
	})
}

// requireBegin requires that fp may run.
func requireBegin(t *testing.T, g *suspects.Guard, server string, own bool) suspects.Run {
	t.Helper()
	r, err := g.Begin(t.Context(), fp, server, own)
	require.NoError(t, err)
	return r
}

// requireSuspected requires that err refuses a suspect.
func requireSuspected(t *testing.T, err error) {
	t.Helper()
	require.Error(t, err)
	require.False(t, suspects.IsBusy(err))
	require.Equal(t, outcome.RefusedNotRun, outcome.From(err).Outcome)
	require.Equal(t, outcome.CrashSuspect, outcome.From(err).Reason)
}

func TestFirstRequestsDoNotReadTheTable(t *testing.T) {
	withGuards(t, func(t *testing.T, table *tabletest.Table, a, _ *suspects.Guard) {
		table.SetFault(func(tabletest.Call) tabletest.Fault { t.Error("the table was called"); return tabletest.Fault{} })
		r := requireBegin(t, a, "s1", false)
		require.False(t, r.OnTrial())
		a.Succeeded(r)
	})
}

// TestInvariantCrashingRequestReadsBeforeRetry guards against a retry after a
// crash that ignores the table: here the request has crashed another server
// through a node whose marks this node has not received.
func TestInvariantCrashingRequestReadsBeforeRetry(t *testing.T) {
	withGuards(t, func(t *testing.T, _ *tabletest.Table, a, b *suspects.Guard) {
		b.Crashed(t.Context(), requireBegin(t, b, "s2", false), "b2")
		b.Wait()
		a.Crashed(t.Context(), requireBegin(t, a, "s1", false), "b1")
		_, err := a.Begin(t.Context(), fp, "s3", true)
		requireSuspected(t, err)
	})
}

// TestInvariantCrashingRequestOneTrial guards against two nodes that run a
// marked request at the same time: only one may, also when the reply to its
// charge is lost.
func TestInvariantCrashingRequestOneTrial(t *testing.T) {
	for name, fault := range map[string]tabletest.Fault{"no fault": {}, "reply lost": {LoseResponse: true}} {
		t.Run(name, func(t *testing.T) {
			withGuards(t, func(t *testing.T, table *tabletest.Table, a, b *suspects.Guard) {
				a.Crashed(t.Context(), requireBegin(t, a, "s1", false), "b1")
				a.Wait()
				b.Merge(a.Marks())
				table.SetFault(func(c tabletest.Call) tabletest.Fault {
					if c.Write {
						return fault
					}
					return tabletest.Fault{}
				})
				r := requireBegin(t, a, "s2", true)
				require.True(t, r.OnTrial())
				_, err := b.Begin(t.Context(), fp, "s3", false)
				requireSuspected(t, err)
				require.LessOrEqual(t, outcome.From(err).RetryAfter, 2*time.Second, "the trial may end soon")
				table.SetFault(nil)
				a.Succeeded(r)
				a.Wait()
				b.Merge(a.Marks())
				require.False(t, requireBegin(t, b, "s3", false).OnTrial(), "innocent")
			})
		})
	}
}

func TestOneTrialPerServer(t *testing.T) {
	withGuards(t, func(t *testing.T, _ *tabletest.Table, a, _ *suspects.Guard) {
		a.ServerCrashed(t.Context(), suspect.Incident{Server: "s1", BootID: "b1"}, []suspect.Fingerprint{fp, "other"})
		a.Wait()
		r := requireBegin(t, a, "s2", true)
		_, err := a.Begin(t.Context(), "other", "s2", true)
		require.True(t, suspects.IsBusy(err))
		a.NotRun(r)
		a.Wait()
		_, err = a.Begin(t.Context(), "other", "s2", true)
		require.NoError(t, err, "the slot is free")
	})
}

// TestInvariantCrashingRequestTableDown checks that during an outage of the
// table only the node that had the request in flight may try it once more.
func TestInvariantCrashingRequestTableDown(t *testing.T) {
	withGuards(t, func(t *testing.T, table *tabletest.Table, a, b *suspects.Guard) {
		table.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Fault{Refuse: true} })
		a.Crashed(t.Context(), requireBegin(t, a, "s1", false), "b1")
		b.Merge(a.Marks())
		_, err := b.Begin(t.Context(), fp, "s2", false)
		requireSuspected(t, err)
		r := requireBegin(t, a, "s2", true)
		a.Crashed(t.Context(), r, "b2")
		_, err = a.Begin(t.Context(), fp, "s3", true)
		requireSuspected(t, err)
		table.SetFault(nil)
		a.Wait()
		newGuard := &suspects.Guard{Table: table}
		newGuard.Crashed(t.Context(), requireBegin(t, newGuard, "s4", false), "b4")
		_, err = newGuard.Begin(t.Context(), fp, "s5", true)
		requireSuspected(t, err)
		require.Len(t, newGuard.Marks()[0].Incidents, 4, "the incidents of the outage are written after it")
		newGuard.Wait()
	})
}

// TestInvariantCrashingRequestWaitsForOthers checks that a node that reports a
// crash continues when the other nodes know, or after a bounded time.
func TestInvariantCrashingRequestWaitsForOthers(t *testing.T) {
	withGuards(t, func(t *testing.T, _ *tabletest.Table, a, b *suspects.Guard) {
		unresponsive := false
		a.Broadcast = func(ctx context.Context, marks []suspect.Mark) {
			if unresponsive {
				<-ctx.Done()
				return
			}
			time.Sleep(50 * time.Millisecond)
			b.Merge(marks)
		}
		a.Crashed(t.Context(), requireBegin(t, a, "s1", false), "b1")
		require.Equal(t, suspect.Isolate, b.Verdict(fp))
		a.Wait()
		unresponsive = true
		start := time.Now()
		a.Crashed(t.Context(), requireBegin(t, a, "s2", true), "b2")
		require.LessOrEqual(t, time.Since(start), 2*suspects.DefaultBroadcastTimeout, "one broadcast for the trial and one for the crash")
	})
}

func TestOldMarksAreRemoved(t *testing.T) {
	withGuards(t, func(t *testing.T, table *tabletest.Table, a, _ *suspects.Guard) {
		a.Crashed(t.Context(), requireBegin(t, a, "s1", false), "b1")
		requireBegin(t, a, "s2", true)
		a.Wait()
		time.Sleep(2 * time.Hour)
		a.ServerCrashed(t.Context(), suspect.Incident{Server: "s3", BootID: "b3"}, []suspect.Fingerprint{"new"})
		a.Wait()
		for prefix, left := range map[string]int{suspect.Prefix: 1, suspect.SlotPrefix: 0} {
			rows, err := table.Scan(t.Context(), prefix)
			require.NoError(t, err)
			require.Len(t, rows, left)
		}
	})
}

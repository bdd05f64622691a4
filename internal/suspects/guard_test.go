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

// inBubble runs f with fake time and two guards on one table that do not hear
// of each other.
func inBubble(t *testing.T, f func(t *testing.T, table *tabletest.Table, a, b *suspects.Guard)) {
	synctest.Test(t, func(t *testing.T) {
		table := tabletest.New()
		a, b := &suspects.Guard{Table: table}, &suspects.Guard{Table: table}
		f(t, table, a, b)
		a.Wait()
		b.Wait()
	})
}

// begin demands that fp may run.
func begin(t *testing.T, g *suspects.Guard, server string, own bool) suspects.Run {
	t.Helper()
	r, err := g.Begin(t.Context(), fp, server, own)
	require.NoError(t, err)
	return r
}

// suspected demands that err refuses a suspect.
func suspected(t *testing.T, err error) {
	t.Helper()
	require.Error(t, err)
	require.False(t, suspects.IsBusy(err))
	require.Equal(t, outcome.RefusedNotRun, outcome.From(err).Outcome)
	require.Equal(t, outcome.CrashSuspect, outcome.From(err).Reason)
}

func TestFirstRequestsDoNotReadTheTable(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, a, _ *suspects.Guard) {
		table.SetFault(func(tabletest.Call) tabletest.Fault { t.Error("asked"); return tabletest.Fault{} })
		r := begin(t, a, "s1", false)
		require.False(t, r.OnTrial())
		a.Succeeded(r)
	})
}

// TestInvariantCrashingRequestReadsBeforeRetry: a node retries after a crash
// only with what the table knows: here that the request crashed another server
// through a node that it has not heard of.
func TestInvariantCrashingRequestReadsBeforeRetry(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *tabletest.Table, a, b *suspects.Guard) {
		b.Crashed(t.Context(), begin(t, b, "s2", false), "b2")
		b.Wait()
		a.Crashed(t.Context(), begin(t, a, "s1", false), "b1")
		_, err := a.Begin(t.Context(), fp, "s3", true)
		suspected(t, err)
	})
}

// TestInvariantCrashingRequestOneTrial: of two nodes that want to run a marked
// request one may, also when the answer to its charge is lost.
func TestInvariantCrashingRequestOneTrial(t *testing.T) {
	for name, fault := range map[string]tabletest.Fault{"sound": {}, "answer lost": {LoseAnswer: true}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, table *tabletest.Table, a, b *suspects.Guard) {
				a.Crashed(t.Context(), begin(t, a, "s1", false), "b1")
				a.Wait()
				b.Merge(a.Marks())
				table.SetFault(func(c tabletest.Call) tabletest.Fault {
					if c.Write {
						return fault
					}
					return tabletest.Fault{}
				})
				r := begin(t, a, "s2", true)
				require.True(t, r.OnTrial())
				_, err := b.Begin(t.Context(), fp, "s3", false)
				suspected(t, err)
				require.LessOrEqual(t, outcome.From(err).RetryAfter, 2*time.Second, "the trial may end soon")
				table.SetFault(nil)
				a.Succeeded(r)
				a.Wait()
				b.Merge(a.Marks())
				require.False(t, begin(t, b, "s3", false).OnTrial(), "innocent")
			})
		})
	}
}

func TestOneTrialAServer(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *tabletest.Table, a, _ *suspects.Guard) {
		a.ServerCrashed(t.Context(), suspect.Incident{Server: "s1", BootID: "b1"}, []suspect.Fingerprint{fp, "other"})
		a.Wait()
		r := begin(t, a, "s2", true)
		_, err := a.Begin(t.Context(), "other", "s2", true)
		require.True(t, suspects.IsBusy(err))
		a.NotRun(r)
		a.Wait()
		_, err = a.Begin(t.Context(), "other", "s2", true)
		require.NoError(t, err, "the slot is free")
	})
}

// TestInvariantCrashingRequestTableDown: in an outage the node that had the
// request in flight may try it once more; nobody else may.
func TestInvariantCrashingRequestTableDown(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, a, b *suspects.Guard) {
		table.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Fault{Refuse: true} })
		a.Crashed(t.Context(), begin(t, a, "s1", false), "b1")
		b.Merge(a.Marks())
		_, err := b.Begin(t.Context(), fp, "s2", false)
		suspected(t, err)
		r := begin(t, a, "s2", true)
		a.Crashed(t.Context(), r, "b2")
		_, err = a.Begin(t.Context(), fp, "s3", true)
		suspected(t, err)
		table.SetFault(nil)
		a.Wait()
		late := &suspects.Guard{Table: table}
		late.Crashed(t.Context(), begin(t, late, "s4", false), "b4")
		_, err = late.Begin(t.Context(), fp, "s5", true)
		suspected(t, err)
		require.Len(t, late.Marks()[0].Incidents, 4, "what happened in the outage was written after it")
		late.Wait()
	})
}

// TestInvariantCrashingRequestWaitsForOthers: who tells of a crash goes on when
// the others know, or after a bounded time.
func TestInvariantCrashingRequestWaitsForOthers(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *tabletest.Table, a, b *suspects.Guard) {
		deaf := false
		a.Spread = func(ctx context.Context, marks []suspect.Mark) {
			if deaf {
				<-ctx.Done()
				return
			}
			time.Sleep(50 * time.Millisecond)
			b.Merge(marks)
		}
		a.Crashed(t.Context(), begin(t, a, "s1", false), "b1")
		require.Equal(t, suspect.Isolate, b.Verdict(fp))
		a.Wait()
		deaf = true
		begun := time.Now()
		a.Crashed(t.Context(), begin(t, a, "s2", true), "b2")
		require.LessOrEqual(t, time.Since(begun), 2*suspects.DefaultSpreadWait, "charge and crash")
	})
}

func TestOldMarksAreRemoved(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, a, _ *suspects.Guard) {
		a.Crashed(t.Context(), begin(t, a, "s1", false), "b1")
		begin(t, a, "s2", true)
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

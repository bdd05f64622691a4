package claims_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/claim"
	"guavapaddle/core/outcome"
	"guavapaddle/internal/claims"
	"guavapaddle/internal/testbed/await"
	"guavapaddle/internal/testbed/tabletest"
)

// objects is an in-memory object store.
type objects struct {
	mu   sync.Mutex
	data map[string][]byte
	down bool
}

func (o *objects) Put(_ context.Context, key string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return context.DeadlineExceeded
	}
	o.data[key] = body
	return nil
}

func (o *objects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if b, found := o.data[key]; found && !o.down {
		return b, nil
	}
	return nil, context.DeadlineExceeded
}

// inBubble runs f in a synctest bubble with a table and a store.
func inBubble(t *testing.T, f func(t *testing.T, table *tabletest.Table, s *claims.Store)) {
	synctest.Test(t, func(t *testing.T) {
		table := tabletest.New()
		s := store(t, table, "n1")
		f(t, table, s)
	})
}

// store returns a store on the table that runs until the test ends.
func store(t *testing.T, table claims.Table, node string, set ...func(s *claims.Store)) *claims.Store {
	ctx, cancel := context.WithCancel(context.Background())
	s := &claims.Store{Table: table, Objects: &objects{data: map[string][]byte{}}, Node: node, Incarnation: 1}
	for _, f := range set {
		f(s)
	}
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); await.Value(t, done, "end of the store") })
	return s
}

// callWithKey returns a call with the given key.
func callWithKey(key string) claims.Call {
	return claims.Call{Team: "corella", Key: key, BodyHash: "h", RequestID: "r-" + key, Deadline: time.Now().Add(5 * time.Second)}
}

// requireFlush requires that all answers and releases take effect within a minute.
func requireFlush(t *testing.T, s *claims.Store) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.Zero(t, s.Flush(ctx))
}

// requireRefused requires that err is a refusal because the table is down.
func requireRefused(t *testing.T, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, outcome.RefusedNotRun, outcome.From(err).Outcome)
	require.Equal(t, outcome.TableDown, outcome.From(err).Reason)
	require.NotZero(t, outcome.From(err).RetryAfter)
}

func TestClaimsAreBatched(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, s *claims.Store) {
		const calls = 500
		var wg sync.WaitGroup
		for i := range calls {
			time.Sleep(2 * time.Millisecond)
			wg.Go(func() {
				g, err := s.Claim(t.Context(), callWithKey(fmt.Sprint(i)))
				require.NoError(t, err)
				s.Finish(g.Held, claim.Answer{Status: 200})
			})
		}
		wg.Wait()
		requireFlush(t, s)
		require.LessOrEqual(t, table.Transactions(), 53, "500 calls per second need 50 transactions per second")
	})
}

// TestEightNodesSustainTargetLoad guards against too many transactions and too long waits
// at the target load: 2,000 calls per second that may not be repeated, on 8 nodes with a
// table that takes 5 ms, cause several hundred transactions per second.
func TestEightNodesSustainTargetLoad(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, first *claims.Store) {
		table.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Fault{Delay: 5 * time.Millisecond} })
		stores := []*claims.Store{first}
		for i := range 7 {
			stores = append(stores, store(t, table, fmt.Sprint("n", i+2)))
		}
		const calls, seconds = 4000, 2
		var mu sync.Mutex
		var waits []time.Duration
		var wg sync.WaitGroup
		for i := range calls {
			time.Sleep(seconds * time.Second / calls)
			wg.Go(func() {
				begin := time.Now()
				g, err := stores[i%8].Claim(t.Context(), callWithKey(fmt.Sprint(i)))
				require.NoError(t, err)
				mu.Lock()
				waits = append(waits, time.Since(begin))
				mu.Unlock()
				stores[i%8].Finish(g.Held, claim.Answer{Status: 200})
			})
		}
		wg.Wait()
		slices.Sort(waits)
		t.Logf("%d calls/s on 8 nodes: %d transactions/s, wait for the claim p50 %v p95 %v max %v", calls/seconds,
			table.Transactions()/seconds, waits[calls/2], waits[calls*95/100], waits[calls-1])
		require.LessOrEqual(t, table.Transactions()/seconds, 8*51+8)
		require.LessOrEqual(t, waits[calls*95/100], 30*time.Millisecond)
	})
}

func TestIdleNodeClaimsAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *tabletest.Table, s *claims.Store) {
		begin := time.Now()
		_, err := s.Claim(t.Context(), callWithKey("a"))
		require.NoError(t, err)
		require.Equal(t, begin, time.Now())
	})
}

func TestConflictFailsItsClaimOnly(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, s *claims.Store) {
		other := store(t, table, "n2")
		_, err := other.Claim(t.Context(), callWithKey("3"))
		require.NoError(t, err)
		table.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Fault{Delay: 10 * time.Millisecond} })
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				g, err := s.Claim(t.Context(), callWithKey(fmt.Sprint(i)))
				if i == 3 {
					require.Equal(t, outcome.InProgress, outcome.From(err).Reason)
					return
				}
				require.NoError(t, err)
				require.NotZero(t, g.Held.Revision)
			})
		}
		wg.Wait()
	})
}

// TestInvariantAtMostOnceDoubledCallers guards against a call that is sent twice when
// many callers claim it at the same time through two nodes: exactly one may send it.
func TestInvariantAtMostOnceDoubledCallers(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, s *claims.Store) {
		other := store(t, table, "n2")
		var granted atomic.Int32
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				g, err := []*claims.Store{s, other}[i%2].Claim(t.Context(), callWithKey("a"))
				if err != nil {
					require.Equal(t, outcome.InProgress, outcome.From(err).Reason)
					return
				}
				require.Nil(t, g.Stored)
				granted.Add(1)
			})
		}
		wg.Wait()
		require.EqualValues(t, 1, granted.Load())
	})
}

// TestInvariantAtMostOnceLostInsertAnswer guards against a wrong outcome when the reply
// to an insert is lost: by the attempt id the holder recognizes that its insert took
// effect, and a second caller that the claim is not its own.
func TestInvariantAtMostOnceLostInsertAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, s *claims.Store) {
		table.SetFault(func(c tabletest.Call) tabletest.Fault { return tabletest.Fault{LoseResponse: c.Write} })
		g, err := s.Claim(t.Context(), callWithKey("a"))
		require.NoError(t, err)
		require.NotZero(t, g.Held.Revision)
		_, err = store(t, table, "n2").Claim(t.Context(), callWithKey("a"))
		require.Equal(t, outcome.InProgress, outcome.From(err).Reason)
		require.Equal(t, outcome.Unknown, outcome.From(err).Outcome)
	})
}

func TestTableDownRefusesAtOnce(t *testing.T) {
	for name, fault := range map[string]tabletest.Fault{
		"refuses":       {Refuse: true},
		"breaks":        {DropRequest: true},
		"hangs":         {Hang: true},
		"too slow":      {Delay: 10 * time.Second},
		"loses replies": {LoseResponse: true},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, table *tabletest.Table, s *claims.Store) {
				table.SetFault(func(tabletest.Call) tabletest.Fault { return fault })
				begin := time.Now()
				_, err := s.Claim(t.Context(), callWithKey("a"))
				requireRefused(t, err)
				require.LessOrEqual(t, time.Since(begin), 2*claims.DefaultTimeout)
				begin, n := time.Now(), table.Transactions()
				for i := range 100 {
					_, err = s.Claim(t.Context(), callWithKey(fmt.Sprint(i)))
					requireRefused(t, err)
				}
				require.Equal(t, begin, time.Now(), "claims don't wait while the table is known to be down")
				require.Equal(t, n, table.Transactions())
				table.SetFault(nil)
				time.Sleep(10 * time.Second)
				g, err := s.Claim(t.Context(), callWithKey("a"))
				require.NoError(t, err, "a retry can claim the call when the table is available again")
				require.NotZero(t, g.Held.Revision)
			})
		})
	}
}

// TestInvariantRefusedNotRunLateInsert guards against an insert that reaches the table
// seconds after its caller was refused as not run: it must neither prevent a retry
// through any node from running, nor allow two runs.
func TestInvariantRefusedNotRunLateInsert(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, s *claims.Store) {
		table.SetFault(func(c tabletest.Call) tabletest.Fault {
			if c.Write {
				return tabletest.Fault{ApplyAfter: 3 * time.Second}
			}
			return tabletest.Fault{Hang: true}
		})
		_, err := s.Claim(t.Context(), callWithKey("a"))
		requireRefused(t, err)
		time.Sleep(time.Second)
		table.SetFault(nil)
		time.Sleep(5 * time.Second) // settled before or after the insert arrives
		other := store(t, table, "n2")
		g, err := other.Claim(t.Context(), callWithKey("a"))
		require.NoError(t, err)
		other.Finish(g.Held, claim.Answer{Status: 201, Body: []byte("booked")})
		requireFlush(t, other)
		again, err := s.Claim(t.Context(), callWithKey("a"))
		require.NoError(t, err)
		require.Equal(t, []byte("booked"), again.Stored.Body)
	})
}

// TestAbandonedInsertIsReleased guards against a row that stays claimed when the table
// replies too late for the caller's wait and the insert takes effect.
func TestAbandonedInsertIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := tabletest.New()
		s := store(t, table, "n1", func(s *claims.Store) { s.Wait = 100 * time.Millisecond })
		table.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Fault{Delay: 300 * time.Millisecond} })
		_, err := s.Claim(t.Context(), callWithKey("a"))
		requireRefused(t, err)
		table.SetFault(nil)
		time.Sleep(2 * time.Second)
		_, err = s.Claim(t.Context(), callWithKey("a"))
		require.NoError(t, err)
	})
}

func TestReleasedCallMayBeClaimedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, s *claims.Store) {
		g, err := s.Claim(t.Context(), callWithKey("a"))
		require.NoError(t, err)
		s.Release(g.Held)
		_, err = store(t, table, "n2").Claim(t.Context(), callWithKey("a"))
		require.NoError(t, err)
	})
}

// TestAnswersAreKeptDuringOutage guards against the loss of an answer that can't be
// stored during an outage: it is kept and stored when the table is available again.
func TestAnswersAreKeptDuringOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, s *claims.Store) {
		g, err := s.Claim(t.Context(), callWithKey("a"))
		require.NoError(t, err)
		lost, err := s.Claim(t.Context(), callWithKey("b"))
		require.NoError(t, err)
		table.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Fault{Hang: true} })
		s.Finish(g.Held, claim.Answer{Status: 200, Body: []byte("yes")})
		s.MarkUnknown(lost.Held, outcome.BackendLost)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		require.Equal(t, 2, s.Flush(ctx))
		table.SetFault(nil)
		requireFlush(t, s)
		again, err := store(t, table, "n2").Claim(t.Context(), callWithKey("a"))
		require.NoError(t, err)
		require.Equal(t, []byte("yes"), again.Stored.Body)
		_, err = s.Claim(t.Context(), callWithKey("b"))
		require.Equal(t, outcome.BackendLost, outcome.From(err).Reason)
		require.Equal(t, outcome.Unknown, outcome.From(err).Outcome)
	})
}

func TestLargeAnswersAreStoredInObjectStore(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, s *claims.Store) {
		big := make([]byte, claim.DefaultInlineBytes+1)
		big[7] = 1
		g, err := s.Claim(t.Context(), callWithKey("a"))
		require.NoError(t, err)
		s.Finish(g.Held, claim.Answer{Status: 200, Body: big})
		requireFlush(t, s)
		rows, err := table.Read(t.Context(), claim.Key("corella", "a"))
		require.NoError(t, err)
		require.Less(t, len(rows[0].Value), 2000)
		again, err := s.Claim(t.Context(), callWithKey("a"))
		require.NoError(t, err)
		require.Equal(t, big, again.Stored.Body)

		s.Objects.(*objects).down = true
		_, err = s.Claim(t.Context(), callWithKey("a"))
		require.Equal(t, outcome.AnswerLost, outcome.From(err).Reason)
		require.Equal(t, outcome.FailedAfterStart, outcome.From(err).Outcome, "the call ran")
		b, err := s.Claim(t.Context(), callWithKey("b"))
		require.NoError(t, err)
		s.Finish(b.Held, claim.Answer{Status: 200, Body: big})
		requireFlush(t, s)
		_, err = s.Claim(t.Context(), callWithKey("b"))
		require.Equal(t, outcome.AnswerLost, outcome.From(err).Reason)
	})
}

func TestOldClaimsAreRemoved(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, s *claims.Store) {
		for i := range 20 {
			g, err := s.Claim(t.Context(), callWithKey(fmt.Sprint(i)))
			require.NoError(t, err)
			if i%2 == 0 {
				s.Release(g.Held)
			} else {
				s.Finish(g.Held, claim.Answer{Status: 200})
			}
		}
		time.Sleep(23 * time.Hour)
		again, err := s.Claim(t.Context(), callWithKey("0"))
		require.NoError(t, err)
		s.Finish(again.Held, claim.Answer{Status: 202})
		time.Sleep(2 * time.Hour)
		left, err := table.Scan(t.Context(), claim.Prefix)
		require.NoError(t, err)
		require.Len(t, left, 1, "a claim made an hour ago stays")
		time.Sleep(24 * time.Hour)
		for _, prefix := range []string{claim.Prefix, claim.BatchPrefix} {
			left, err = table.Scan(t.Context(), prefix)
			require.NoError(t, err)
			require.Empty(t, left)
		}
	})
}

// TestInvariantAnswerStoredBeforeCallerHears guards against a retry through another node,
// right after the answer, that doesn't get the stored answer while the table replies in
// its usual time, and against a slow or unavailable table that delays an answer by more
// than FinishTimeout.
func TestInvariantAnswerStoredBeforeCallerHears(t *testing.T) {
	inBubble(t, func(t *testing.T, table *tabletest.Table, s *claims.Store) {
		table.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Fault{Delay: 20 * time.Millisecond} })
		other := store(t, table, "n2")
		for i := range 20 {
			key := fmt.Sprint("k", i)
			g, err := s.Claim(t.Context(), callWithKey(key))
			require.NoError(t, err)
			s.Finish(g.Held, claim.Answer{Status: 200})
			again, err := other.Claim(t.Context(), callWithKey(key))
			require.NoError(t, err)
			require.NotNil(t, again.Stored)
		}
		g, err := s.Claim(t.Context(), callWithKey("slow"))
		require.NoError(t, err)
		table.SetFault(func(tabletest.Call) tabletest.Fault { return tabletest.Fault{Hang: true} })
		begin := time.Now()
		s.Finish(g.Held, claim.Answer{Status: 200})
		require.Equal(t, claims.DefaultFinishTimeout, time.Since(begin))
		table.SetFault(nil)
		requireFlush(t, s)
	})
}

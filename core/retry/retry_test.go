package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/outcome"
	"guavapaddle/core/retry"
)

var (
	notSent    = outcome.Refuse(outcome.BackendUnreachable, "", 0)
	refused    = outcome.Refuse(outcome.BackendRefused, "", 0)
	lost       = outcome.Unconfirmed(outcome.BackendLost, "")
	failed     = outcome.Fail(outcome.BackendFailed, "")
	badRequest = outcome.Refuse(outcome.BadRequest, "", 0)
	suspect    = outcome.Refuse(outcome.CrashSuspect, "", 0)
)

func TestDecide(t *testing.T) {
	const left = time.Second
	for name, c := range map[string]struct {
		f      retry.Failure
		action retry.Action
		reason retry.Reason
	}{
		"not sent, not repeatable":         {retry.Failure{Attempt: 1, Err: notSent, Remaining: left}, retry.Retry, retry.NotRun},
		"refused, not repeatable":          {retry.Failure{Attempt: 1, Err: refused, Remaining: left}, retry.Retry, retry.NotRun},
		"lost, not repeatable":             {retry.Failure{Attempt: 1, Err: lost, Remaining: left}, retry.Stop, retry.NotRepeatable},
		"failed, not repeatable":           {retry.Failure{Attempt: 1, Err: failed, Remaining: left}, retry.Stop, retry.NotRepeatable},
		"refused but started":              {retry.Failure{Attempt: 1, Err: notSent, Started: true, Remaining: left}, retry.Stop, retry.NotRepeatable},
		"lost, repeatable":                 {retry.Failure{Attempt: 1, Err: lost, Repeatable: true, Remaining: left}, retry.Retry, retry.Repeatable},
		"lost after tokens":                {retry.Failure{Attempt: 1, Err: lost, Repeatable: true, Started: true, Tokens: 3, Remaining: left}, retry.Resume, retry.TokensSeen},
		"lost after tokens, may not rerun": {retry.Failure{Attempt: 1, Err: lost, Started: true, Tokens: 3, Remaining: left}, retry.Stop, retry.NotRepeatable},
		"last attempt":                     {retry.Failure{Attempt: 3, Err: notSent, Repeatable: true, Remaining: left}, retry.Stop, retry.Attempts},
		"no time":                          {retry.Failure{Attempt: 1, Err: notSent, Repeatable: true, Remaining: time.Millisecond}, retry.Stop, retry.NoTime},
		"bad request":                      {retry.Failure{Attempt: 1, Err: badRequest, Repeatable: true, Remaining: left}, retry.Stop, retry.Final},
		"crash suspect":                    {retry.Failure{Attempt: 1, Err: suspect, Repeatable: true, Remaining: left}, retry.Stop, retry.Final},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, retry.Verdict{Action: c.action, Reason: c.reason}, retry.Policy{}.Decide(c.f))
		})
	}
}

func TestBackoffDoublesWithinBoundsAndIsDeterministic(t *testing.T) {
	p := retry.Policy{Base: 10 * time.Millisecond, Max: 80 * time.Millisecond}
	a, b := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(1, 2))
	for attempt, middle := range map[int]time.Duration{2: 10, 3: 20, 4: 40, 5: 80, 9: 80} {
		middle *= time.Millisecond
		least, most := time.Hour, time.Duration(0)
		for range 100 {
			w := p.Backoff(attempt, a)
			least, most = min(least, w), max(most, w)
			require.GreaterOrEqual(t, w, middle/2)
			require.LessOrEqual(t, w, middle*3/2)
			require.Equal(t, w, p.Backoff(attempt, b))
		}
		require.Less(t, least, middle*7/10, "waits must differ, so that retries are spread in time")
		require.Greater(t, most, middle*13/10)
	}
}

// TestInvariantRetryBudget checks that retries stay below 0.2 of the first
// attempts for any fraction of servers down and any duration, and that retries are
// possible at once after recovery.
func TestInvariantRetryBudget(t *testing.T) {
	for _, down := range []float64{0.1, 0.5, 0.9, 1} {
		r := rand.New(rand.NewPCG(4, 2))
		now := time.UnixMilli(1_800_000_000_000)
		var b retry.Budget
		const firstAttempts = 20000
		retries := 0
		for range firstAttempts {
			now = now.Add(5 * time.Millisecond) // 200 per second
			failed := r.Float64() < down
			if !failed {
				b.Success()
			}
			for attempt := 1; failed; attempt++ {
				v := retry.Policy{}.Decide(retry.Failure{Attempt: attempt, Err: lost, Repeatable: true, Remaining: time.Second})
				if v.Action != retry.Retry || !b.Take(now) {
					break
				}
				retries++
				failed = r.Float64() < down
			}
		}
		require.Less(t, float64(retries), 0.2*firstAttempts, "%v of the servers down", down)
		if down == 0.1 {
			require.Greater(t, float64(retries), 0.08*firstAttempts, "nearly all failures of a small outage must be retried")
		}
		for range 50 {
			b.Success()
		}
		require.True(t, b.Take(now))
	}
}

func TestBudgetFloorAllowsRetryWithoutTraffic(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	b := retry.Budget{PerSecond: 1, Burst: 2}
	require.True(t, b.Take(now))
	require.True(t, b.Take(now))
	require.False(t, b.Take(now))
	require.False(t, b.Take(now.Add(-time.Hour)), "a clock that moves backwards must add no tokens")
	require.True(t, b.Take(now.Add(time.Second)))
	require.False(t, b.Take(now.Add(time.Second)))
	require.Less(t, b.Left(), 1.0)
}

func TestBudgetWithoutRefillIsSpentOnce(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	b := retry.Budget{PerSuccess: -1, PerSecond: -1, Burst: 1}
	require.True(t, b.Take(now))
	for range 100 {
		b.Success()
	}
	require.False(t, b.Take(now.Add(time.Hour)))
}

func BenchmarkBudget(b *testing.B) {
	var budget retry.Budget
	now := time.UnixMilli(1_800_000_000_000)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.Success()
		budget.Take(now)
	}
}

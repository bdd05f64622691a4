package grant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
	"guavapaddle/core/grant"
)

// result is the decision on a request.
type result struct {
	granted    bool
	server     string
	reason     balance.Reason
	waited     time.Duration
	retryAfter time.Duration
}

// applyLoad enqueues one request per interval, for the models in turn, until duration has passed.
// Each request has a target of 0.4 s and a deadline of 2 s, and ends 0.3 s after its grant. The
// servers in rates name their rate in each answer.
func applyLoad(s *grant.Scheduler, rates map[string]float64, models []string, interval, duration time.Duration) []result {
	out := map[uint64]result{}
	arrived := map[uint64]time.Time{}
	type run struct {
		id  uint64
		end time.Time
	}
	var running []run
	handle := func(now time.Time, list []grant.Decision) {
		for _, d := range list {
			out[d.ID] = result{d.Granted, d.Selection.Server.ID, d.Reason, now.Sub(arrived[d.ID]), d.RetryAfter}
			if d.Granted {
				running = append(running, run{d.ID, now.Add(300 * time.Millisecond)})
				if r, ok := rates[d.Selection.Server.ID]; ok {
					s.LearnLimit(now, d.ID, &r)
				}
				s.PrefillDone(now, d.ID)
			}
		}
	}
	next := uint64(0)
	for now := start; now.Before(start.Add(duration)); now = now.Add(5 * time.Millisecond) {
		if now.Sub(start) >= time.Duration(next)*interval {
			next++
			r := request(next, models[int(next)%len(models)], 100, 1)
			r.ArrivedAt, r.TargetStart, r.Deadline = now, now.Add(400*time.Millisecond), now.Add(2*time.Second)
			arrived[next] = now
			s.Enqueue(r)
		}
		for len(running) > 0 && !running[0].end.After(now) {
			s.Release(now, running[0].id, balance.Succeeded)
			running = running[1:]
		}
		if now.Sub(start)%(50*time.Millisecond) == 0 {
			handle(now, s.Tick(now))
		}
		handle(now, s.Next(now))
	}
	list := make([]result, 0, len(out))
	for _, r := range out {
		list = append(list, r)
	}
	return list
}

// TestLoadBeyondRateLimitIsRefusedEarly sends 20 requests a second for two models whose only server
// accepts two a second.
func TestLoadBeyondRateLimitIsRefusedEarly(t *testing.T) {
	const rate, seconds = 2.0, 20
	results := applyLoad(newScheduler(server("a", "m", "n")), map[string]float64{"a": rate}, []string{"m", "n"}, 50*time.Millisecond, seconds*time.Second)
	granted, slow, refused := 0, 0, 0
	for _, r := range results {
		if r.granted {
			granted++
			continue
		}
		refused++
		require.Equal(t, balance.Limited, r.reason)
		require.Positive(t, r.retryAfter)
		if r.waited > 150*time.Millisecond {
			slow++
		}
	}
	require.InDelta(t, rate*seconds, granted, 4, "the server gets its full rate")
	require.Greater(t, refused, 300)
	require.LessOrEqual(t, slow, refused/10, "requests that can't start in time are refused at once")
}

// TestUnlimitedServerTakesRemainingLoad sends a load that one of two servers can take alone while
// the other has a rate limit.
func TestUnlimitedServerTakesRemainingLoad(t *testing.T) {
	results := applyLoad(newScheduler(server("a", "m"), server("b", "m")), map[string]float64{"a": 1}, []string{"m"}, 50*time.Millisecond, 10*time.Second)
	at := map[string]int{}
	for _, r := range results {
		require.True(t, r.granted, r)
		require.Less(t, r.waited, 20*time.Millisecond)
		at[r.server]++
	}
	require.LessOrEqual(t, at["a"], 12)
}

func TestLimitEndsWithAnswerWithoutRate(t *testing.T) {
	s := newScheduler(server("a", "m"))
	rate := 0.5
	for id := uint64(1); id <= 9; id++ {
		s.Enqueue(request(id, "m", 100, 1))
		if id == 1 {
			require.Equal(t, []uint64{1}, granted(s.Next(start)))
			s.LearnLimit(start.Add(time.Millisecond), 1, &rate)
		}
	}
	require.Empty(t, s.Next(start.Add(time.Second)))
	now := start.Add(2100 * time.Millisecond)
	s.Invalidate()
	first := granted(s.Next(now))
	require.Len(t, first, 1)
	s.LearnLimit(now, first[0], nil)
	s.Invalidate()
	require.Len(t, granted(s.Next(now)), 7)
	s.LearnLimit(now, 99, nil) // an unknown grant is ignored
}

// TestRequestWithoutServerDoesNotBlockOthers has the most urgent request exclude the only server of
// its model.
func TestRequestWithoutServerDoesNotBlockOthers(t *testing.T) {
	s := newScheduler(server("a", "m"), server("b", "n"))
	r := request(1, "m", 100, 0)
	r.Pick.Exclude = map[string]bool{"a": true}
	s.Enqueue(r)
	s.Enqueue(request(2, "m", 100, 1))
	list := s.Next(start)
	require.Len(t, list, 2)
	require.Equal(t, []uint64{2}, granted(list))
	require.Equal(t, balance.NoServer, list[0].Reason)
	require.Positive(t, list[0].RetryAfter)
	require.Zero(t, s.Waiting())
}

package grant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/balance"
	"guavapaddle/core/grant"
)

// fate is what became of an offered request.
type fate struct {
	granted bool
	server  string
	why     balance.Why
	waited  time.Duration
	after   time.Duration
}

// pressed offers requests for models in turn, one each so often for a time, each with 0.4 s
// to begin in time and two to begin at all, and ends those that are granted after 0.3 s. The
// servers in rates name a rate in each answer.
func pressed(s *grant.Scheduler, rates map[string]float64, models []string, every, lasts time.Duration) []fate {
	out := map[uint64]fate{}
	offered := map[uint64]time.Time{}
	type run struct {
		id  uint64
		end time.Time
	}
	var running []run
	take := func(now time.Time, list []grant.Decision) {
		for _, d := range list {
			out[d.ID] = fate{d.Granted, d.Choice.Server.ID, d.Why, now.Sub(offered[d.ID]), d.After}
			if d.Granted {
				running = append(running, run{d.ID, now.Add(300 * time.Millisecond)})
				if r, ok := rates[d.Choice.Server.ID]; ok {
					s.LearnLimit(now, d.ID, &r)
				}
				s.Begun(now, d.ID)
			}
		}
	}
	next := uint64(0)
	for now := start; now.Before(start.Add(lasts)); now = now.Add(5 * time.Millisecond) {
		if now.Sub(start) >= time.Duration(next)*every {
			next++
			r := request(next, models[int(next)%len(models)], 100, 1)
			r.Since, r.Target, r.Expire = now, now.Add(400*time.Millisecond), now.Add(2*time.Second)
			offered[next] = now
			s.Offer(r)
		}
		for len(running) > 0 && !running[0].end.After(now) {
			s.Release(now, running[0].id, balance.Good)
			running = running[1:]
		}
		if now.Sub(start)%(50*time.Millisecond) == 0 {
			take(now, s.Tick(now))
		}
		take(now, s.Next(now))
	}
	list := make([]fate, 0, len(out))
	for _, f := range out {
		list = append(list, f)
	}
	return list
}

// TestWhatLimitedServersCantTakeIsRefusedSoon plays 20 requests a second for two models
// whose only server takes two.
func TestWhatLimitedServersCantTakeIsRefusedSoon(t *testing.T) {
	const rate, seconds = 2.0, 20
	fates := pressed(scheduler(server("a", "m", "n")), map[string]float64{"a": rate}, []string{"m", "n"}, 50*time.Millisecond, seconds*time.Second)
	granted, slow, refused := 0, 0, 0
	for _, f := range fates {
		if f.granted {
			granted++
			continue
		}
		refused++
		require.Equal(t, balance.Limited, f.why)
		require.Positive(t, f.after)
		if f.waited > 150*time.Millisecond {
			slow++
		}
	}
	require.InDelta(t, rate*seconds, granted, 4, "the server gets all that it takes")
	require.Greater(t, refused, 300)
	require.LessOrEqual(t, slow, refused/10, "what can't begin in time is refused at once")
}

// TestOtherServersTakeWhatALimitedOneCant plays a load that one of two servers takes.
func TestOtherServersTakeWhatALimitedOneCant(t *testing.T) {
	fates := pressed(scheduler(server("a", "m"), server("b", "m")), map[string]float64{"a": 1}, []string{"m"}, 50*time.Millisecond, 10*time.Second)
	at := map[string]int{}
	for _, f := range fates {
		require.True(t, f.granted, f)
		require.Less(t, f.waited, 20*time.Millisecond)
		at[f.server]++
	}
	require.LessOrEqual(t, at["a"], 12)
}

func TestALimitEndsWithAnAnswerThatNamesNone(t *testing.T) {
	s := scheduler(server("a", "m"))
	rate := 0.5
	for id := uint64(1); id <= 9; id++ {
		s.Offer(request(id, "m", 100, 1))
		if id == 1 {
			require.Equal(t, []uint64{1}, granted(s.Next(start)))
			s.LearnLimit(start.Add(time.Millisecond), 1, &rate)
		}
	}
	require.Empty(t, s.Next(start.Add(time.Second)))
	now := start.Add(2100 * time.Millisecond)
	s.Changed()
	first := granted(s.Next(now))
	require.Len(t, first, 1)
	s.LearnLimit(now, first[0], nil)
	s.Changed()
	require.Len(t, granted(s.Next(now)), 7)
	s.LearnLimit(now, 99, nil) // an unknown grant tells of no server
}

// TestARequestWithNoServerLeftHoldsNobodyUp has the most urgent request exclude the only
// server.
func TestARequestWithNoServerLeftHoldsNobodyUp(t *testing.T) {
	s := scheduler(server("a", "m"), server("b", "n"))
	r := request(1, "m", 100, 0)
	r.Pick.Exclude = map[string]bool{"a": true}
	s.Offer(r)
	s.Offer(request(2, "m", 100, 1))
	list := s.Next(start)
	require.Len(t, list, 2)
	require.Equal(t, []uint64{2}, granted(list))
	require.Equal(t, balance.NoServer, list[0].Why)
	require.Positive(t, list[0].After)
	require.Zero(t, s.Waiting())
}

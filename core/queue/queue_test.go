package queue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
	"guavapaddle/core/queue"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func entry(id string, u config.Urgency, value, deadline float64) queue.Entry {
	e := queue.Entry{ID: id, Kind: string(u), Urgency: u, Value: value}
	if deadline > 0 {
		e.Deadline = at(deadline)
	}
	return e
}

// drain dispatches until no more entries may run and returns their IDs.
func drain(q *queue.Queue, now time.Time) []string {
	var ids []string
	for d, ok := q.Next(now); ok; d, ok = q.Next(now) {
		ids = append(ids, d.ID)
	}
	return ids
}

func TestOrder(t *testing.T) {
	tests := []struct {
		name    string
		entries []queue.Entry
		want    []string
	}{
		{"urgency first", []queue.Entry{
			entry("d", config.Deferrable, 9, 0), entry("n", config.Normal, 5, 0), entry("u", config.Urgent, 1, 0),
		}, []string{"u", "n", "d"}},
		{"value within urgency", []queue.Entry{
			entry("low", config.Normal, 1, 10), entry("high", config.Normal, 2, 90),
		}, []string{"high", "low"}},
		{"value per second of service time", []queue.Entry{
			{ID: "long", Kind: "long", Urgency: config.Normal, Value: 10, Tokens: 90}, {ID: "short", Kind: "short", Urgency: config.Normal, Value: 8, Tokens: 30},
		}, []string{"short", "long"}},
		{"deadline within value", []queue.Entry{
			entry("none", config.Normal, 1, 0), entry("late", config.Normal, 1, 90), entry("soon", config.Normal, 1, 50),
		}, []string{"soon", "late", "none"}},
		{"arrival within deadline", []queue.Entry{
			entry("first", config.Normal, 1, 60), entry("second", config.Normal, 1, 60),
		}, []string{"first", "second"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := queue.New(queue.Settings{Slots: 1, CancelToPreempt: true})
			require.True(t, q.Enqueue(at(0), entry("running", config.Urgent, 1, 0)).Admitted)
			require.Equal(t, []string{"running"}, drain(q, at(0)))
			for _, e := range tt.entries {
				require.True(t, q.Enqueue(at(0), e).Admitted)
			}
			var got []string
			for id := "running"; id != ""; {
				require.True(t, q.Done(id, at(1), 0))
				id = ""
				for _, next := range drain(q, at(1)) {
					id, got = next, append(got, next)
				}
			}
			require.Equal(t, tt.want, got)
		})
	}
}

func TestRefusals(t *testing.T) {
	t.Run("deadline unreachable by the work ahead", func(t *testing.T) {
		q := queue.New(queue.Settings{Slots: 2, Seconds: 1})
		for i := range 6 {
			require.True(t, q.Enqueue(at(0), entry(fmt.Sprint(i), config.Urgent, 1, 0)).Admitted)
			drain(q, at(0))
		}
		// The 2 running entries take 1 s more and the 4 waiting ones 2 s, so the
		// seventh starts after 3 s and completes after 4 s.
		r := q.Enqueue(at(0), entry("late", config.Urgent, 0, 3))
		require.False(t, r.Admitted)
		require.Equal(t, outcome.DeadlineUnreachable, r.Reason)
		require.Equal(t, time.Second, r.RetryAfter)
		require.True(t, q.Enqueue(at(0), entry("in-time", config.Urgent, 0, 4.1)).Admitted)
	})
	t.Run("full queue evicts less urgent work", func(t *testing.T) {
		q := queue.New(queue.Settings{Slots: 1, Limit: 2})
		q.Enqueue(at(0), entry("runs", config.Urgent, 1, 0))
		drain(q, at(0))
		require.True(t, q.Enqueue(at(0), entry("d1", config.Deferrable, 1, 0)).Admitted)
		require.True(t, q.Enqueue(at(0), entry("d2", config.Deferrable, 2, 0)).Admitted)
		r := q.Enqueue(at(0), entry("d3", config.Deferrable, 3, 0))
		require.Equal(t, outcome.QueueFull, r.Reason)
		require.Positive(t, r.RetryAfter)
		r = q.Enqueue(at(0), entry("n", config.Normal, 0, 0))
		require.True(t, r.Admitted)
		require.Equal(t, "d1", r.Evicted.ID)
		require.Equal(t, outcome.Preempted, r.Evicted.Reason)
	})
	t.Run("same id twice", func(t *testing.T) {
		q := queue.New(queue.Settings{})
		require.True(t, q.Enqueue(at(0), entry("a", config.Normal, 1, 0)).Admitted)
		require.Equal(t, outcome.InProgress, q.Enqueue(at(0), entry("a", config.Normal, 1, 0)).Reason)
		drain(q, at(0))
		require.Equal(t, outcome.InProgress, q.Enqueue(at(0), entry("a", config.Normal, 1, 0)).Reason)
	})
	t.Run("idle server admits a probe despite a high estimate", func(t *testing.T) {
		q := queue.New(queue.Settings{Slots: 4})
		q.Enqueue(at(0), entry("slow", config.Normal, 1, 0))
		drain(q, at(0))
		require.True(t, q.Done("slow", at(100), 100))
		require.True(t, q.Enqueue(at(100), entry("probe", config.Normal, 1, 101)).Admitted)
		require.Empty(t, q.Expire(at(100)))
		require.Equal(t, []string{"probe"}, drain(q, at(100)))
	})
}

func TestExpire(t *testing.T) {
	q := queue.New(queue.Settings{Slots: 1, Seconds: 1, CancelToPreempt: true})
	q.Enqueue(at(0), entry("runs", config.Urgent, 1, 0))
	drain(q, at(0))
	require.True(t, q.Enqueue(at(0), entry("a", config.Urgent, 2, 5)).Admitted)
	require.True(t, q.Enqueue(at(0), entry("b", config.Urgent, 1, 6)).Admitted)
	when, ok := q.NextExpiry()
	require.True(t, ok)
	require.Empty(t, q.Expire(at(4)))
	require.False(t, when.Before(at(4)))
	ended := q.Expire(when)
	require.Len(t, ended, 1)
	require.Equal(t, "a", ended[0].ID)
	require.Equal(t, outcome.DeadlineUnreachable, ended[0].Reason)
	require.Positive(t, ended[0].RetryAfter)
	ended = q.Expire(at(7))
	require.Equal(t, outcome.DeadlinePassed, ended[0].Reason)
	require.Zero(t, q.State(at(7)).Queued)
}

func TestDeferrable(t *testing.T) {
	t.Run("leaves reserved slots free", func(t *testing.T) {
		q := queue.New(queue.Settings{Slots: 8, Reserve: 2})
		for i := range 8 {
			q.Enqueue(at(0), entry(fmt.Sprint(i), config.Deferrable, 1, 0))
		}
		require.Len(t, drain(q, at(0)), 6)
		q.Enqueue(at(0), entry("n", config.Normal, 1, 0))
		require.Equal(t, []string{"n"}, drain(q, at(0)))
	})
	t.Run("preempted by urgent work through cancellation", func(t *testing.T) {
		q := queue.New(queue.Settings{Slots: 2, Reserve: -1, CancelToPreempt: true})
		q.Enqueue(at(0), entry("d1", config.Deferrable, 1, 0))
		q.Enqueue(at(0), entry("d2", config.Deferrable, 1, 0))
		require.Len(t, drain(q, at(0)), 2)
		q.Enqueue(at(0), entry("u1", config.Urgent, 1, 0))
		d, ok := q.Next(at(0))
		require.True(t, ok)
		require.Equal(t, "d2", d.Preempts)
		q.Done("d2", at(0), 0)
		q.Enqueue(at(0), entry("u2", config.Urgent, 1, 0))
		d, ok = q.Next(at(0))
		require.True(t, ok)
		require.Equal(t, "d1", d.Preempts)
		q.Enqueue(at(0), entry("u3", config.Urgent, 1, 0))
		require.Empty(t, drain(q, at(0)), "urgent work occupies every slot")
	})
	t.Run("two urgent entries cancel two deferrable entries", func(t *testing.T) {
		q := queue.New(queue.Settings{Slots: 2, Reserve: -1, CancelToPreempt: true})
		q.Enqueue(at(0), entry("d1", config.Deferrable, 1, 0))
		q.Enqueue(at(0), entry("d2", config.Deferrable, 1, 0))
		require.Len(t, drain(q, at(0)), 2)
		var cancelled []string
		for i := range 2 {
			q.Enqueue(at(0), entry(fmt.Sprint("u", i), config.Urgent, 1, 0))
			d, ok := q.Next(at(0))
			require.True(t, ok)
			cancelled = append(cancelled, d.Preempts)
		}
		require.Equal(t, []string{"d2", "d1"}, cancelled)
	})
	t.Run("preempted by urgent work through engine priority", func(t *testing.T) {
		q := queue.New(queue.Settings{Slots: 2, Reserve: -1})
		q.Enqueue(at(0), entry("d1", config.Deferrable, 1, 0))
		q.Enqueue(at(0), entry("d2", config.Deferrable, 1, 0))
		require.Len(t, drain(q, at(0)), 2)
		for i := range 3 {
			q.Enqueue(at(0), entry(fmt.Sprint("u", i), config.Urgent, 1, 0))
		}
		q.Enqueue(at(0), entry("n", config.Normal, 1, 0))
		d, ok := q.Next(at(0))
		require.True(t, ok)
		require.Empty(t, d.Preempts)
		require.Equal(t, 2, d.Priority)
		require.Len(t, drain(q, at(0)), 1)
		q.Done("u0", at(1), 1)
		require.Equal(t, []string{"u2"}, drain(q, at(1)))
	})
	t.Run("makes progress under a constant stream of urgent work", func(t *testing.T) {
		q := queue.New(queue.Settings{Slots: 1, AgeAfter: 10 * time.Second, AgingInterval: 4, Limit: 1000})
		q.Enqueue(at(0), entry("d", config.Deferrable, 0, 0))
		dispatchedAt := -1
		for i := range 60 {
			now := at(float64(i))
			q.Enqueue(now, entry(fmt.Sprint("u", i), config.Urgent, 1, 0))
			q.Enqueue(now, entry(fmt.Sprint("v", i), config.Urgent, 1, 0))
			for _, id := range drain(q, now) {
				if id == "d" {
					dispatchedAt = i
				}
				q.Done(id, now, 0)
			}
		}
		require.GreaterOrEqual(t, dispatchedAt, 0, "the deferrable entry never ran")
		require.LessOrEqual(t, dispatchedAt, 10+4)
	})
}

func TestIsolatedEntry(t *testing.T) {
	q := queue.New(queue.Settings{Slots: 4})
	q.Enqueue(at(0), entry("a", config.Normal, 1, 0))
	require.Equal(t, []string{"a"}, drain(q, at(0)))
	suspect := entry("suspect", config.Normal, 5, 0)
	suspect.Isolated = true
	q.Enqueue(at(0), suspect)
	q.Enqueue(at(0), entry("b", config.Normal, 1, 0))
	require.Empty(t, drain(q, at(0)), "b must not start before the isolated entry ahead of it")
	q.Done("a", at(1), 1)
	require.Equal(t, []string{"suspect"}, drain(q, at(1)))
	q.Enqueue(at(1), entry("u", config.Urgent, 1, 0))
	require.Empty(t, drain(q, at(1)), "no entry may run concurrently with the isolated one")
	q.Done("suspect", at(2), 1)
	require.Equal(t, []string{"u", "b"}, drain(q, at(2)))
}

// TestProperties applies random operations to a queue and compares its state
// with a simple model.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := queue.Settings{
			Slots: rapid.IntRange(1, 6).Draw(t, "slots"), Reserve: -1, Limit: rapid.IntRange(1, 20).Draw(t, "limit"),
			CancelToPreempt: rapid.Bool().Draw(t, "cancel"), AgeAfter: 3 * time.Second,
		}
		q := queue.New(set)
		now, next := at(0), 0
		waiting, running := map[string]queue.Entry{}, map[string]queue.Entry{}
		cancelled := map[string]bool{}
		urgencies := []config.Urgency{config.Urgent, config.Normal, config.Deferrable}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				e := entry(fmt.Sprint(next), rapid.SampledFrom(urgencies).Draw(t, "urgency"), float64(rapid.IntRange(0, 2).Draw(t, "value")), 0)
				e.Isolated = rapid.IntRange(0, 9).Draw(t, "alone") == 0
				if rapid.Bool().Draw(t, "has-deadline") {
					e.Deadline = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")) * time.Second)
				}
				next++
				r := q.Enqueue(now, e)
				if !r.Admitted {
					require.NotEmpty(t, r.Reason)
					require.Positive(t, r.RetryAfter)
					return
				}
				if r.Evicted != nil {
					require.Contains(t, waiting, r.Evicted.ID)
					delete(waiting, r.Evicted.ID)
				}
				waiting[e.ID] = e
			},
			"next": func(t *rapid.T) {
				d, ok := q.Next(now)
				if !ok {
					return
				}
				require.Contains(t, waiting, d.ID)
				for _, r := range running {
					require.False(t, r.Isolated || d.Isolated, "an entry runs concurrently with an isolated one")
				}
				delete(waiting, d.ID)
				running[d.ID] = d.Entry
				if d.Preempts != "" {
					require.Equal(t, config.Deferrable, running[d.Preempts].Urgency)
					require.False(t, cancelled[d.Preempts], "cancelled twice")
					cancelled[d.Preempts] = true
				}
			},
			"done": func(t *rapid.T) {
				for id := range running {
					require.True(t, q.Done(id, now, 1))
					delete(running, id)
					delete(cancelled, id)
					return
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				for _, e := range q.Expire(now) {
					require.Contains(t, waiting, e.ID)
					require.False(t, e.Deadline.IsZero())
					delete(waiting, e.ID)
				}
			},
			"": func(t *rapid.T) {
				s := q.State(now)
				require.Equal(t, len(waiting), s.Queued)
				require.Equal(t, len(running), s.Running)
				require.LessOrEqual(t, s.Queued, set.Limit)
				deferrable, other := 0, 0
				for _, r := range running {
					if r.Urgency == config.Deferrable {
						deferrable++
					} else {
						other++
					}
				}
				require.LessOrEqual(t, other, set.Slots)
				if set.CancelToPreempt {
					require.LessOrEqual(t, len(running)-len(cancelled), set.Slots)
				}
				for _, e := range waiting {
					require.True(t, e.Deadline.IsZero() || !e.Deadline.Before(now), "an entry past its deadline is still waiting")
				}
			},
		})
	})
}

// BenchmarkQueue measures enqueueing, dispatching and completing one entry while
// n entries wait.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{16, 256, 4096, 65536} {
		b.Run(fmt.Sprint("waiting=", n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			q := queue.New(queue.Settings{Slots: 16, Limit: n + 100})
			urgencies := []config.Urgency{config.Urgent, config.Normal, config.Deferrable}
			id := 0
			enqueue := func() {
				id++
				e := entry(fmt.Sprint(id), urgencies[random.IntN(3)], float64(random.IntN(4)), 1e6+float64(random.IntN(1000)))
				if !q.Enqueue(at(0), e).Admitted {
					b.Fatal("refused")
				}
			}
			for range n {
				enqueue()
			}
			b.ReportAllocs()
			for b.Loop() {
				enqueue()
				if d, ok := q.Next(at(0)); ok {
					q.Done(d.ID, at(0), 1)
				}
			}
		})
	}
}

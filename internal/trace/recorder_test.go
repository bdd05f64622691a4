package trace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/internal/trace"
)

func TestRecorderKeepsLatestEvents(t *testing.T) {
	now := time.UnixMilli(0)
	r := &trace.Recorder{Node: "n1", Capacity: 4, Now: func() time.Time { return now }}
	for i := range 6 {
		now = now.Add(time.Millisecond)
		r.Add(fmt.Sprintf("r%d", i%3), fmt.Sprintf("event-%d", i), trace.String("i", fmt.Sprint(i)))
	}
	tests := map[string][]string{"r0": {"event-3"}, "r1": {"event-4"}, "r2": {"event-2", "event-5"}, "r9": nil}
	for id, want := range tests {
		e, ok := r.Explain(id)
		require.Equal(t, want != nil, ok, id)
		var got []string
		for _, ev := range e.Events {
			got = append(got, ev.Event)
			require.Equal(t, "n1", ev.Node)
			require.Equal(t, int64(ev.Sequence)+1, ev.AtUnixMS)
		}
		require.Equal(t, want, got, id)
	}
}

func TestRecorderLimitsEventsPerRequest(t *testing.T) {
	r := &trace.Recorder{Capacity: 100, PerRequest: 3}
	r.Add("other", "done")
	for i := range 1000 {
		r.Add("busy", fmt.Sprintf("retry-%d", i))
	}
	e, _ := r.Explain("busy")
	require.Len(t, e.Events, 3)
	require.Equal(t, "retry-999", e.Events[2].Event, "the final event is held")
	_, ok := r.Explain("other")
	require.True(t, ok, "events of other requests are not evicted")
}

func BenchmarkAdd(b *testing.B) {
	r := &trace.Recorder{Node: "n1"}
	i := 0
	for b.Loop() {
		i++
		r.Add(fmt.Sprint(i/6), "queued", trace.String("model", "drafter"))
	}
}

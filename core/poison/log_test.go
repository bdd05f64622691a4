package poison_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/poison"
)

func TestLogSendsToNextHubWhatTheLastOneHad(t *testing.T) {
	t.Parallel()
	var l poison.Log
	ids := func(at time.Duration) []uint64 {
		var out []uint64
		for _, c := range l.Unsent(start.Add(at)) {
			out = append(out, c.ID)
		}
		return out
	}
	l.Add(start, poison.Crash{ID: 1})
	require.Equal(t, []uint64{1}, ids(0))
	require.Equal(t, []uint64{1}, ids(0), "the report had no reply")
	l.Acknowledge(7)
	require.Equal(t, []uint64{1}, ids(0), "which hub replies isn't known before")
	l.Acknowledge(7)
	require.Empty(t, ids(0))
	l.Add(start.Add(second), poison.Crash{ID: 2})
	require.Equal(t, []uint64{2}, ids(second))
	l.Acknowledge(8)
	require.Equal(t, []uint64{1, 2}, ids(second), "another hub lacks what was before")
	require.Equal(t, 3*second, l.Unsent(start.Add(3 * second))[0].Age)
	l.Acknowledge(8)
	l.Acknowledge(9)
	require.Empty(t, ids(2*time.Hour), "old crashes aren't sent")
}

func TestSoundsAreSentOnceToEachHub(t *testing.T) {
	t.Parallel()
	var s poison.Sounds
	s.Add(service, "a", start)
	s.Add(service, "a", start.Add(-second))
	s.Add(service, "b", start)
	want := []poison.Sound{{Service: service, Part: "a", Age: second}}
	only := map[poison.Part]bool{"a": true}
	for _, hub := range []uint64{7, 7} {
		require.Equal(t, want, s.Unsent(start.Add(second), only))
		s.Acknowledge(hub)
	}
	require.Empty(t, s.Unsent(start.Add(second), only))
	require.Len(t, s.Unsent(start.Add(second), nil), 1, "the other one wasn't asked for")
	s.Add(service, "a", start.Add(second))
	require.Equal(t, []poison.Sound{{Service: service, Part: "a"}}, s.Unsent(start.Add(second), only))
	s.Acknowledge(8)
	require.Len(t, s.Unsent(start.Add(second), nil), 2, "another hub lacks all")
}

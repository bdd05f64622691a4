package admission_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/admission"
)

var start = time.Unix(1000, 0)

// record records a round trip to each of n peers at a time.
func record(r *admission.RoundTrips, at time.Time, n int, took func(peer int) time.Duration) {
	for i := range n {
		r.Record(at, strconv.Itoa(i), took(i))
	}
}

// distance returns a round trip without queueing: peers are at different distances.
func distance(peer int) time.Duration { return time.Duration(1+10*peer) * time.Millisecond }

func TestDelayOfAllPeersIsTheLinks(t *testing.T) {
	var r admission.RoundTrips
	record(&r, start, 8, distance)
	require.Zero(t, r.Delay(start))
	record(&r, start, 8, func(peer int) time.Duration { return distance(peer) + 200*time.Millisecond })
	require.Equal(t, 200*time.Millisecond, r.Delay(start))
	require.Equal(t, 200*time.Millisecond, r.Delay(start.Add(time.Second)), "nothing shows that it is shorter")
	record(&r, start.Add(time.Second), 1, distance)
	require.Zero(t, r.Delay(start.Add(time.Second)), "one round trip shows it")
}

// TestDelayOfSomePeersIsTheirs guards against a VM that rejects requests since some servers are slow to accept connections.
func TestDelayOfSomePeersIsTheirs(t *testing.T) {
	var r admission.RoundTrips
	record(&r, start, 8, distance)
	record(&r, start, 8, func(peer int) time.Duration {
		if peer < 5 {
			return distance(peer) + time.Second
		}
		return distance(peer)
	})
	require.Zero(t, r.Delay(start))
}

func TestFewPeersShowNoDelay(t *testing.T) {
	var r admission.RoundTrips
	record(&r, start, 3, distance)
	record(&r, start, 3, func(int) time.Duration { return time.Second })
	require.Zero(t, r.Delay(start))
}

// TestServersThatHangShowNoDelay guards against a VM that rejects requests since some servers don't accept connections.
func TestServersThatHangShowNoDelay(t *testing.T) {
	var r admission.RoundTrips
	record(&r, start, 8, distance)
	for i := range 7 {
		r.Begin(start, strconv.Itoa(i))
	}
	now := start.Add(200 * time.Millisecond)
	r.End(now, r.Begin(now.Add(-100*time.Millisecond), "7"), true)
	require.Less(t, r.Delay(now), 30*time.Millisecond)
}

// TestDelayIsSeenBeforeDialsEnd begins dials that the queue delays.
func TestDelayIsSeenBeforeDialsEnd(t *testing.T) {
	var r admission.RoundTrips
	record(&r, start, 8, distance)
	ids := make([]uint64, 8)
	for i := range ids {
		ids[i] = r.Begin(start, strconv.Itoa(i))
	}
	require.Greater(t, r.Delay(start.Add(300*time.Millisecond)), 200*time.Millisecond)
	for i, id := range ids {
		r.End(start.Add(distance(i)+300*time.Millisecond), id, true)
	}
	require.Equal(t, 300*time.Millisecond, r.Delay(start.Add(400*time.Millisecond)))
}

// TestPeerThatWasNeverReachedShowsNoDelay dials peers of which no round trip is known.
func TestPeerThatWasNeverReachedShowsNoDelay(t *testing.T) {
	var r admission.RoundTrips
	for i := range 8 {
		r.End(start.Add(time.Second), r.Begin(start, strconv.Itoa(i)), false)
	}
	require.Zero(t, r.Delay(start.Add(time.Second)))
}

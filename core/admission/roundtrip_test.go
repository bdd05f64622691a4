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
	require.Zero(t, r.Delay(start.Add(time.Second)), "it tells nothing any more")
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

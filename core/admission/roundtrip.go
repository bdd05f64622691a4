package admission

import "time"

const (
	// roundTripTTL is how long a round trip counts as a sample of the present delay.
	roundTripTTL = 300 * time.Millisecond
	// minPeers is the number of different peers whose round trips must agree that this VM's own link is the cause.
	minPeers = 4
	// maxRoundTrips bounds the round trips that are kept.
	maxRoundTrips = 64
	// maxPeers bounds the peers whose fastest round trip is kept.
	maxPeers = 4096
)

type (
	// RoundTrips estimates the queueing delay of this VM's link from round trips to different peers, as LEDBAT (RFC 6817) does for one: what a
	// round trip takes beyond the fastest one to the same peer. A slow peer delays its own round trips only, so the smallest excess
	// counts. The zero value is ready to use.
	RoundTrips struct {
		fastest map[string]time.Duration
		recent  []roundTrip
	}

	// roundTrip is one round trip.
	roundTrip struct {
		at     time.Time
		peer   string
		excess time.Duration
	}
)

// Record records a round trip to a peer that ended at a time.
func (r *RoundTrips) Record(at time.Time, peer string, took time.Duration) {
	if r.fastest == nil || len(r.fastest) >= maxPeers {
		r.fastest = map[string]time.Duration{}
	}
	f, ok := r.fastest[peer]
	if !ok || took < f {
		f = took
		r.fastest[peer] = f
	}
	if len(r.recent) == maxRoundTrips {
		r.recent = append(r.recent[:0], r.recent[1:]...)
	}
	r.recent = append(r.recent, roundTrip{at: at, peer: peer, excess: took - f})
}

// Delay returns the queueing delay, zero if too few peers show it.
func (r *RoundTrips) Delay(now time.Time) time.Duration {
	peers := map[string]bool{}
	least := time.Duration(-1)
	for i := len(r.recent) - 1; i >= 0 && len(peers) < minPeers; i-- {
		t := r.recent[i]
		if now.Sub(t.at) > roundTripTTL {
			break
		}
		peers[t.peer] = true
		if least < 0 || t.excess < least {
			least = t.excess
		}
	}
	if len(peers) < minPeers {
		return 0
	}
	return least
}

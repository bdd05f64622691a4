package admission

import (
	"slices"
	"time"
)

const (
	// roundTripTTL is how long an ended round trip counts as a sample of the present delay.
	roundTripTTL = 300 * time.Millisecond
	// minPeers is the number of different peers whose round trips must agree that this VM's own link is the cause.
	minPeers = 4
	// maxRoundTrips bounds the ended round trips of each kind that are kept, and maxOpen those under way.
	maxRoundTrips = 64
	maxOpen       = 4096
	// maxPeers bounds the peers whose fastest round trip is kept.
	maxPeers = 4096
)

type (
	// RoundTrips estimates the queueing delay of this VM's link from round trips to different peers, as LEDBAT (RFC 6817) does for one: what a
	// round trip takes beyond the fastest one to the same peer. A slow peer delays its own round trips only, so the smallest excess
	// counts. A round trip that is under way, or was given up, takes at least as long as it has taken, unless one that began later was
	// faster: a queue that is longer than callers wait is seen by these alone. Without a new sample the delay stays as it was. The zero
	// value is ready to use.
	RoundTrips struct {
		fastest   map[string]time.Duration
		open      map[uint64]roundTrip
		completed []roundTrip // oldest first
		givenUp   []roundTrip // likewise
		lastID    uint64
		delay     time.Duration // last estimate
	}

	// roundTrip is one round trip. One that is under way has no end.
	roundTrip struct {
		peer         string
		began, ended time.Time
	}
)

// Begin records that a round trip to a peer begins, and returns its number for End.
func (r *RoundTrips) Begin(at time.Time, peer string) uint64 {
	r.lastID++
	if r.open == nil {
		r.open = map[uint64]roundTrip{}
	}
	if len(r.open) < maxOpen {
		r.open[r.lastID] = roundTrip{peer: peer, began: at}
	}
	return r.lastID
}

// End records that a round trip was completed, or given up.
func (r *RoundTrips) End(at time.Time, id uint64, completed bool) {
	t, ok := r.open[id]
	if !ok {
		return
	}
	delete(r.open, id)
	t.ended = at
	if completed {
		r.complete(t)
	} else {
		r.givenUp = appendBounded(r.givenUp, t)
	}
}

// Record records a round trip to a peer that was completed at a time.
func (r *RoundTrips) Record(at time.Time, peer string, took time.Duration) {
	r.complete(roundTrip{peer: peer, began: at.Add(-took), ended: at})
}

// complete records a completed round trip.
func (r *RoundTrips) complete(t roundTrip) {
	if r.fastest == nil || len(r.fastest) >= maxPeers {
		r.fastest = map[string]time.Duration{}
	}
	if took := t.ended.Sub(t.began); r.fastest[t.peer] == 0 || took < r.fastest[t.peer] {
		r.fastest[t.peer] = took
	}
	r.completed = appendBounded(r.completed, t)
}

// appendBounded appends a round trip to the ended ones, of which the oldest is dropped.
func appendBounded(list []roundTrip, t roundTrip) []roundTrip {
	if len(list) == maxRoundTrips {
		list = append(list[:0], list[1:]...)
	}
	return append(list, t)
}

// excess returns what a round trip has taken by now beyond the fastest one to the same peer, which must be known.
func (r *RoundTrips) excess(now time.Time, t roundTrip) time.Duration {
	end := now
	if !t.ended.IsZero() {
		end = t.ended
	}
	return end.Sub(t.began) - r.fastest[t.peer]
}

// Delay returns the queueing delay.
func (r *RoundTrips) Delay(now time.Time) time.Duration {
	recent := r.recentlyCompleted(now)
	peers := map[string]bool{}
	least := time.Duration(-1)
	for i := len(recent) - 1; i >= 0 && len(peers) < minPeers; i-- {
		peers[recent[i].peer] = true
		if e := r.excess(now, recent[i]); least < 0 || e < least {
			least = e
		}
	}
	switch {
	case len(peers) >= minPeers:
		r.delay = least
	case len(peers) > 0: // no round trip is faster than the queue
		r.delay = min(r.delay, least)
	}
	r.delay = max(r.delay, r.unfinishedDelay(now, recent))
	return r.delay
}

// CompletedSince reports whether a round trip was completed after a time.
func (r *RoundTrips) CompletedSince(at time.Time) bool {
	n := len(r.completed)
	return n > 0 && r.completed[n-1].ended.After(at)
}

// recentlyCompleted returns the completed round trips that count, oldest first.
func (r *RoundTrips) recentlyCompleted(now time.Time) []roundTrip {
	i := slices.IndexFunc(r.completed, func(t roundTrip) bool { return now.Sub(t.ended) <= roundTripTTL })
	if i < 0 {
		return nil
	}
	return r.completed[i:]
}

// unfinishedDelay returns the delay that round trips to minPeers peers show which are under way or were given up.
func (r *RoundTrips) unfinishedDelay(now time.Time, recent []roundTrip) time.Duration {
	bounds := map[string]time.Duration{} // by peer
	add := func(t roundTrip) {
		if r.fastest[t.peer] == 0 {
			return
		}
		if e := r.excess(now, t); e > max(r.delay, bounds[t.peer]) && !r.refuted(now, t, e, recent) {
			bounds[t.peer] = e
		}
	}
	for _, t := range r.open {
		add(t)
	}
	for _, t := range r.givenUp {
		if now.Sub(t.ended) <= roundTripTTL {
			add(t)
		}
	}
	if len(bounds) < minPeers {
		return 0
	}
	list := make([]time.Duration, 0, len(bounds))
	for _, e := range bounds {
		list = append(list, e)
	}
	slices.Sort(list)
	return list[len(list)-minPeers]
}

// refuted reports whether a round trip that began with another one, or later, was faster, so that the queue isn't the cause of the excess.
func (r *RoundTrips) refuted(now time.Time, t roundTrip, excess time.Duration, recent []roundTrip) bool {
	return slices.ContainsFunc(recent, func(c roundTrip) bool { return !c.began.Before(t.began) && r.excess(now, c) < excess })
}

package leader

import "time"

const (
	// renewalsPerTTL is how often a lease is renewed within its time to live: two renewals may be
	// lost before it ends.
	renewalsPerTTL = 3
	// marginDivisor determines the margin that other nodes wait beyond the time to live, as a
	// fraction of it. The margin covers differences between clocks and answers that are on their
	// way.
	marginDivisor = 6
	// smallNodeWait is how much longer a node with less processor capacity than the last leader
	// waits before it takes the lease, so that a larger node goes first. A node with a fifth of a
	// core that took the lease of 65 nodes was too slow to answer their handshakes, which all came
	// at once, yet it kept the lease.
	smallNodeWait = 1500 * time.Millisecond
	// firstElectionWait is the maximum time that a node waits before it takes a lease that nobody
	// has held. The wait is proportional to how much the node's capacity falls short of a whole
	// core.
	firstElectionWait = 800 * time.Millisecond
)

type (
	// Lease is the value of the lease row.
	Lease struct {
		Node        string  `json:"node"`
		Incarnation string  `json:"incarnation"` // incarnation of the node's process
		Address     string  `json:"address"`     // where the leader receives load reports
		Key         string  `json:"key"`         // fingerprint of the leader's certificate
		Epoch       int64   `json:"epoch"`
		Cores       float64 `json:"cores"` // processor cores of the leader
		RecentLoads int     `json:"loads"` // recent loads from the weight store as of the write
		// UnackedOrders holds orders for loads from the weight store that an engine had not
		// acknowledged when the row was written. The value is the number of orders that the engine
		// must have accepted for such a load to still start.
		UnackedOrders map[string]int64 `json:"late,omitempty"`
		// Loading is the model that was being loaded on each engine when the row was written.
		Loading map[string]string `json:"coming,omitempty"`
	}

	// Elector tracks the lease for one node and decides when the node may take or renew it.
	Elector struct {
		Self Lease // lease that this node proposes; its Epoch is ignored
		TTL  time.Duration

		observed    Lease
		version     int64
		observedAt  time.Duration // when version was first observed
		known       bool          // whether the row has been observed
		leaseEnd    time.Duration // end of this node's lease
		fencedEpoch int64         // highest epoch that an engine refused
	}
)

// WithLoads returns the lease with the loads of another lease.
func (l Lease) WithLoads(o Lease) Lease {
	l.RecentLoads, l.UnackedOrders, l.Loading = o.RecentLoads, o.UnackedOrders, o.Loading
	return l
}

// Observe records the row as read from the store. Version zero means that the row doesn't exist.
func (e *Elector) Observe(now time.Duration, l Lease, version int64) {
	if e.known && version <= e.version && version != 0 {
		return
	}
	if e.known && version == 0 && e.version == 0 {
		return
	}
	e.observed, e.version, e.observedAt, e.known = l, version, now, true
	if !e.IsLeader() {
		e.leaseEnd = 0
	}
}

// IsLeader reports whether the last observed row names this process.
func (e *Elector) IsLeader() bool {
	return e.known && e.version != 0 && e.observed.Node == e.Self.Node && e.observed.Incarnation == e.Self.Incarnation
}

// Propose returns the lease to write and the version that the row must have. It also reports
// whether it is time to write it, to renew this node's lease or to take one that has lapsed.
func (e *Elector) Propose(now time.Duration) (Lease, int64, bool) {
	if !e.known {
		return Lease{}, 0, false
	}
	l := e.Self
	l.Epoch = e.observed.Epoch
	if e.IsLeader() {
		if e.observed.Epoch == e.fencedEpoch {
			l.Epoch++
			return l, e.version, true
		}
		return l, e.version, now >= e.leaseEnd-e.TTL+e.TTL/renewalsPerTTL
	}
	l.Epoch++
	// An earlier process of this node must have ended, because this one has its ports.
	ownNode := e.observed.Node == e.Self.Node
	return l, e.version, ownNode || now-e.observedAt >= e.takeoverWait()
}

// takeoverWait returns how long the row must have been unchanged before this node may take the
// lease.
func (e *Elector) takeoverWait() time.Duration {
	switch {
	case e.version == 0:
		return time.Duration(max(0, 1-e.Self.Cores) * float64(firstElectionWait))
	case e.observed.Node == "" && e.Self.Cores >= e.observed.Cores:
		return 0
	case e.observed.Node == "":
		return smallNodeWait
	case e.Self.Cores >= e.observed.Cores:
		return e.TTL + e.TTL/marginDivisor
	default:
		return e.TTL + e.TTL/marginDivisor + smallNodeWait
	}
}

// RecentlyRenewed reports whether another node has taken or renewed the lease so recently that
// reading the row again is pointless: at least half of the time to live remains.
func (e *Elector) RecentlyRenewed(now time.Duration) bool {
	return e.known && e.version != 0 && e.observed.Node != "" && e.observed.Node != e.Self.Node && now-e.observedAt < e.TTL/2
}

// Acquired records that a proposal sent at a given time was written.
func (e *Elector) Acquired(sent time.Duration, l Lease, version int64) {
	e.observed, e.version, e.observedAt, e.known = l, version, sent, true
	e.leaseEnd = sent + e.TTL
}

// RecordFenced records that an engine has seen a higher epoch than the given one.
func (e *Elector) RecordFenced(epoch int64) { e.fencedEpoch = max(e.fencedEpoch, epoch) }

// Epoch returns the epoch under which this node may send orders now, and whether it may send any.
func (e *Elector) Epoch(now time.Duration) (int64, bool) {
	if !e.IsLeader() || e.observed.Epoch <= e.fencedEpoch {
		return 0, false
	}
	return e.observed.Epoch, now < e.leaseEnd-e.TTL/marginDivisor
}

// Leader returns the last observed lease, which may have lapsed.
func (e *Elector) Leader() (Lease, bool) { return e.observed, e.known && e.version != 0 }

// Version returns the last observed version of the row, zero if there is none.
func (e *Elector) Version() int64 { return e.version }

// Release returns the version and the epoch of the row that a stopping leader writes so that other
// nodes needn't wait. It returns false if this node isn't the leader.
func (e *Elector) Release() (version int64, epoch int64, ok bool) {
	return e.version, e.observed.Epoch, e.IsLeader()
}

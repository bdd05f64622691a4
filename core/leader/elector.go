package leader

import (
	"cmp"
	"slices"
	"time"

	"guavapaddle/core/poison"
	"guavapaddle/core/relay"
	"guavapaddle/core/revision"
	"guavapaddle/core/software"
)

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
	// relayedNodeWait replaces smallNodeWait in a fleet with relays for a node that is too small to be one. The
	// relays look for the next leader, and one of them takes the lease unless none is left.
	relayedNodeWait = 10 * time.Second
	// deferredWait is how long a row must have been unchanged before a deferred node may take the lease: every other
	// node that can has had the time to, unless all of them are deferred.
	deferredWait = 10 * time.Second
	// firstElectionWait is the maximum time that a node waits before it takes a lease that nobody
	// has held. The wait is proportional to how much the node's capacity falls short of a whole
	// core.
	firstElectionWait = 800 * time.Millisecond
	// epochsPerEra is the number of epochs reserved for each era of the store. An epoch that was
	// assigned by an acquisition that the store has lost is thus never assigned again.
	epochsPerEra = 1 << 20
)

type (
	// Lease is the value of the lease row.
	Lease struct {
		Node        string  `json:"node"`
		Incarnation string  `json:"incarnation"` // incarnation of the node's process
		Address     string  `json:"address"`     // where the leader receives load reports
		Key         string  `json:"key"`         // fingerprint of the leader's certificate
		Epoch       int64   `json:"epoch"`
		Term        int64   `json:"term,omitempty"`  // epoch under which the leader first acquired the lease; see TermID
		Cores       float64 `json:"cores"`           // processor cores of the leader
		Write       string  `json:"write,omitempty"` // identifies the write of this row among those of all eras
		RecentLoads int     `json:"loads"`           // recent loads from the weight store as of the write
		// UnackedOrders holds orders for loads from the weight store that an engine had not
		// acknowledged when the row was written. The value is the number of orders that the engine
		// must have accepted for such a load to still start.
		UnackedOrders map[string]int64 `json:"late,omitempty"`
		// Loading is the model that was being loaded on each engine when the row was written.
		Loading map[string]string `json:"coming,omitempty"`
		// Software holds the versions of the servers' software that have served lately.
		Software software.Ages `json:"software,omitempty"`
		// Blocks are the blocks of requests that crash servers.
		Blocks []poison.Block `json:"blocks,omitempty"`
		// Crashes are the crashes that may lead to further blocks.
		Crashes []poison.Crash `json:"crashes,omitempty"`
		// Relays pass reports and updates on between the leader and the other nodes. They are empty
		// in a small fleet, and while Assigned is false.
		Relays []relay.Relay `json:"relays,omitempty"`
		// Assigned is set once a leader has decided which nodes are relays.
		Assigned bool `json:"assigned,omitempty"`
	}

	// Elector tracks the lease for one node and decides when the node may take or renew it.
	Elector struct {
		Self Lease // lease that this node proposes; its Epoch is ignored
		TTL  time.Duration
		// Deferred lets all other nodes go before this one, since it can't do a leader's work now.
		Deferred bool

		observed    Lease
		revision    revision.Revision
		observedAt  time.Duration // when revision was first observed
		known       bool          // whether the row has been observed
		restored    bool          // the store was restored since the row was first observed
		holding     bool          // this node holds the lease, or did until leaseEnd and may renew it
		epoch       int64         // under which this node holds it
		term        int64         // epoch under which this node first acquired it
		leaseEnd    time.Duration // end of this node's lease, zero if the time of its renewal isn't known
		lastEpoch   int64         // highest epoch that was observed
		fencedEpoch int64         // highest epoch that an engine refused
	}
)

// WithLoads returns the lease with the loads of another lease.
func (l Lease) WithLoads(o Lease) Lease {
	l.RecentLoads, l.UnackedOrders, l.Loading = o.RecentLoads, o.UnackedOrders, o.Loading
	return l
}

// WithRelays returns the lease with the relays of another lease.
func (l Lease) WithRelays(o Lease) Lease {
	l.Relays, l.Assigned = o.Relays, o.Assigned
	return l
}

// HasRelay reports whether the lease names a node as a relay.
func (l Lease) HasRelay(node string) bool {
	return slices.ContainsFunc(l.Relays, func(r relay.Relay) bool { return r.Node == node })
}

// TermID identifies the term of the leader. Unlike the epoch it stays the same when the leader acquires
// the lease again.
func (l Lease) TermID() int64 { return cmp.Or(l.Term, l.Epoch) }

// Observe records the row as read from the store. Number zero means that the row doesn't exist.
// A row of an earlier revision is ignored, and one of a later era replaces any other.
func (e *Elector) Observe(now time.Duration, l Lease, at revision.Revision) {
	if e.known && at.Era < e.revision.Era {
		return
	}
	laterEra := e.known && at.Era > e.revision.Era
	if e.known && !laterEra && (at.Number != 0 && !e.revision.Before(at) || at.Number == 0 && e.revision.Number == 0) {
		return
	}
	e.set(now, l, at)
	switch {
	case laterEra:
		e.restored = true
		e.holding = e.holding && e.mayStillHold(now)
	case at.Number == 0 || l.Node != e.Self.Node || l.Incarnation != e.Self.Incarnation:
		e.holding = false
	case !e.IsRestored(): // the reply to the write was lost
		e.holding, e.epoch, e.term = true, l.Epoch, l.TermID()
	}
	if !e.holding {
		e.leaseEnd = 0
	}
}

// set records the row.
func (e *Elector) set(now time.Duration, l Lease, at revision.Revision) {
	e.observed, e.revision, e.observedAt, e.known = l, at, now, true
	e.lastEpoch = max(e.lastEpoch, l.Epoch)
}

// mayStillHold reports whether no other node can have acquired the lease before now since this node
// last renewed it, given that it was the last holder.
func (e *Elector) mayStillHold(now time.Duration) bool {
	return e.leaseEnd != 0 && now < e.leaseEnd+e.TTL/marginDivisor
}

// IsRestored reports whether the row was last written before the store was restored from a copy. The
// copy may lack a later acquisition, whose holder still relies on it.
func (e *Elector) IsRestored() bool {
	if e.revision.Number == 0 {
		return e.restored
	}
	return e.observed.Epoch < e.revision.Era*epochsPerEra
}

// nextEpoch returns an epoch that is higher than all that were assigned so far, including those whose
// assignment the store has lost.
func (e *Elector) nextEpoch() int64 {
	return max(e.lastEpoch, e.revision.Era*epochsPerEra) + 1
}

// IsLeader reports whether this process holds the lease, as far as is known from the row.
func (e *Elector) IsLeader() bool { return e.holding }

// Propose returns the lease to write and the revision that the row must have. It also reports
// whether it is time to write it, to renew this node's lease or to take one that has lapsed. A leader
// acquires the lease again under a new epoch if an engine refused its epoch or the store was restored.
func (e *Elector) Propose(now time.Duration) (Lease, revision.Revision, bool) {
	if !e.known {
		return Lease{}, revision.Revision{}, false
	}
	l := e.Self
	if e.holding {
		l.Epoch, l.Term = e.epoch, e.term
		if e.epoch == e.fencedEpoch || e.IsRestored() {
			l.Epoch = e.nextEpoch()
			return l, e.revision, true
		}
		return l, e.revision, now >= e.leaseEnd-e.TTL+e.TTL/renewalsPerTTL
	}
	l.Epoch = e.nextEpoch()
	l.Term = l.Epoch
	// An earlier process of this node must have ended, because this one has its ports.
	ownNode := e.observed.Node == e.Self.Node && !e.IsRestored()
	if e.Deferred {
		return l, e.revision, now-e.observedAt >= max(e.takeoverWait(), deferredWait)
	}
	return l, e.revision, ownNode || now-e.observedAt >= e.takeoverWait()
}

// takeoverWait returns how long the row must have been unchanged before this node may take the
// lease.
func (e *Elector) takeoverWait() time.Duration {
	switch {
	case e.IsRestored() && e.Self.Cores < e.observed.Cores:
		return e.TTL + e.TTL/marginDivisor + e.smallNodeWait()
	case e.IsRestored():
		return e.TTL + e.TTL/marginDivisor
	case e.revision.Number == 0:
		return time.Duration(max(0, 1-e.Self.Cores) * float64(firstElectionWait))
	case e.observed.Node == "" && e.Self.Cores >= e.observed.Cores:
		return 0
	case e.observed.Node == "":
		return e.smallNodeWait()
	case e.Self.Cores >= e.observed.Cores:
		return e.TTL + e.TTL/marginDivisor
	default:
		return e.TTL + e.TTL/marginDivisor + e.smallNodeWait()
	}
}

// smallNodeWait returns how much longer this node waits if it has less processor capacity than the last leader.
func (e *Elector) smallNodeWait() time.Duration {
	if len(e.observed.Relays) > 0 && !relay.IsCapable(e.Self.Cores, e.observed.Cores) {
		return relayedNodeWait
	}
	return smallNodeWait
}

// RecentlyRenewed reports whether another node has taken or renewed the lease so recently that
// reading the row again is pointless: at least half of the time to live remains.
func (e *Elector) RecentlyRenewed(now time.Duration) bool {
	return e.known && e.revision.Number != 0 && e.observed.Node != "" && e.observed.Node != e.Self.Node && now-e.observedAt < e.TTL/2
}

// Acquired records that a proposal sent at a given time was written. If the store was restored between
// the proposal and the write, only a renewal counts: the copy may lack an acquisition that would have
// kept another node from taking the lease.
func (e *Elector) Acquired(sent time.Duration, l Lease, at revision.Revision) {
	if at.Before(e.revision) {
		return // the store has been restored since
	}
	if at.Era != e.revision.Era && (!e.holding || !e.mayStillHold(sent)) {
		e.Observe(sent, l, at)
		return
	}
	e.restored = e.restored || at.Era != e.revision.Era
	e.set(sent, l, at)
	e.holding, e.epoch, e.term = true, l.Epoch, l.TermID()
	e.leaseEnd = sent + e.TTL
}

// RecordFenced records that an engine has seen a higher epoch than the given one.
func (e *Elector) RecordFenced(epoch int64) { e.fencedEpoch = max(e.fencedEpoch, epoch) }

// Epoch returns the epoch under which this node may send orders now, and whether it may send any.
func (e *Elector) Epoch(now time.Duration) (int64, bool) {
	if !e.holding || e.epoch <= e.fencedEpoch {
		return 0, false
	}
	return e.epoch, now < e.leaseEnd-e.TTL/marginDivisor
}

// Leader returns the lease of the last known leader, which may have lapsed. After a restore the row may
// name an earlier one.
func (e *Elector) Leader() (Lease, bool) {
	if e.holding {
		l := e.Self.WithLoads(e.observed).WithRelays(e.observed)
		l.Epoch, l.Term = e.epoch, e.term
		return l, true
	}
	return e.observed, e.known && e.revision.Number != 0
}

// Row returns the row as last observed, and false if it doesn't exist or isn't known.
func (e *Elector) Row() (Lease, revision.Revision, bool) {
	return e.observed, e.revision, e.known && e.revision.Number != 0
}

// Observed reports whether it is known whether the row exists.
func (e *Elector) Observed() bool { return e.known }

// Revision returns the last observed revision of the row, zero if there is none.
func (e *Elector) Revision() revision.Revision { return e.revision }

// Release returns the revision and the epoch of the row that a stopping leader writes so that other
// nodes needn't wait. It returns false if this node isn't the leader.
func (e *Elector) Release() (at revision.Revision, epoch int64, ok bool) {
	epoch = e.epoch
	if e.IsRestored() {
		epoch = e.nextEpoch()
	}
	return e.revision, epoch, e.holding
}

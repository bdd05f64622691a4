package leader

import "time"

const (
	// renewals is how often a lease is renewed in its time to live: two
	// renewals may be lost before it ends.
	renewals = 3
	// marginPart is the part of the time to live that a rival waits longer, for
	// clocks that run differently and answers that are on their way.
	marginPart = 6
	// smallerWait is how much longer a node with less processor than the last
	// holder waits before it takes the lease, so that a larger one goes first. A
	// node with a fifth of a core that took the lease of 65 was too slow to
	// answer their handshakes, which all came at once, and held it all the same.
	smallerWait = 1500 * time.Millisecond
	// firstWait is the most that a node waits before it takes a lease that nobody
	// has had, by how far it is from a whole core.
	firstWait = 800 * time.Millisecond
)

type (
	// Lease is the value of the lease row.
	Lease struct {
		Node        string  `json:"node"`
		Incarnation string  `json:"incarnation"` // of the node's process
		Address     string  `json:"address"`     // where the holder takes digests
		Key         string  `json:"key"`         // fingerprint of the holder's certificate
		Epoch       int64   `json:"epoch"`
		Cores       float64 `json:"cores"` // processor of the holder
		Loads       int     `json:"loads"` // from the weight store of late, when this was written
		// Late is the number of orders that each engine must have accepted for a load
		// from the weight store without an answer to begin still.
		Late map[string]int64 `json:"late,omitempty"`
		// Coming is the models whose loads were under way then, by engine.
		Coming map[string]string `json:"coming,omitempty"`
	}

	// Keeper holds what one node knows of the lease.
	Keeper struct {
		Self Lease // its Epoch is ignored
		TTL  time.Duration

		seen    Lease
		version int64
		since   time.Duration // when version was first seen
		known   bool
		until   time.Duration // end of the own lease
		fenced  int64         // epoch that an engine refused
	}
)

// WithLoads returns the lease with the loads that another one tells of.
func (l Lease) WithLoads(o Lease) Lease {
	l.Loads, l.Late, l.Coming = o.Loads, o.Late, o.Coming
	return l
}

// Observe takes in the row as read from the store; version zero means that
// there is none.
func (k *Keeper) Observe(now time.Duration, l Lease, version int64) {
	if k.known && version <= k.version && version != 0 {
		return
	}
	if k.known && version == 0 && k.version == 0 {
		return
	}
	k.seen, k.version, k.since, k.known = l, version, now, true
	if !k.Mine() {
		k.until = 0
	}
}

// Mine tells whether the row as last seen names this process.
func (k *Keeper) Mine() bool {
	return k.known && k.version != 0 && k.seen.Node == k.Self.Node && k.seen.Incarnation == k.Self.Incarnation
}

// Propose returns the lease to write and the version that the row must have,
// if it is time to renew the own lease or to take one that has lapsed.
func (k *Keeper) Propose(now time.Duration) (Lease, int64, bool) {
	if !k.known {
		return Lease{}, 0, false
	}
	l := k.Self
	l.Epoch = k.seen.Epoch
	if k.Mine() {
		if k.seen.Epoch == k.fenced {
			l.Epoch++
			return l, k.version, true
		}
		return l, k.version, now >= k.until-k.TTL+k.TTL/renewals
	}
	l.Epoch++
	// An earlier process of this node has ended: this one has its ports.
	own := k.seen.Node == k.Self.Node
	return l, k.version, own || now-k.since >= k.patience()
}

// patience returns how long the row must have stood unchanged before this node
// may take the lease.
func (k *Keeper) patience() time.Duration {
	switch {
	case k.version == 0:
		return time.Duration(max(0, 1-k.Self.Cores) * float64(firstWait))
	case k.seen.Node == "" && k.Self.Cores >= k.seen.Cores:
		return 0
	case k.seen.Node == "":
		return smallerWait
	case k.Self.Cores >= k.seen.Cores:
		return k.TTL + k.TTL/marginPart
	default:
		return k.TTL + k.TTL/marginPart + smallerWait
	}
}

// Settled tells whether another node has taken or renewed the lease so lately that it is no
// use to look for a change of it: an end of its time is half of it away at least.
func (k *Keeper) Settled(now time.Duration) bool {
	return k.known && k.version != 0 && k.seen.Node != "" && k.seen.Node != k.Self.Node && now-k.since < k.TTL/2
}

// Won notes that a proposal sent at a time was written.
func (k *Keeper) Won(sent time.Duration, l Lease, version int64) {
	k.seen, k.version, k.since, k.known = l, version, sent, true
	k.until = sent + k.TTL
}

// Fenced notes that an engine has seen a higher epoch than the one given.
func (k *Keeper) Fenced(epoch int64) { k.fenced = max(k.fenced, epoch) }

// Epoch returns the epoch under which this node may give orders now.
func (k *Keeper) Epoch(now time.Duration) (int64, bool) {
	if !k.Mine() || k.seen.Epoch <= k.fenced {
		return 0, false
	}
	return k.seen.Epoch, now < k.until-k.TTL/marginPart
}

// Leader returns the lease as last seen, also one that may have lapsed.
func (k *Keeper) Leader() (Lease, bool) { return k.seen, k.known && k.version != 0 }

// Version returns the version of the row as last seen, zero if it wasn't.
func (k *Keeper) Version() int64 { return k.version }

// Release returns the row as it is to be written by a holder that stops, so
// that a rival need not wait, and false if this node isn't the holder.
func (k *Keeper) Release() (version int64, epoch int64, ok bool) {
	return k.version, k.seen.Epoch, k.Mine()
}

package head

import "fmt"

type (
	// QueryStamp records when a query was sent, as the number of pauses of the node
	// until then. A reply to a query from before the last pause may be outdated,
	// so it doesn't confirm the head.
	QueryStamp uint64

	// Follower is a node's knowledge of the head. It is immutable; the zero value
	// is the state of a node that just started. The version in force never
	// decreases.
	Follower struct {
		inForce   Ref
		target    Ref
		confirmed bool // the target was confirmed since the start or the last pause
		fresh     bool // a confirmed target has been in force since then
		pauses    QueryStamp
	}

	// ForkError means that two documents have the same version. The one known
	// first is kept. The table can't cause this error, because a single row
	// determines the head.
	ForkError struct {
		Known Ref
		Other Ref
	}
)

// Error returns the version and both hashes.
func (e *ForkError) Error() string {
	return fmt.Sprintf("version %d has hash %s and also %s", e.Known.Version, e.Known.Hash, e.Other.Hash)
}

// InForce returns the document in force, or the zero Ref if there is none.
func (f Follower) InForce() Ref { return f.inForce }

// Target returns the newest document seen.
func (f Follower) Target() Ref { return f.target }

// Missing returns the newest document seen and reports whether it is newer than the
// one in force, so that it has to be fetched.
func (f Follower) Missing() (Ref, bool) { return f.target, f.target.Version > f.inForce.Version }

// Fresh reports whether the node may admit requests. This is the case if the head
// was confirmed and put in force since the node's start or last pause. A node
// stays fresh while it fetches a new version.
func (f Follower) Fresh() bool { return f.fresh }

// QueryStamp returns the stamp for a query. It must be taken before the query is
// sent.
func (f Follower) QueryStamp() QueryStamp { return f.pauses }

// WithRead returns f after ref was read from the head row; ref is the zero Ref if
// the row is absent, and t was taken before the read. A version lower than the
// newest one seen changes neither the target nor the version in force, which
// never decreases. The error is a *ForkError.
func (f Follower) WithRead(t QueryStamp, ref Ref) (Follower, error) {
	f, err := f.WithHint(ref)
	if err == nil && t == f.pauses {
		f.confirmed = true
	}
	return f.withFresh(), err
}

// WithReply returns f after a peer, queried after t was taken, replied that ref
// is in force there. The reply confirms the head only if the peer is fresh; its
// version may then be lower than the newest one that f has seen. The error is a
// *ForkError.
func (f Follower) WithReply(t QueryStamp, ref Ref, fresh bool) (Follower, error) {
	f, err := f.WithHint(ref)
	if err == nil && fresh && t == f.pauses {
		f.confirmed = true
	}
	return f.withFresh(), err
}

// WithHint returns f after a message of unknown age reported that ref was
// accepted. It doesn't confirm the head. The error is a *ForkError.
func (f Follower) WithHint(ref Ref) (Follower, error) {
	if f.target.forks(ref) {
		return f, &ForkError{Known: f.target, Other: ref}
	}
	f.target = Highest(f.target, ref)
	return f, nil
}

// forks reports whether other is a different document with the same version.
func (r Ref) forks(other Ref) bool {
	return r.Version > 0 && r.Version == other.Version && r.Hash != other.Hash
}

// WithAdopted returns f after the body of ref was fetched, validated and put in
// force. A version that isn't newer than the one in force changes nothing.
func (f Follower) WithAdopted(ref Ref) Follower {
	if ref.Version <= f.inForce.Version {
		return f
	}
	f.inForce = ref
	f.target = Highest(f.target, ref)
	return f.withFresh()
}

// WithPause returns f after the node detected that it didn't run for a while. The
// head must then be confirmed again.
func (f Follower) WithPause() Follower {
	f.confirmed = false
	f.fresh = false
	f.pauses++
	return f
}

// WithAssumed returns f with the newest version seen assumed to be confirmed. The
// caller may assume so if, since t was taken, all other nodes replied and none is
// fresh, or if neither the table nor a fresh peer has replied for a long time.
// Without this, nodes that were all paused during an outage would wait for each
// other forever.
func (f Follower) WithAssumed(t QueryStamp) Follower {
	if t == f.pauses {
		f.confirmed = true
	}
	return f.withFresh()
}

// withFresh returns f, marked as fresh if its confirmed target is in force.
func (f Follower) withFresh() Follower {
	if f.confirmed && f.inForce.Version > 0 && f.inForce == f.target {
		f.fresh = true
	}
	return f
}

// Highest returns the newest of refs, or the zero Ref if there is none.
func Highest(refs ...Ref) Ref {
	var newest Ref
	for _, r := range refs {
		if r.Version > newest.Version {
			newest = r
		}
	}
	return newest
}

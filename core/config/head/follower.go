package head

import "fmt"

type (
	// Ticket tells when a question was asked. An answer to a question from
	// before a pause is old and confirms nothing.
	Ticket uint64

	// Follower is what one node knows of the head. It is immutable; the zero
	// Follower is that of a node that just started. The version in force never
	// falls.
	Follower struct {
		inForce   Ref
		target    Ref
		confirmed bool // the target was confirmed since the start or last pause
		fresh     bool // a confirmed target was adopted since then
		pauses    Ticket
	}

	// ForkError means that two documents claim the same version. The one known
	// first counts. It can't come from the table, where one row decides.
	ForkError struct {
		Known Ref
		Other Ref
	}
)

// Error tells the version and both hashes.
func (e *ForkError) Error() string {
	return fmt.Sprintf("version %d has hash %s and also %s", e.Known.Version, e.Known.Hash, e.Other.Hash)
}

// InForce returns what is in force, the zero Ref if nothing is.
func (f Follower) InForce() Ref { return f.inForce }

// Target returns the newest that was seen.
func (f Follower) Target() Ref { return f.target }

// Want returns the document to fetch, if one newer than that in force is known.
func (f Follower) Want() (Ref, bool) { return f.target, f.target.Version > f.inForce.Version }

// Fresh tells whether the node may admit requests: since its start or last
// pause the head was confirmed and put in force. A node that is only behind a
// new version stays fresh while it fetches it.
func (f Follower) Fresh() bool { return f.fresh }

// Ticket is to be taken before a question is sent.
func (f Follower) Ticket() Ticket { return f.pauses }

// WithRead returns f after ref was read from the head row, the zero Ref if the
// row is absent; t was taken before the reading. A lower version than the
// newest seen changes no version: the version in force never falls. The error
// is a *ForkError.
func (f Follower) WithRead(t Ticket, ref Ref) (Follower, error) {
	f, err := f.WithHint(ref)
	if err == nil && t == f.pauses {
		f.confirmed = true
	}
	return f.settled(), err
}

// WithAnswer returns f after a peer, asked when t was taken, answered that ref
// is in force there. It confirms only if the peer was fresh itself; what it
// answers then may be lower than what f has seen. The error is a *ForkError.
func (f Follower) WithAnswer(t Ticket, ref Ref, fresh bool) (Follower, error) {
	f, err := f.WithHint(ref)
	if err == nil && fresh && t == f.pauses {
		f.confirmed = true
	}
	return f.settled(), err
}

// WithHint returns f after it was told, nobody knows how long ago, that ref was
// accepted. It confirms nothing. The error is a *ForkError.
func (f Follower) WithHint(ref Ref) (Follower, error) {
	if f.target.forks(ref) {
		return f, &ForkError{Known: f.target, Other: ref}
	}
	f.target = Highest(f.target, ref)
	return f, nil
}

// forks tells whether o is another document of the same version.
func (r Ref) forks(o Ref) bool { return r.Version > 0 && r.Version == o.Version && r.Hash != o.Hash }

// WithAdopted returns f after the body of ref was fetched, checked and put in
// force. An older version than that in force changes nothing.
func (f Follower) WithAdopted(ref Ref) Follower {
	if ref.Version <= f.inForce.Version {
		return f
	}
	f.inForce = ref
	f.target = Highest(f.target, ref)
	return f.settled()
}

// WithPause returns f after the node found that it did not run for a while.
func (f Follower) WithPause() Follower {
	f.confirmed = false
	f.fresh = false
	f.pauses++
	return f
}

// WithTrust returns f after it takes the newest version seen as confirmed,
// asked when t was taken: because all other nodes answered and none is fresh,
// or because neither table nor a fresh peer answered for long. Else nodes that
// all were paused in an outage would wait for each other.
func (f Follower) WithTrust(t Ticket) Follower {
	if t == f.pauses {
		f.confirmed = true
	}
	return f.settled()
}

// settled makes f fresh once the confirmed target is in force.
func (f Follower) settled() Follower {
	if f.confirmed && f.inForce.Version > 0 && f.inForce == f.target {
		f.fresh = true
	}
	return f
}

// Highest returns the newest of refs, the zero Ref if there is none.
func Highest(refs ...Ref) Ref {
	var best Ref
	for _, r := range refs {
		if r.Version > best.Version {
			best = r
		}
	}
	return best
}

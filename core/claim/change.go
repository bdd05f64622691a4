package claim

import (
	"encoding/json"
	"fmt"

	"guavapaddle/core/row"
)

// Fate is what became of a change.
type Fate string

const (
	// Took means that the change took effect.
	Took Fate = "took"
	// Open means that the change has not taken effect, but a copy of it that
	// is still on its way may. It may be committed again.
	Open Fate = "open"
	// Lost means that the change did not take effect and never will.
	Lost Fate = "lost"
)

// Change is one conditional write of a claim row.
type Change struct {
	Key      string
	Revision uint64 // that the row must be at, zero for absent
	Claim    Claim  // what the row is to hold
}

// Insert returns the change that claims a call over a row at revision, which is
// zero for an absent row or that of a released one.
func Insert(key string, mine Claim, revision uint64) Change {
	mine.State = Claimed
	return Change{Key: key, Revision: revision, Claim: mine}
}

// AddTo returns tx with c's condition and write.
func (c Change) AddTo(tx row.Tx) row.Tx {
	return tx.When(c.Key, c.Revision).Put(c.Key, c.Value())
}

// Value returns the row value of c.
func (c Change) Value() []byte {
	v, err := json.Marshal(c.Claim)
	if err != nil {
		panic(fmt.Sprintf("claim: marshal: %v", err)) // no value of the type fails
	}
	return v
}

// Held returns the claim that c's writer holds once c took effect at revision.
func (c Change) Held(revision uint64) Held {
	return Held{Key: c.Key, Revision: revision, Claim: c.Claim}
}

// Fate tells what became of c from the row as it is now. r may be a conflict of
// a transaction that was refused or a row that was read back after an answer
// was lost.
func (c Change) Fate(r row.Row) (Fate, error) {
	now, found, err := Decode(r)
	switch {
	case err != nil:
		return Lost, err
	case r.Revision == c.Revision:
		return Open, nil
	case !found:
		return Lost, nil // removed for its age
	case now.Attempt == c.Claim.Attempt && now.State == c.Claim.State:
		return Took, nil
	case now.Attempt != c.Claim.Attempt && c.Claim.State == Released && c.Revision != 0:
		// A row held by this attempt passes to another only by a release, so
		// the release took effect and somebody claimed the call since.
		return Took, nil
	}
	return Lost, nil
}

// Settle returns the change that makes sure that the insert c of unknown fate,
// given up and never sent, neither holds the row nor takes effect later. r is
// the row as it is now. It returns false if nothing is left to do.
func Settle(c Change, r row.Row, nowMS int64) (Change, bool, error) {
	now, _, err := Decode(r)
	if err != nil {
		return Change{}, false, err
	}
	mine := now.Attempt == c.Claim.Attempt && now.State == Claimed
	if r.Revision != c.Revision && !mine {
		return Change{}, false, nil // the condition of c can't hold any more
	}
	out := c.Claim
	out.State = Released
	out.AtMS = nowMS
	return Change{Key: c.Key, Revision: r.Revision, Claim: out}, true, nil
}

package claim

import (
	"encoding/json"
	"fmt"

	"guavapaddle/core/row"
)

// WriteOutcome is the outcome of writing a change.
type WriteOutcome string

const (
	// Committed means that the change was committed.
	Committed WriteOutcome = "took"
	// Pending means that the change has not been committed, but a transaction that
	// is still in transit may commit it. It is safe to send the change again.
	Pending WriteOutcome = "open"
	// Lost means that the change was not committed and never will be.
	Lost WriteOutcome = "lost"
)

// Change is one conditional write of a claim row.
type Change struct {
	Key      string
	Revision uint64 // required revision of the row, zero for an absent row
	Claim    Claim  // new value of the row
}

// Insert returns the change that claims a call. The revision is that of the
// released row that the claim replaces, or zero if the row is absent.
func Insert(key string, own Claim, revision uint64) Change {
	own.State = Claimed
	return Change{Key: key, Revision: revision, Claim: own}
}

// AddTo returns tx with the condition and the write of c.
func (c Change) AddTo(tx row.Tx) row.Tx {
	return tx.When(c.Key, c.Revision).Put(c.Key, c.Value())
}

// Value returns the encoded row value of c.
func (c Change) Value() []byte {
	v, err := json.Marshal(c.Claim)
	if err != nil {
		panic(fmt.Sprintf("claim: marshal claim: %v", err)) // every Claim can be encoded
	}
	return v
}

// Held returns the claim that the writer of c holds after c was committed at
// revision.
func (c Change) Held(revision uint64) Held {
	return Held{Key: c.Key, Revision: revision, Claim: c.Claim}
}

// Outcome returns the outcome of c, derived from the current row r: a conflict
// reported by a transaction that was not committed, or a row that was read back
// after the reply to a transaction was lost.
func (c Change) Outcome(r row.Row) (WriteOutcome, error) {
	current, found, err := Decode(r)
	switch {
	case err != nil:
		return Lost, err
	case r.Revision == c.Revision:
		return Pending, nil
	case !found:
		return Lost, nil // the row was removed after the retention time
	case current.Attempt == c.Claim.Attempt && current.State == c.Claim.State:
		return Committed, nil
	case current.Attempt != c.Claim.Attempt && c.Claim.State == Released && c.Revision != 0:
		// Another attempt can replace a claim of this attempt only after a
		// release, so the release was committed and the call was claimed again.
		return Committed, nil
	}
	return Lost, nil
}

// Settle returns the change that ends the abandoned insert c, whose outcome is
// unknown and under which the call was never sent: once the change is committed,
// c neither holds the row nor can be committed later. r is the current row.
// Settle returns false if no change is needed.
func Settle(c Change, r row.Row, nowMS int64) (Change, bool, error) {
	current, _, err := Decode(r)
	if err != nil {
		return Change{}, false, err
	}
	owned := current.Attempt == c.Claim.Attempt && current.State == Claimed
	if r.Revision != c.Revision && !owned {
		return Change{}, false, nil // the condition of c can no longer hold
	}
	out := c.Claim
	out.State = Released
	out.AtMS = nowMS
	return Change{Key: c.Key, Revision: r.Revision, Claim: out}, true, nil
}

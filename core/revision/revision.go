package revision

import (
	"cmp"
	"fmt"
)

// Revision is a state of the store, or the transaction that led to it. The zero value
// precedes all others.
type Revision struct {
	Era    int64 `json:"era,omitempty"` // number of restores, 0 if the store doesn't report it
	Number int64 `json:"number"`        // of the transaction
}

// Compare returns a negative number if r precedes o, zero if they are equal, and a positive
// number otherwise.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// Before reports whether r precedes o.
func (r Revision) Before(o Revision) bool { return r.Compare(o) < 0 }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// Max returns the later of two revisions.
func Max(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// String returns the era and the number, separated by a colon.
func (r Revision) String() string { return fmt.Sprintf("%d:%d", r.Era, r.Number) }

package ledger

import "fmt"

// Reason tells why an order was not allowed.
type Reason string

const (
	// NotAdopted means that the inventory was not read under this epoch yet.
	NotAdopted Reason = "not-adopted"
	// NoMemory means that the bytes are not free.
	NoMemory Reason = "no-memory"
	// Present means that the item is there or on its way.
	Present Reason = "present"
	// Unsettled means that an earlier order of the item may still take effect.
	Unsettled Reason = "unsettled"
	// NoBase means that an adapter's model is not resident.
	NoBase Reason = "no-base"
	// BaseInUse means that adapters of the model are there.
	BaseInUse Reason = "base-in-use"
	// NotResident means that there is nothing to unload.
	NotResident Reason = "not-resident"
	// LastCopy means that no other copy is resident anywhere.
	LastCopy Reason = "last-copy"
)

// Refusal is the error of an order that was not allowed.
type Refusal struct {
	Server string
	Item   string
	Reason Reason
	Need   int64 // bytes, for NoMemory
	Free   int64 // bytes, for NoMemory
}

// Error returns the refusal in one line.
func (r *Refusal) Error() string {
	if r.Reason == NoMemory {
		return fmt.Sprintf("ledger: %s: %s: %s: need %d, free %d", r.Server, r.Item, r.Reason, r.Need, r.Free)
	}
	return fmt.Sprintf("ledger: %s: %s: %s", r.Server, r.Item, r.Reason)
}

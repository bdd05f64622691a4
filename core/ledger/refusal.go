package ledger

import "fmt"

// Reason is the reason why an order was not allowed.
type Reason string

const (
	// NotAdopted means that no inventory was adopted yet.
	NotAdopted Reason = "not-adopted"
	// NoMemory means that there is not enough free memory.
	NoMemory Reason = "no-memory"
	// Present means that the item is already present or being loaded.
	Present Reason = "present"
	// Unsettled means that an earlier order for the item may still take effect.
	Unsettled Reason = "unsettled"
	// NoBase means that an adapter's model is not resident.
	NoBase Reason = "no-base"
	// BaseInUse means that adapters need this version of the model.
	BaseInUse Reason = "base-in-use"
	// NotResident means that the item to unload is not resident.
	NotResident Reason = "not-resident"
	// LastCopy means that no other copy of the item serves anywhere.
	LastCopy Reason = "last-copy"
)

// RefusalError is the error for an order that was not allowed.
type RefusalError struct {
	Server string
	Item   string
	Reason Reason
	Need   int64 // required bytes, for NoMemory
	Free   int64 // free bytes, for NoMemory
}

// Error returns the server, the item and the reason, and for NoMemory the bytes.
func (r *RefusalError) Error() string {
	if r.Reason == NoMemory {
		return fmt.Sprintf("ledger: %s: %s: %s: need %d, free %d", r.Server, r.Item, r.Reason, r.Need, r.Free)
	}
	return fmt.Sprintf("ledger: %s: %s: %s", r.Server, r.Item, r.Reason)
}

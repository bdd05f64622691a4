package ledger

import (
	"time"

	"guavapaddle/core/backend"
)

// State tells where an item stands.
type State string

// Answer is what became of a call that carried an order.
type Answer string

const (
	// Absent items hold no bytes.
	Absent State = "absent"
	// Reserved items hold bytes for an order that was not sent yet.
	Reserved State = "reserved"
	// Loading items were ordered to load, and nothing speaks against it.
	Loading State = "loading"
	// Resident items serve.
	Resident State = "resident"
	// Unloading items were ordered to unload.
	Unloading State = "unloading"
	// Uncertain items have an order whose fate is unknown.
	Uncertain State = "uncertain"
)

const (
	// Accepted means that the engine took the order or has done it.
	Accepted Answer = "accepted"
	// NotDone means that this call surely had and will have no effect.
	NotDone Answer = "not-done"
	// Unknown means that the order may take effect now or later.
	Unknown Answer = "unknown"
)

type (
	// Cost is the memory an item needs.
	Cost struct {
		Bytes int64 // while resident
		Peak  int64 // in addition while loading
	}

	// Entry is one item of the ledger.
	Entry struct {
		Item  backend.Item
		State State
		Cost  Cost
		Order backend.Order // not settled; zero if there is none
		Since time.Duration // when the state was reached
		Sends int           // calls that carried the order

		open      int           // calls in progress
		returned  time.Duration // end of the last call
		inherited bool          // the order is an earlier owner's
		until     time.Duration // end of an inherited order's lifetime
		seen      bool          // a load's item was in the last inventory
	}

	// Record is an unsettled order as kept in the table for the next owner.
	Record struct {
		Order  backend.Order `json:"order"`
		Peak   int64         `json:"peak"`
		Resent bool          `json:"resent"` // may have been sent more than once
	}
)

// Held returns the bytes that the entry holds. An unsettled load holds those of
// its peak even when the item is resident: it could be done again in a new boot.
func (e Entry) Held() int64 {
	settled := e.Order.Op != backend.Load && (e.State == Resident || e.State == Unloading)
	if settled || e.Order.Op == backend.Unload {
		return e.Cost.Bytes
	}
	return e.Cost.Bytes + e.Cost.Peak
}

// pending tells whether the entry has an order that was not settled.
func (e Entry) pending() bool { return e.Order.OrderID != "" }

// resent tells whether the order may have been sent more than once.
func (e Entry) resent() bool { return e.Sends > 1 }

// to moves the entry to a state.
func (e *Entry) to(now time.Duration, s State) {
	if e.State != s {
		e.State, e.Since = s, now
	}
}

// settle forgets the order.
func (e *Entry) settle() {
	e.Order, e.Sends, e.inherited, e.seen = backend.Order{}, 0, false, false
}

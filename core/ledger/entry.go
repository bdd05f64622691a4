package ledger

import (
	"time"

	"guavapaddle/core/backend"
)

// State is the state of an item.
type State string

// CallResult is the result of a call that carried an order.
type CallResult string

const (
	// Absent items take no memory.
	Absent State = "absent"
	// Reserved items have memory reserved for an order that was not sent yet.
	Reserved State = "reserved"
	// Loading items were ordered to load, and there is no sign of a failure.
	Loading State = "loading"
	// Resident items can serve requests.
	Resident State = "resident"
	// Unloading items were ordered to unload.
	Unloading State = "unloading"
	// Uncertain items have an order whose outcome is unknown.
	Uncertain State = "uncertain"
)

const (
	// Accepted means that the engine accepted the order or has completed it.
	Accepted CallResult = "accepted"
	// NotDone means that this call had no effect and can't have one later.
	NotDone CallResult = "not-done"
	// Unknown means that the order may take effect now or later.
	Unknown CallResult = "unknown"
)

type (
	// Cost is the memory that an item needs.
	Cost struct {
		Bytes int64 // while resident
		Peak  int64 // additional bytes while loading
	}

	// Entry is the ledger's record of one item.
	Entry struct {
		Item  backend.Item
		State State
		Cost  Cost
		Order backend.Order // unsettled order; zero if there is none
		Since time.Duration // when the item entered the state
		Sends int           // number of calls that carried the order

		openCalls   int           // number of calls in progress
		lastCallEnd time.Duration // end of the last call
		inherited   bool          // the order was given by an earlier owner
		expires     time.Duration // end of an inherited order's lifetime
		observed    bool          // the item to load was in the last inventory
	}

	// Record is an unsettled order as stored in the table for the next owner.
	Record struct {
		Order  backend.Order `json:"order"`
		Peak   int64         `json:"peak"`
		Resent bool          `json:"resent"` // may have been sent more than once
	}
)

// ReservedBytes returns the bytes reserved for the entry. An unsettled load includes the
// peak even when the item is resident: after a restart the engine may execute
// the order again.
func (e Entry) ReservedBytes() int64 {
	settled := e.Order.Op != backend.Load && (e.State == Resident || e.State == Unloading)
	if settled || e.Order.Op == backend.Unload {
		return e.Cost.Bytes
	}
	return e.Cost.Bytes + e.Cost.Peak
}

// pending reports whether the entry has an unsettled order.
func (e Entry) pending() bool { return e.Order.OrderID != "" }

// resent reports whether the order may have been sent more than once.
func (e Entry) resent() bool { return e.Sends > 1 }

// setState sets the state and, if it changed, the time of the change.
func (e *Entry) setState(now time.Duration, s State) {
	if e.State != s {
		e.State, e.Since = s, now
	}
}

// clearOrder removes the order, which is settled.
func (e *Entry) clearOrder() {
	e.Order, e.Sends, e.inherited, e.observed = backend.Order{}, 0, false, false
}

package owner

import (
	"errors"

	"guavapaddle/core/ledger"
	"guavapaddle/io/engine"
)

// Reason is the reason why the owner did not send an order. Together with the
// reasons of core/ledger, it is a label value of Metrics.UnsentOrders.
type Reason string

const (
	// NoLease means that the lease is not valid.
	NoLease Reason = "lease"
	// Fenced means that the engine has seen a higher fencing number.
	Fenced Reason = "rival"
	// Unreachable means that the engine didn't answer.
	Unreachable Reason = "unreachable"
	// Restarted means that the engine has a new boot ID and its fence has not been
	// raised since.
	Restarted Reason = "restarted"
	// NotRecorded means that the order could not be recorded in the table.
	NotRecorded Reason = "not-recorded"
	// StoreBusy means that other loads occupy all slots of the weight store.
	StoreBusy Reason = "no-slot"
	// Undeclared means that the item is not in the configuration.
	Undeclared Reason = "undeclared"
	// Claimed means that another copy of the item is being unloaded, or that the
	// table could not rule it out.
	Claimed Reason = "claimed"
	// Protected means that no permitted unload would free enough memory.
	Protected Reason = "protected"

	allowed Reason = ""
)

// reasonOf returns the reason carried by an error of core/ledger.
func reasonOf(err error) Reason {
	if r, ok := errors.AsType[*ledger.RefusalError](err); ok {
		return Reason(r.Reason)
	}
	return Reason("unknown")
}

// callResult maps the error of an order call to the ledger's result.
func callResult(err error) ledger.CallResult {
	switch engine.KindOf(err) {
	case "":
		return ledger.Accepted
	case engine.StaleFence, engine.NoSpace, engine.NoBase, engine.InUse, engine.Leaving, engine.NotSent:
		return ledger.NotDone
	}
	return ledger.Unknown
}

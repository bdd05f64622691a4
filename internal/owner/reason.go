package owner

import (
	"errors"

	"guavapaddle/core/ledger"
	"guavapaddle/io/engine"
)

// Reason tells why the owner did not give an order; it is a label of
// Metrics.Refused, as are the reasons of core/ledger.
type Reason string

const (
	// NoLease means that the lease doesn't run.
	NoLease Reason = "lease"
	// Rival means that the engine has seen a higher fencing number.
	Rival Reason = "rival"
	// Unreachable means that the engine doesn't answer.
	Unreachable Reason = "unreachable"
	// Restarted means that the engine has a new boot id and its fence is not
	// raised since.
	Restarted Reason = "restarted"
	// NotRecorded means that the order could not be kept in the table.
	NotRecorded Reason = "not-recorded"
	// NoSlot means that the weight store is taken up by other loads.
	NoSlot Reason = "no-slot"
	// Undeclared means that the item is not in the configuration.
	Undeclared Reason = "undeclared"
	// Claimed means that another copy of the item is being unloaded, or that
	// the table can't tell.
	Claimed Reason = "claimed"
	// Protected means that no unload may make room.
	Protected Reason = "protected"

	allowed Reason = ""
)

// reasonOf returns the reason inside an error of core/ledger.
func reasonOf(err error) Reason {
	if r, ok := errors.AsType[*ledger.RefusalError](err); ok {
		return Reason(r.Reason)
	}
	return Reason("unknown")
}

// answerOf tells what an engine's answer means for the order.
func answerOf(err error) ledger.CallResult {
	switch engine.KindOf(err) {
	case "":
		return ledger.Accepted
	case engine.StaleFence, engine.NoSpace, engine.NoBase, engine.InUse, engine.Leaving, engine.NotSent:
		return ledger.NotDone
	}
	return ledger.Unknown
}

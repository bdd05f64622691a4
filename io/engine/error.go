package engine

import (
	"context"
	"errors"
	"fmt"
)

// Kind classifies a failure by its meaning for the request.
type Kind string

const (
	// NotSent means that no byte was written to the engine. The request did not run.
	NotSent Kind = "not-sent"
	// NotResident means that the item is not resident on the engine. The request did not
	// run.
	NotResident Kind = "not-resident"
	// Full means that the batch and the queue are full. The request did not run.
	Full Kind = "full"
	// Leaving means that the engine accepts no new work. The request did not run.
	Leaving Kind = "leaving"
	// Refused means that the engine stated with another status that it did not run the
	// request, or that it rejected an order.
	Refused Kind = "refused"
	// Duplicate means that the engine already has a request with this id.
	Duplicate Kind = "duplicate"
	// UnknownRequest means that the request to resume or export does not exist.
	UnknownRequest Kind = "unknown-request"
	// StaleFence means that the fencing token is lower than the highest that the engine has
	// seen, which is in Error.Fence.
	StaleFence Kind = "stale-fence"
	// NoSpace means that the item does not fit into memory. Nothing was changed.
	NoSpace Kind = "no-space"
	// NoBase means that the base model of the adapter is not resident.
	NoBase Kind = "no-base"
	// InUse means that the order cannot be executed in the current state of the item.
	InUse Kind = "in-use"
	// Lost means that the request was sent and that the connection broke or timed out before
	// a response. The request may have run.
	Lost Kind = "lost"
	// Silent means that a stream delivered no event within its timeout.
	Silent Kind = "silent"
	// Cut means that a stream ended without a finish event.
	Cut Kind = "cut"
	// WrongRequest means that a response belongs to another request.
	WrongRequest Kind = "wrong-request"
	// WrongOffset means that a token is missing or duplicated.
	WrongOffset Kind = "wrong-offset"
	// Malformed means that a response could not be parsed.
	Malformed Kind = "malformed"
	// Failed means that the engine responded with another status.
	Failed Kind = "failed"
	// Cancelled means that the caller's context ended.
	Cancelled Kind = "cancelled"
)

// Error is a failed call to an engine.
type Error struct {
	Kind    Kind
	Address string
	Fence   uint64 // highest fencing token seen, for StaleFence
	Err     error  // cause; may be nil

	statedNotRun bool // the engine stated that the call did not run
	resumed      bool // the call resumes a request, which has therefore run
}

// Error returns the kind, the address and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("engine: %s: %s", e.Kind, e.Address)
	}
	return fmt.Sprintf("engine: %s: %s: %v", e.Kind, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the request certainly did not run. It is false for every failed
// resume.
func (e *Error) NotRun() bool { return !e.resumed && (e.Kind == NotSent || e.statedNotRun) }

// KindOf returns the kind of the *Error in err, or empty if err is nil. For other errors it
// returns Cancelled if a context ended and Failed otherwise.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Kind
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return Cancelled
	}
	return Failed
}

// NotRun reports whether err proves that the request did not run.
func NotRun(err error) bool {
	e, ok := errors.AsType[*Error](err)
	return ok && e.NotRun()
}

package engine

import (
	"context"
	"errors"
	"fmt"
)

// Kind tells what a failure means.
type Kind string

const (
	// NotSent means that no byte was written to the engine: it did not run.
	NotSent Kind = "not-sent"
	// NotResident means that the item does not serve there: it did not run.
	NotResident Kind = "not-resident"
	// Full means that batch and queue are full: it did not run.
	Full Kind = "full"
	// Leaving means that the engine takes no new work: it did not run.
	Leaving Kind = "leaving"
	// Refused means that the engine affirmed with another status that it did
	// not run the request, or that it refused an order.
	Refused Kind = "refused"
	// Duplicate means that the engine knows the request id already.
	Duplicate Kind = "duplicate"
	// UnknownRequest means that there is no such request to resume.
	UnknownRequest Kind = "unknown-request"
	// StaleFence means that the fencing number is lower than the highest that
	// the engine has seen, which is in Error.Fence.
	StaleFence Kind = "stale-fence"
	// NoSpace means that the item does not fit; nothing was changed.
	NoSpace Kind = "no-space"
	// NoBase means that the adapter's model is not resident.
	NoBase Kind = "no-base"
	// InUse means that the order can't be done in the item's present state.
	InUse Kind = "in-use"
	// Lost means that the request was sent and its connection broke without an
	// answer, or timed out: it may have run.
	Lost Kind = "lost"
	// Silent means that a stream made no progress in time.
	Silent Kind = "silent"
	// Cut means that a stream ended without its finish.
	Cut Kind = "cut"
	// WrongRequest means that an answer belongs to another request.
	WrongRequest Kind = "wrong-request"
	// WrongOffset means that a token is missing or doubled.
	WrongOffset Kind = "wrong-offset"
	// Malformed means that an answer could not be understood.
	Malformed Kind = "malformed"
	// Failed means that the engine answered with another status.
	Failed Kind = "failed"
	// Cancelled means that the caller's context ended.
	Cancelled Kind = "cancelled"
)

// Error is the failure of a call to an engine.
type Error struct {
	Kind    Kind
	Address string
	Fence   uint64 // highest fencing number seen, for StaleFence
	Err     error  // cause, may be nil

	affirmed bool // the engine said that the call did not run
	resumed  bool // the call was to resume a request, which has run before
}

// Error returns kind, address and cause in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("engine: %s: %s", e.Kind, e.Address)
	}
	return fmt.Sprintf("engine: %s: %s: %v", e.Kind, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun tells whether the request certainly did not run. It is false for every
// failure to resume one.
func (e *Error) NotRun() bool { return !e.resumed && (e.Kind == NotSent || e.affirmed) }

// KindOf returns the kind of the *Error inside err, empty if err is nil. For
// other errors it is Cancelled if a context ended and Failed otherwise.
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

// NotRun tells whether err proves that the request did not run.
func NotRun(err error) bool {
	e, ok := errors.AsType[*Error](err)
	return ok && e.NotRun()
}

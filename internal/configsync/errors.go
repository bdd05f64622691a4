package configsync

import (
	"fmt"

	"github.com/rotisserie/eris"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
)

// errForgotten is the cause of an *UnknownError when the outcome is read back so
// late that the history rows no longer contain the proposed version.
var errForgotten = eris.New("the history no longer reaches back to it")

type (
	// ConflictError means that another operator's document was accepted instead,
	// or that the head was not at the required version. The own document had no
	// effect and never will.
	ConflictError struct {
		Winner  head.Head       // the accepted head
		Own     head.Head       // the rejected proposal; zero if it was not sent
		Changes []config.Change // from the winner's document to the own one; nil if the winner's body could not be read
	}

	// UnknownError means that the document was sent and the outcome could not be
	// read back in time. It may have taken effect or may still do so.
	UnknownError struct {
		Own head.Head
		Err error
	}

	// UnavailableError means that the platform was not reachable in time and
	// nothing was changed.
	UnavailableError struct {
		Step string // the step that failed
		Err  error
	}

	// BodyError means that a body can't be unpacked.
	BodyError struct {
		Err error
	}

	// HashError means that a body doesn't have the expected hash.
	HashError struct {
		Want, Got string
	}
)

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was applied by %q (apply id %s, hash %s); differences to yours: %d",
		e.Winner.Version, e.Winner.Operator, e.Winner.ApplyID, e.Winner.Hash, len(e.Changes))
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("version %d (apply id %s, hash %s) was sent and may take effect: %v", e.Own.Version, e.Own.ApplyID, e.Own.Hash, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("nothing was changed: %s: %v", e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Error implements error.
func (e *HashError) Error() string { return fmt.Sprintf("body has hash %s, not %s", e.Got, e.Want) }

// Error implements error.
func (e *BodyError) Error() string { return fmt.Sprintf("body can't be unpacked: %v", e.Err) }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

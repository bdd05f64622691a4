package configsync

import (
	"fmt"

	"github.com/rotisserie/eris"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
)

// errForgotten is the cause of an *UnknownError long after the sending.
var errForgotten = eris.New("the history no longer reaches back to it")

type (
	// ConflictError means that another operator's document was accepted in
	// place of ours, or that the head was not at the version demanded. Nothing
	// of ours took effect or ever will.
	ConflictError struct {
		Winner  head.Head       // what was accepted
		Mine    head.Head       // what was not; zero if it was not sent
		Changes []config.Change // from the winner's document to mine; nil if its body could not be read
	}

	// UnknownError means that the document was sent and its fate could not be
	// read back in time. It may have taken effect or may still do.
	UnknownError struct {
		Mine head.Head
		Err  error
	}

	// UnavailableError means that the platform could not be reached in time
	// and nothing was changed.
	UnavailableError struct {
		Step string // what was tried
		Err  error
	}

	// BodyError means that a body can't be unpacked.
	BodyError struct {
		Err error
	}

	// HashError means that a body is not the one that its hash names.
	HashError struct {
		Want, Got string
	}
)

// Error tells who won.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was applied by %q (apply id %s, hash %s); differences to yours: %d",
		e.Winner.Version, e.Winner.Operator, e.Winner.ApplyID, e.Winner.Hash, len(e.Changes))
}

// Error tells what may still take effect.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("version %d (apply id %s, hash %s) was sent and may take effect: %v", e.Mine.Version, e.Mine.ApplyID, e.Mine.Hash, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Error tells what could not be done.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("nothing was changed: %s: %v", e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Error tells both hashes.
func (e *HashError) Error() string { return fmt.Sprintf("body has hash %s, not %s", e.Got, e.Want) }

// Error tells the cause.
func (e *BodyError) Error() string { return fmt.Sprintf("body can't be unpacked: %v", e.Err) }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

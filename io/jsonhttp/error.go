package jsonhttp

import "fmt"

// Stage tells how far a failed call got.
type Stage string

const (
	// NotSent means that no byte of the call was or will be written.
	NotSent Stage = "not-sent"
	// Sent means that something was written and no whole answer came.
	Sent Stage = "sent"
	// Malformed means that an answer came and could not be understood.
	Malformed Stage = "malformed"
	// TooLarge means that the answer is longer than the client's bound.
	TooLarge Stage = "too-large"
)

// Error is the failure of a call.
type Error struct {
	Stage   Stage
	Address string
	Err     error
}

// Error returns stage, address and cause in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Stage, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

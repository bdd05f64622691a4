package jsonhttp

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

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

// Progress is how far a call got, in time since its begin. Zero means that it
// did not get there.
type Progress struct {
	Connected time.Duration // it was given a connection
	Written   time.Duration // it was written whole
	Answered  time.Duration // the first byte of the answer was read
	Failed    time.Duration
}

// String returns the steps that were reached, such as "connected 1ms, written
// 1ms, failed 2s".
func (p Progress) String() string {
	var steps []string
	for _, s := range []struct {
		name string
		at   time.Duration
	}{{"connected", p.Connected}, {"written", p.Written}, {"answered", p.Answered}, {"failed", p.Failed}} {
		if s.at > 0 {
			steps = append(steps, s.name+" "+s.at.Round(time.Microsecond).String())
		}
	}
	return strings.Join(steps, ", ")
}

// Error is the failure of a call.
type Error struct {
	Stage    Stage
	Address  string
	Progress Progress // the zero Progress of a call that never began
	Err      error
}

// Error returns stage, address and cause in one line, and the progress of a call
// that got a connection or ran into its timeout.
func (e *Error) Error() string {
	if e.Progress.Connected > 0 || e.timedOut() {
		return fmt.Sprintf("%s: %s (%v): %v", e.Stage, e.Address, e.Progress, e.Err)
	}
	return fmt.Sprintf("%s: %s: %v", e.Stage, e.Address, e.Err)
}

func (e *Error) timedOut() bool {
	var n net.Error
	return errors.As(e.Err, &n) && n.Timeout()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

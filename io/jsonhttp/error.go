package jsonhttp

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// Stage is how far a failed call got.
type Stage string

const (
	// NotSent means that no byte of the call was or will be written.
	NotSent Stage = "not-sent"
	// Sent means that part of the call was written and no complete response was received.
	Sent Stage = "sent"
	// Malformed means that a response was received but could not be decoded.
	Malformed Stage = "malformed"
	// TooLarge means that the response exceeds the client's limit.
	TooLarge Stage = "too-large"
)

// Progress is the time from the start of a call to each step. Zero means that the step was
// not reached.
type Progress struct {
	Connected time.Duration // a connection was obtained
	Written   time.Duration // the request was written completely
	FirstByte time.Duration // the first byte of the response was read
	Failed    time.Duration // the call failed
}

// String returns the steps that were reached, for example "connected 1ms, written 1ms,
// failed 2s".
func (p Progress) String() string {
	var steps []string
	for _, s := range []struct {
		name string
		at   time.Duration
	}{{"connected", p.Connected}, {"written", p.Written}, {"answered", p.FirstByte}, {"failed", p.Failed}} {
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
	Progress Progress // zero for a call that was never started
	Err      error
}

// Error returns the stage, the address and the cause, and also the progress if the call
// obtained a connection or timed out.
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

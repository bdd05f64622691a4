package peer

import "fmt"

// ErrorKind tells what a failure between nodes means for a call.
type ErrorKind string

const (
	// Unreachable means that no connection could be opened: nothing was sent.
	Unreachable ErrorKind = "unreachable"
	// Lost means that the connection broke after the call was sent.
	Lost ErrorKind = "lost"
	// Malformed means that a frame does not decode.
	Malformed ErrorKind = "malformed"
	// TooLarge means that a frame exceeds MaxFrameBytes.
	TooLarge ErrorKind = "too-large"
	// Identity means that the other end is not the node that was meant.
	Identity ErrorKind = "identity"
	// Listen means that the endpoint's own address can't be used.
	Listen ErrorKind = "listen"
)

// Error is a failure between nodes.
type Error struct {
	Kind ErrorKind
	Peer string // address, may be empty
	Err  error  // cause, may be nil
}

// Error returns kind, peer and cause in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("peer %s: %s", e.Peer, e.Kind)
	}
	return fmt.Sprintf("peer %s: %s: %v", e.Peer, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

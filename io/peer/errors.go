package peer

import (
	"errors"
	"fmt"

	"github.com/quic-go/quic-go"
)

// ErrorKind classifies a failure by its consequence for a call.
type ErrorKind string

const (
	// Unreachable means that no connection could be opened: nothing was sent.
	Unreachable ErrorKind = "unreachable"
	// Lost means that the connection broke after the call was sent.
	Lost ErrorKind = "lost"
	// Malformed means that a frame could not be decoded.
	Malformed ErrorKind = "malformed"
	// TooLarge means that a frame exceeds MaxFrameBytes.
	TooLarge ErrorKind = "too-large"
	// Identity means that the peer is not the expected node.
	Identity ErrorKind = "identity"
	// Refused means that a node has too many connections for another one.
	Refused ErrorKind = "refused"
	// Listen means that the endpoint cannot listen on its address.
	Listen ErrorKind = "listen"
)

// Error is a communication failure between nodes.
type Error struct {
	Kind ErrorKind
	Peer string // address, may be empty
	Err  error  // cause, may be nil
}

// Error returns the peer, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("peer %s: %s", e.Peer, e.Kind)
	}
	return fmt.Sprintf("peer %s: %s: %v", e.Peer, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsDeclined reports whether a call failed since the other node ended it without a reply. It is in reach then.
func IsDeclined(err error) bool {
	var e *quic.StreamError
	return errors.As(err, &e) && e.Remote
}

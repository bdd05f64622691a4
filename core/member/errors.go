package member

// Error reports incorrect use of this package by its caller.
type Error string

// ErrNoIdentity is the value with which New panics if it lacks a name, an address or a random
// source.
const ErrNoIdentity Error = "member: node without name, address or random source"

// Error returns the message.
func (e Error) Error() string { return string(e) }

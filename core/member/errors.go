package member

// Error is a misuse of this package by a programmer.
type Error string

// ErrNoIdentity is what New panics with if it lacks a name, an address or a
// random source.
const ErrNoIdentity Error = "member: node without name, address or random source"

// Error returns the text of e.
func (e Error) Error() string { return string(e) }

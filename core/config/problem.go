package config

import (
	"fmt"
	"strings"
)

// Code classifies a problem with a document.
type Code string

const (
	// Syntax means that the text is not exactly one JSON value in valid UTF-8.
	Syntax Code = "syntax"
	// DocumentTooLarge means that the text exceeds MaxDocumentBytes.
	DocumentTooLarge Code = "document-too-large"
	// UnknownName means that an object has a field that is not defined.
	UnknownName Code = "unknown-name"
	// DuplicateName means that an object has the same field twice.
	DuplicateName Code = "duplicate-name"
	// Missing means that a required value is absent or empty.
	Missing Code = "missing"
	// WrongType means that a value has the wrong JSON type.
	WrongType Code = "wrong-type"
	// BadName means that a name or version is too long or has invalid characters.
	BadName Code = "bad-name"
	// BadAddress means that an address is not IP:port.
	BadAddress Code = "bad-address"
	// BadKeyHash means that a key hash is not "sha256:" followed by 64 hex digits.
	BadKeyHash Code = "bad-key-hash"
	// BadPath means that the path of a service or call is malformed.
	BadPath Code = "bad-path"
	// BadMethod means that a method is neither a supported HTTP method nor "*".
	BadMethod Code = "bad-method"
	// BadValue means that a value is not one of the defined constants.
	BadValue Code = "bad-value"
	// OutOfRange means that a number is out of its allowed range.
	OutOfRange Code = "out-of-range"
	// Duplicate means that two entries share a value that must be unique.
	Duplicate Code = "duplicate"
	// UnknownReference means that a referenced name is not declared in the document.
	UnknownReference Code = "unknown-reference"
	// KindNotAllowed means that a team's default kind is not among its kinds, or
	// that none of a service's calls has a kind that the team may use.
	KindNotAllowed Code = "kind-not-allowed"
	// ServiceWithoutServers means that no backend server runs the service.
	ServiceWithoutServers Code = "service-without-servers"
	// NotForType means that a field doesn't apply to this type of backend server.
	NotForType Code = "not-for-type"
	// ReservedPath means that a service uses a path that guavapaddle serves itself.
	ReservedPath Code = "reserved-path"
	// Unreachable means that an entry can never take effect.
	Unreachable Code = "unreachable"
	// TooManyCopies means that more copies are required than can be placed.
	TooManyCopies Code = "too-many-copies"
	// ImmutableVersion means that the properties of a version in force changed.
	ImmutableVersion Code = "immutable-version"
	// ItemTooLarge means that an item doesn't fit on any engine, even by itself.
	ItemTooLarge Code = "item-too-large"
	// CapacityExceeded means that the minimum copies need more than the engines'
	// total memory.
	CapacityExceeded Code = "capacity-exceeded"
	// CapacityFragmented means that the minimum copies fit in the engines' total
	// memory, but no placement on individual engines was found.
	CapacityFragmented Code = "capacity-fragmented"
)

type (
	// Problem describes one error in a document.
	Problem struct {
		Path   string `json:"path"` // such as "models[3].version"; "$" is the whole document
		Code   Code   `json:"code"`
		Detail string `json:"detail"` // human-readable description
	}

	// InvalidError lists all problems with a document.
	InvalidError struct {
		Problems []Problem
	}
)

// String returns the path, code and detail on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", p.Path, p.Code, p.Detail)
}

// Error returns the number of problems and the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("invalid configuration: problems: %d", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

package config

import (
	"fmt"
	"strings"
)

// Code names what is wrong at one place of a document.
type Code string

const (
	// Syntax means that the text is not one JSON value.
	Syntax Code = "syntax"
	// DocumentTooLarge means that the text exceeds MaxDocumentBytes.
	DocumentTooLarge Code = "document-too-large"
	// UnknownName means that an object has a name that is not defined.
	UnknownName Code = "unknown-name"
	// DuplicateName means that an object has the same name twice.
	DuplicateName Code = "duplicate-name"
	// Missing means that a required value is absent or empty.
	Missing Code = "missing"
	// WrongType means that a value is of another JSON type.
	WrongType Code = "wrong-type"
	// BadName means that a name or version has characters that aren't allowed.
	BadName Code = "bad-name"
	// BadAddress means that an address is not IP:port.
	BadAddress Code = "bad-address"
	// BadKeyHash means that a key hash is not "sha256:" and 64 hex digits.
	BadKeyHash Code = "bad-key-hash"
	// BadPath means that a path has the wrong form.
	BadPath Code = "bad-path"
	// BadMethod means that a method is not an HTTP method or "*".
	BadMethod Code = "bad-method"
	// BadValue means that a value is not one of those that are defined.
	BadValue Code = "bad-value"
	// OutOfRange means that a number is outside of its bounds.
	OutOfRange Code = "out-of-range"
	// Duplicate means that two entries share what must be unique.
	Duplicate Code = "duplicate"
	// UnknownReference means that a name refers to nothing in the document.
	UnknownReference Code = "unknown-reference"
	// KindNotAllowed means that a team's default kind is not among its kinds.
	KindNotAllowed Code = "kind-not-allowed"
	// ServiceWithoutServers means that no backend server runs the service.
	ServiceWithoutServers Code = "service-without-servers"
	// NotForType means that a value belongs to the other type of backend server.
	NotForType Code = "not-for-type"
	// ReservedPath means that a service claims a path of guavapaddle itself.
	ReservedPath Code = "reserved-path"
	// Unreachable means that an entry can never take effect.
	Unreachable Code = "unreachable"
	// TooManyCopies means that more copies are demanded than can be placed.
	TooManyCopies Code = "too-many-copies"
	// ImmutableVersion means that a version in force is given other properties.
	ImmutableVersion Code = "immutable-version"
	// ItemTooLarge means that an item fits on no engine even alone.
	ItemTooLarge Code = "item-too-large"
	// CapacityExceeded means that the least copies exceed the engines' memory.
	CapacityExceeded Code = "capacity-exceeded"
	// CapacityFragmented means that the sum fits and no placement was found.
	CapacityFragmented Code = "capacity-fragmented"
)

type (
	// Problem is one thing wrong with a document.
	Problem struct {
		Path   string `json:"path"` // as in "models[3].version", "$" for the whole
		Code   Code   `json:"code"`
		Detail string `json:"detail"` // for people
	}

	// InvalidError tells all that is wrong with a document.
	InvalidError struct {
		Problems []Problem
	}
)

// String returns path, code and detail in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", p.Path, p.Code, p.Detail)
}

// Error returns the problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("invalid configuration: problems: %d", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

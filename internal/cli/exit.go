package cli

import (
	"errors"
	"fmt"

	"guavapaddle/core/config"
	"guavapaddle/core/config/head"
	"guavapaddle/core/status"
	"guavapaddle/internal/configsync"
)

// Exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed and changed nothing.
	ExitFailed = 1
	// ExitInvalid means a usage error or an invalid document.
	ExitInvalid = 2
	// ExitConflict means that another operator's document was accepted instead.
	ExitConflict = 3
	// ExitUnconfirmed means that at least one live node does not report the
	// version.
	ExitUnconfirmed = 4
	// ExitDiffers means that two documents differ.
	ExitDiffers = 5
	// ExitUnknown means that the document was sent and may or may not take
	// effect.
	ExitUnknown = 6
)

// Error types in JSON output.
const (
	typeUsage       = "usage"
	typeInvalid     = "invalid-document"
	typeConflict    = "conflict"
	typeUnconfirmed = "unconfirmed"
	typeUnknown     = "unknown"
	typeFailed      = "failed"
)

type (
	// UsageError reports an invalid command line.
	UsageError struct {
		Problem string
	}

	// UnconfirmedError reports a version that is accepted but not reported by
	// every live node.
	UnconfirmedError struct {
		Version uint64
		Behind  []status.Node // live nodes that report a lower version
		Err     error         // why no node could be queried; nil if one answered
	}

	// NoNodeError reports that none of the given nodes answered.
	NoNodeError struct {
		Errs []error
	}

	// FileError reports a file that could not be read.
	FileError struct {
		Err error
	}

	// NotFoundError reports a request that no node has events of.
	NotFoundError struct {
		RequestID  string
		Queried    int // nodes queried
		Unanswered int // queried nodes that did not answer
	}

	// behindError reports live nodes with an older version, after the status
	// report that shows them was printed.
	behindError struct {
		UnconfirmedError
	}

	// differsError reports that diff found differences and printed them.
	differsError struct{}

	// failure is the JSON encoding of an error.
	failure struct {
		Type     string           `json:"type"`
		Message  string           `json:"message"`
		Problems []config.Problem `json:"problems,omitempty"`
		Winner   *head.Head       `json:"winner,omitempty"`
		Changes  []config.Change  `json:"changes,omitempty"`
		Sent     *head.Head       `json:"sent,omitempty"`
		Version  uint64           `json:"version,omitempty"`
		Behind   []status.Node    `json:"behind,omitempty"`
	}
)

// Error describes the problem.
func (e *UsageError) Error() string { return e.Problem }

// Error returns the version and the nodes that do not report it, or why no node
// could be queried.
func (e *UnconfirmedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("version %d is accepted, but not confirmed: %v", e.Version, e.Err)
	}
	return fmt.Sprintf("version %d is accepted, but not reported by %s", e.Version, nodeNames(e.Behind))
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Err }

// Error returns the errors of all nodes.
func (e *NoNodeError) Error() string {
	return fmt.Sprintf("no node answered: %v", errors.Join(e.Errs...))
}

// Unwrap returns the errors of all nodes.
func (e *NoNodeError) Unwrap() []error { return e.Errs }

// Error returns the cause.
func (e *FileError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Error returns the request ID and how many nodes were queried.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("nothing is known of request %s: %d nodes asked, %d of them gave no answer", e.RequestID, e.Queried, e.Unanswered)
}

// Error returns a fixed text.
func (differsError) Error() string { return "the documents differ" }

// fail prints err, if it is not nil, and returns the exit code.
func (e *Environment) fail(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, differsError{}) {
		return ExitDiffers
	}
	code, f := classify(err)
	if b, ok := errors.AsType[*behindError](err); ok {
		// The nodes are marked in the status report, which was printed before.
		e.errorf("%s: version %d is not reported by %s\n", program, b.Version, nodeNames(b.Behind))
		return ExitUnconfirmed
	}
	if e.output == outputJSON {
		e.printJSON(struct {
			Error failure `json:"error"`
		}{f})
		return code
	}
	e.printFailure(f)
	return code
}

// classify returns the exit code of err and its JSON encoding.
func classify(err error) (int, failure) {
	f := failure{Type: typeFailed, Message: err.Error()}
	if _, ok := errors.AsType[*UsageError](err); ok {
		f.Type = typeUsage
		return ExitInvalid, f
	}
	if i, ok := errors.AsType[*config.InvalidError](err); ok {
		f.Type, f.Problems = typeInvalid, i.Problems
		f.Message = fmt.Sprintf("the document is invalid, problems: %d", len(i.Problems))
		return ExitInvalid, f
	}
	if c, ok := errors.AsType[*configsync.ConflictError](err); ok {
		f.Type, f.Winner, f.Changes = typeConflict, &c.Winner, c.Changes
		return ExitConflict, f
	}
	if u, ok := errors.AsType[*UnconfirmedError](err); ok {
		f.Type, f.Version, f.Behind = typeUnconfirmed, u.Version, u.Behind
		return ExitUnconfirmed, f
	}
	if u, ok := errors.AsType[*configsync.UnknownError](err); ok {
		f.Type, f.Sent = typeUnknown, &u.Own
		return ExitUnknown, f
	}
	return ExitFailed, f
}

// printFailure prints f as text.
func (e *Environment) printFailure(f failure) {
	for _, p := range f.Problems {
		e.errorf("%s\n", p)
	}
	e.errorf("%s: %s\n", program, f.Message)
	for _, c := range f.Changes {
		e.errorf("  %s\n", c)
	}
	if f.Type == typeUsage {
		e.errorf("See \"%s -help\" and \"%s COMMAND -help\".\n", program, program)
	}
}

func nodeNames(nodes []status.Node) string {
	s := ""
	for i, n := range nodes {
		if i > 0 {
			s += ", "
		}
		s += n.Name
	}
	return s
}

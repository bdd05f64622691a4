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
	// ExitOK means that what was asked for is done.
	ExitOK = 0
	// ExitFailed means that it failed; nothing was changed.
	ExitFailed = 1
	// ExitInvalid means wrong usage or an invalid document.
	ExitInvalid = 2
	// ExitLost means that another operator's document was accepted.
	ExitLost = 3
	// ExitUnconfirmed means that some live node doesn't report the version.
	ExitUnconfirmed = 4
	// ExitDiffers means that two documents differ.
	ExitDiffers = 5
	// ExitUnknown means that the document may or may not take effect.
	ExitUnknown = 6
)

// Types of errors in JSON output.
const (
	typeUsage       = "usage"
	typeInvalid     = "invalid-document"
	typeConflict    = "conflict"
	typeUnconfirmed = "unconfirmed"
	typeUnknown     = "unknown"
	typeFailed      = "failed"
)

type (
	// UsageError means that the command line can't be understood.
	UsageError struct {
		Problem string
	}

	// UnconfirmedError means that a version is not reported by every live node.
	UnconfirmedError struct {
		Version uint64
		Behind  []status.Node // live nodes that report a lower version
		Err     error         // why no node could be asked, nil if one answered
	}

	// NoNodeError means that none of the given nodes answered.
	NoNodeError struct {
		Errs []error
	}

	// FileError means that a file could not be read.
	FileError struct {
		Err error
	}

	// NotFoundError means that no node knows a request.
	NotFoundError struct {
		RequestID string
		Asked     int
		Silent    int // of those asked
	}

	// behindError means that some live nodes are behind, which was printed.
	behindError struct {
		UnconfirmedError
	}

	// differsError ends diff when there are differences; they were printed.
	differsError struct{}

	// failure is an error in JSON output.
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

// Error returns the problem.
func (e *UsageError) Error() string { return e.Problem }

// Error names the nodes that are behind.
func (e *UnconfirmedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("version %d is accepted, but not confirmed: %v", e.Version, e.Err)
	}
	return fmt.Sprintf("version %d is accepted, but not reported by %s", e.Version, names(e.Behind))
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Err }

// Error returns the failure of each node.
func (e *NoNodeError) Error() string {
	return fmt.Sprintf("no node answered: %v", errors.Join(e.Errs...))
}

// Unwrap returns the failure of each node.
func (e *NoNodeError) Unwrap() []error { return e.Errs }

// Error returns the cause.
func (e *FileError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Error tells how many nodes were asked.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("nothing is known of request %s: %d nodes asked, %d of them gave no answer", e.RequestID, e.Asked, e.Silent)
}

// Error says that there are differences.
func (differsError) Error() string { return "the documents differ" }

// fail prints err, if any, and returns the exit code.
func (e *Environment) fail(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, differsError{}) {
		return ExitDiffers
	}
	code, f := classify(err)
	if b, ok := errors.AsType[*behindError](err); ok {
		// The report was printed and shows them.
		e.errorf("%s: version %d is not reported by %s\n", program, b.Version, names(b.Behind))
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

// classify returns the exit code and the description of err.
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
		return ExitLost, f
	}
	if u, ok := errors.AsType[*UnconfirmedError](err); ok {
		f.Type, f.Version, f.Behind = typeUnconfirmed, u.Version, u.Behind
		return ExitUnconfirmed, f
	}
	if u, ok := errors.AsType[*configsync.UnknownError](err); ok {
		f.Type, f.Sent = typeUnknown, &u.Mine
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

func names(nodes []status.Node) string {
	s := ""
	for i, n := range nodes {
		if i > 0 {
			s += ", "
		}
		s += n.Name
	}
	return s
}

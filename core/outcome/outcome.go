package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Outcome tells how a request ended.
type Outcome string

// Reason tells why a request did not end as Done, or why it was retried.
type Reason string

const (
	// Done means that the caller got the whole answer.
	Done Outcome = "done"
	// RefusedNotRun means that the request provably did not run anywhere.
	RefusedNotRun Outcome = "refused-not-run"
	// FailedAfterStart means that the request was started and failed.
	FailedAfterStart Outcome = "failed-after-start"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

const (
	// BadRequest means that the request could not be understood.
	BadRequest Reason = "bad-request"
	// BodyTooLarge means that the body exceeded the configured bound.
	BodyTooLarge Reason = "body-too-large"
	// HeaderTooLarge means that the headers exceeded the configured bound.
	HeaderTooLarge Reason = "header-too-large"
	// Unauthorized means that no team has the given key.
	Unauthorized Reason = "unauthorized"
	// NotFound means that the model or path is not declared for the team.
	NotFound Reason = "not-found"
	// KeyReused means that an idempotency key came with another body.
	KeyReused Reason = "key-reused"
	// KeyRequired means that a resumption or claim lacks its key.
	KeyRequired Reason = "key-required"
	// InProgress means that the same call is running elsewhere.
	InProgress Reason = "in-progress"
	// AnswerLost means that the call ran and its stored answer can't be read.
	AnswerLost Reason = "answer-lost"
	// TeamLimit means that the team is over its share.
	TeamLimit Reason = "team-limit"
	// QueueFull means that the queue is at its bound.
	QueueFull Reason = "queue-full"
	// DeadlineUnreachable means that the request can't end before its deadline.
	DeadlineUnreachable Reason = "deadline-unreachable"
	// DeadlinePassed means that the deadline passed while the request waited.
	DeadlinePassed Reason = "deadline-passed"
	// NoCopy means that no live backend server holds the model now.
	NoCopy Reason = "no-copy"
	// NoServer means that no backend server of the service is available.
	NoServer Reason = "no-server"
	// TableDown means that the claim could not be written.
	TableDown Reason = "table-down"
	// NoConfig means that the node has no configuration yet.
	NoConfig Reason = "no-config"
	// Draining means that the node is shutting down.
	Draining Reason = "draining"
	// ServerLeaving means that the backend server takes no new work.
	ServerLeaving Reason = "server-leaving"
	// CrashSuspect means that the request crashed backend servers before.
	CrashSuspect Reason = "crash-suspect"
	// RetryBudget means that the retry budget is spent.
	RetryBudget Reason = "retry-budget"
	// Preempted means that deferrable work gave way to urgent work.
	Preempted Reason = "preempted"
	// BackendRefused means that the backend server affirmed it did not run it.
	BackendRefused Reason = "backend-refused"
	// BackendFailed means that the backend server answered with a failure.
	BackendFailed Reason = "backend-failed"
	// BackendUnreachable means that no connection could be opened.
	BackendUnreachable Reason = "backend-unreachable"
	// BackendLost means that the connection broke or went silent mid-request.
	BackendLost Reason = "backend-lost"
	// BackendCut means that an answer ended without its end marker.
	BackendCut Reason = "backend-cut"
	// PeerUnreachable means that no connection to another node could be opened.
	PeerUnreachable Reason = "peer-unreachable"
	// PeerLost means that the connection to another node broke.
	PeerLost Reason = "peer-lost"
	// CallerGone means that the caller closed its connection.
	CallerGone Reason = "caller-gone"
	// Internal means a fault of guavapaddle itself.
	Internal Reason = "internal"
)

// Error is the failure of one request.
type Error struct {
	Outcome    Outcome       // never Done
	Reason     Reason        // one of the constants of this package
	Detail     string        // for people, may be empty
	RetryAfter time.Duration // when to come back, zero if unknown
}

// Error returns outcome, reason and detail in one line.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Outcome, e.Reason, e.Detail)
}

// Refuse returns an Error with outcome RefusedNotRun.
func Refuse(r Reason, detail string, retryAfter time.Duration) *Error {
	return &Error{Outcome: RefusedNotRun, Reason: r, Detail: detail, RetryAfter: retryAfter}
}

// Fail returns an Error with outcome FailedAfterStart.
func Fail(r Reason, detail string) *Error {
	return &Error{Outcome: FailedAfterStart, Reason: r, Detail: detail}
}

// Unsure returns an Error with outcome Unknown.
func Unsure(r Reason, detail string) *Error {
	return &Error{Outcome: Unknown, Reason: r, Detail: detail}
}

// From returns the *Error inside err, or one with outcome Unknown and reason
// Internal if there is none. It returns nil for a nil err.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return Unsure(Internal, err.Error())
}

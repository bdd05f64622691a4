package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is the way in which a request ended.
type Outcome string

// Reason is the reason why a request did not end as Done, or was retried.
type Reason string

const (
	// Done means that the caller received the complete answer.
	Done Outcome = "done"
	// RefusedNotRun means that the request provably did not run anywhere.
	RefusedNotRun Outcome = "refused-not-run"
	// FailedAfterStart means that the request started to run and then failed.
	FailedAfterStart Outcome = "failed-after-start"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

const (
	// BadRequest means that the request is malformed.
	BadRequest Reason = "bad-request"
	// BodyTooLarge means that the body exceeded the configured limit.
	BodyTooLarge Reason = "body-too-large"
	// HeaderTooLarge means that the headers exceeded the configured limit.
	HeaderTooLarge Reason = "header-too-large"
	// Unauthorized means that the given key belongs to no team.
	Unauthorized Reason = "unauthorized"
	// NotFound means that the model or path is not declared for the team.
	NotFound Reason = "not-found"
	// KeyReused means that an idempotency key was used again for another call.
	KeyReused Reason = "key-reused"
	// KeyRequired means that a request to resume or to claim has no key.
	KeyRequired Reason = "key-required"
	// InProgress means that the same call is already running.
	InProgress Reason = "in-progress"
	// AnswerLost means that the call ran but its stored answer can't be read.
	AnswerLost Reason = "answer-lost"
	// TeamLimit means that the team exceeds its share.
	TeamLimit Reason = "team-limit"
	// QueueFull means that the queue has reached its limit.
	QueueFull Reason = "queue-full"
	// DeadlineUnreachable means that the request can't end before its deadline.
	DeadlineUnreachable Reason = "deadline-unreachable"
	// DeadlinePassed means that the deadline passed while the request was waiting.
	DeadlinePassed Reason = "deadline-passed"
	// NoCopy means that no live backend server currently holds the model.
	NoCopy Reason = "no-copy"
	// NoServer means that no backend server of the service is available.
	NoServer Reason = "no-server"
	// TableDown means that the claim could not be written.
	TableDown Reason = "table-down"
	// NoConfig means that the node has no configuration yet.
	NoConfig Reason = "no-config"
	// Draining means that the node is shutting down.
	Draining Reason = "draining"
	// ServerLeaving means that the backend server accepts no new requests.
	ServerLeaving Reason = "server-leaving"
	// CrashSuspect means that the request is suspected of crashing backend servers.
	CrashSuspect Reason = "crash-suspect"
	// RetryBudget means that the retry budget is exhausted.
	RetryBudget Reason = "retry-budget"
	// Preempted means that a deferrable request was displaced by an urgent one.
	Preempted Reason = "preempted"
	// BackendRefused means that the backend server confirmed that it did not run
	// the request.
	BackendRefused Reason = "backend-refused"
	// BackendFailed means that the backend server returned an error.
	BackendFailed Reason = "backend-failed"
	// BackendUnreachable means that no connection to the backend server could be
	// opened.
	BackendUnreachable Reason = "backend-unreachable"
	// BackendLost means that the connection to the backend server broke or timed
	// out during the request.
	BackendLost Reason = "backend-lost"
	// BackendCut means that an answer ended without its end marker.
	BackendCut Reason = "backend-cut"
	// PeerUnreachable means that no connection to another node could be opened.
	PeerUnreachable Reason = "peer-unreachable"
	// PeerLost means that the connection to another node broke.
	PeerLost Reason = "peer-lost"
	// CallerGone means that the caller closed its connection.
	CallerGone Reason = "caller-gone"
	// Internal means an internal error of guavapaddle.
	Internal Reason = "internal"
)

// Error is the failure of one request.
type Error struct {
	Outcome    Outcome       // never Done
	Reason     Reason        // one of the constants of this package
	Detail     string        // human-readable, may be empty
	RetryAfter time.Duration // delay before a retry, zero if unknown
}

// Error returns the outcome, the reason and the detail, if any.
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

// Unconfirmed returns an Error with outcome Unknown.
func Unconfirmed(r Reason, detail string) *Error {
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
	return Unconfirmed(Internal, err.Error())
}

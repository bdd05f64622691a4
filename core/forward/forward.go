// Package forward defines the messages between an entry node, which received a
// request, and the node that owns the backend server chosen for it.
//
// # Usage
//
// The entry node opens a call to the owner with a Job. The owner answers with a
// sequence of Replies: one for each token, and a last one with either a finish
// reason or a failure. The last reply also contains the owner's Load, so that an
// entry node receives the load of exactly the servers that it uses.
package forward

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
)

type (
	// Job is a request to generate tokens on one backend server.
	Job struct {
		Server      string         `cbor:"1,keyasint"`
		RequestID   string         `cbor:"2,keyasint"`
		EngineID    string         `cbor:"3,keyasint"` // request id at the engine, scoped to the team; see EngineID
		Team        string         `cbor:"4,keyasint"`
		Kind        string         `cbor:"5,keyasint"`
		Urgency     config.Urgency `cbor:"6,keyasint"`
		Value       float64        `cbor:"7,keyasint"`
		RemainingMS int64          `cbor:"8,keyasint"` // time to the deadline; relative, so that clocks need not agree
		Item        backend.Item   `cbor:"9,keyasint"`
		Prompt      string         `cbor:"10,keyasint"`
		MaxTokens   int            `cbor:"11,keyasint"`
		Offset      int            `cbor:"12,keyasint"` // number of tokens that the caller has
		Resume      bool           `cbor:"13,keyasint"` // resume a generation that the engine already runs
		Isolated    bool           `cbor:"14,keyasint"` // run isolated: the request is suspected of crashing servers
		Fingerprint string         `cbor:"15,keyasint"` // hash of team, model and body
	}

	// Load is the current load of a server as known to its owner.
	Load struct {
		Running int   `cbor:"1,keyasint"`
		Queued  int   `cbor:"2,keyasint"`
		Slots   int   `cbor:"3,keyasint"`
		WaitMS  int64 `cbor:"4,keyasint"` // estimated wait at normal urgency
	}

	// Failure is the encoding of an outcome.Error between nodes.
	Failure struct {
		Outcome      outcome.Outcome `cbor:"1,keyasint"`
		Reason       outcome.Reason  `cbor:"2,keyasint"`
		Detail       string          `cbor:"3,keyasint,omitempty"`
		RetryAfterMS int64           `cbor:"4,keyasint,omitempty"`
		Crashed      bool            `cbor:"5,keyasint,omitempty"` // the server restarted or has disappeared
	}

	// Reply is one message of the answer.
	Reply struct {
		Offset  int      `cbor:"1,keyasint"`
		Token   string   `cbor:"2,keyasint,omitempty"`
		Finish  string   `cbor:"3,keyasint,omitempty"`
		Failure *Failure `cbor:"4,keyasint,omitempty"`
		Load    *Load    `cbor:"5,keyasint,omitempty"`
	}

	// Emit receives a reply with a token of the answer, and the resume token for
	// the position after it. An error means that the caller has disconnected.
	Emit func(reply Reply, at ResumeToken) error
)

// FailureOf returns the Failure that encodes err, or nil if err is nil.
func FailureOf(err error) *Failure {
	e := outcome.From(err)
	if e == nil {
		return nil
	}
	return &Failure{
		Outcome:      e.Outcome,
		Reason:       e.Reason,
		Detail:       e.Detail,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
}

// Err returns the *outcome.Error that f encodes.
func (f *Failure) Err() *outcome.Error {
	return &outcome.Error{
		Outcome:    f.Outcome,
		Reason:     f.Reason,
		Detail:     f.Detail,
		RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond,
	}
}

// Remaining returns the time until the deadline.
func (j Job) Remaining() time.Duration { return time.Duration(j.RemainingMS) * time.Millisecond }

// Generate returns the engine request for the job.
func (j Job) Generate(priority int) backend.Generate {
	return backend.Generate{
		RequestID: j.EngineID,
		Item:      j.Item,
		Prompt:    j.Prompt,
		MaxTokens: j.MaxTokens,
		Priority:  priority,
	}
}

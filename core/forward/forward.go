// Package forward describes what an entry node asks the owner of a backend
// server for, and what it gets back.
//
// # Usage
//
// The entry node opens a call to the owner with a Job. The owner answers with
// any number of Replies: tokens as they come, and as the last one either a
// finish or a failure. Every last reply carries the owner's Load, so that the
// entry node learns the state of the servers that it uses and of no others.
package forward

import (
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/outcome"
)

type (
	// Job is one generation for one backend server.
	Job struct {
		Server      string         `cbor:"1,keyasint"`
		RequestID   string         `cbor:"2,keyasint"`
		EngineID    string         `cbor:"3,keyasint"` // request id at the engine, scoped by team
		Team        string         `cbor:"4,keyasint"`
		Kind        string         `cbor:"5,keyasint"`
		Urgency     config.Urgency `cbor:"6,keyasint"`
		Value       float64        `cbor:"7,keyasint"`
		RemainingMS int64          `cbor:"8,keyasint"` // until the deadline; clocks are not compared
		Item        backend.Item   `cbor:"9,keyasint"`
		Prompt      string         `cbor:"10,keyasint"`
		MaxTokens   int            `cbor:"11,keyasint"`
		Offset      int            `cbor:"12,keyasint"` // tokens the caller has
		Resume      bool           `cbor:"13,keyasint"` // continue what the engine runs already
		Alone       bool           `cbor:"14,keyasint"` // suspected of crashing servers
		Fingerprint string         `cbor:"15,keyasint"` // of team, model and body
	}

	// Load is what an owner knows of its server at this moment.
	Load struct {
		Running int   `cbor:"1,keyasint"`
		Queued  int   `cbor:"2,keyasint"`
		Slots   int   `cbor:"3,keyasint"`
		WaitMS  int64 `cbor:"4,keyasint"` // estimated wait at normal urgency
	}

	// Failure is an outcome.Error on its way between nodes.
	Failure struct {
		Outcome      outcome.Outcome `cbor:"1,keyasint"`
		Reason       outcome.Reason  `cbor:"2,keyasint"`
		Detail       string          `cbor:"3,keyasint,omitempty"`
		RetryAfterMS int64           `cbor:"4,keyasint,omitempty"`
		Crashed      bool            `cbor:"5,keyasint,omitempty"` // the server restarted or is gone
	}

	// Reply is one step of the answer.
	Reply struct {
		Offset  int      `cbor:"1,keyasint"`
		Token   string   `cbor:"2,keyasint,omitempty"`
		Finish  string   `cbor:"3,keyasint,omitempty"`
		Failure *Failure `cbor:"4,keyasint,omitempty"`
		Load    *Load    `cbor:"5,keyasint,omitempty"`
	}

	// Emit takes a reply with a token of the answer and the place to resume
	// after it. An error means that the caller is gone.
	Emit func(reply Reply, at Token) error
)

// FailureOf returns the failure of err, nil if err is nil.
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

// Err returns f as an error.
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

// Generate returns what the engine is asked for.
func (j Job) Generate(priority int) backend.Generate {
	return backend.Generate{
		RequestID: j.EngineID,
		Item:      j.Item,
		Prompt:    j.Prompt,
		MaxTokens: j.MaxTokens,
		Priority:  priority,
	}
}

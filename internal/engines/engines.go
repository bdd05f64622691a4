// Package engines runs one generation on one model engine and resumes it when
// connections break or stall.
//
// # Method
//
// An engine continues a generation when its connection breaks. A broken or stalled
// stream is therefore resumed over a new connection from the next offset, up to
// MaxResumes times without progress. If the new connection can't be opened, or the
// engine no longer knows the request, the generation is lost. The sink receives each
// token once and in order: repeated tokens after a resumption are dropped, and any
// other unexpected offset fails the generation.
//
// # Usage
//
//	err := engines.Run(ctx, engine, forward.Job{...}, priority, sink)
//
// The error is an *outcome.Error, or a *SinkError if the sink failed. The outcome is
// RefusedNotRun only if the engine's client confirms that nothing was sent, or the
// engine confirms that it did not run the request.
package engines

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
)

const (
	// MaxResumes is the maximum number of consecutive resumptions without a token.
	MaxResumes = 2
	// FinishCancelled is the finish reason of a cancelled generation.
	FinishCancelled = "cancelled"

	cancelTimeout = time.Second
)

// FailureClass classifies the failure of an engine call by its consequence for the request.
type FailureClass int

const (
	// Interrupted means that the request may still be running and can be resumed.
	Interrupted FailureClass = iota
	// NotSent means that no byte of the request was written.
	NotSent
	// NotRun means that the engine confirmed that it did not run the request.
	NotRun
	// Failed means that the engine reported that the request failed.
	Failed
	// Unknown means that the engine does not know the request to resume.
	Unknown
)

type (
	// Stream returns the events of one generation.
	Stream interface {
		// Next returns the next event. The event with Finish set is the last.
		Next() (backend.Event, error)
		// Close closes the connection if the stream has not ended.
		Close()
	}

	// Engine is a client of one model engine.
	Engine interface {
		Generate(ctx context.Context, g backend.Generate) (Stream, error)
		Resume(ctx context.Context, r backend.Resume) (Stream, error)
		Cancel(ctx context.Context, requestID string) error
		// Classify classifies an error of Generate, Resume or Next, and returns the
		// reason to report and the delay before a retry.
		Classify(err error) (FailureClass, outcome.Reason, time.Duration)
	}

	// Sink receives the tokens of a generation. An error ends the delivery but not
	// the generation.
	Sink func(r forward.Reply) error

	// SinkError is an error of the sink: the requester is gone.
	SinkError struct{ Err error }

	// run is the state of one generation.
	run struct {
		engine  Engine
		job     forward.Job
		sink    Sink
		offset  int
		started bool // the engine has sent an event, or the job is a resumption
		resumes int  // resumptions since the last token
	}
)

// Error returns the sink's error.
func (e *SinkError) Error() string { return "sink: " + e.Err.Error() }

// Unwrap returns the sink's error.
func (e *SinkError) Unwrap() error { return e.Err }

// Run runs job and delivers its tokens to sink. It returns nil after it delivered
// the finish, a *SinkError if the sink failed, and an *outcome.Error otherwise.
func Run(ctx context.Context, e Engine, job forward.Job, priority int, sink Sink) error {
	r := &run{engine: e, job: job, sink: sink, offset: job.Offset, started: job.Resume}
	var s Stream
	var err error
	if job.Resume {
		s, err = e.Resume(ctx, backend.Resume{RequestID: job.EngineID, Offset: job.Offset})
	} else {
		s, err = e.Generate(ctx, job.Generate(priority))
	}
	for {
		if err == nil {
			err = r.deliver(s)
			s.Close()
		}
		if err == nil || ctx.Err() != nil {
			return r.result(ctx, err)
		}
		if s, err = r.resumeAfter(ctx, err); err != nil {
			return err
		}
	}
}

// Cancel cancels a generation on the engine. It ignores errors.
func Cancel(e Engine, engineID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = e.Cancel(ctx, engineID)
}

// deliver passes events to the sink until the finish.
func (r *run) deliver(s Stream) error {
	for {
		ev, err := s.Next()
		if err != nil {
			return err
		}
		r.started = true
		if ev.Finish == FinishCancelled {
			return outcome.Fail(outcome.BackendFailed, "cancelled at the engine")
		}
		if ev.Finish == "" && ev.Offset < r.offset {
			continue // repeated by the engine after a resumption
		}
		if ev.Offset != r.offset {
			return outcome.Fail(outcome.BackendCut, fmt.Sprintf("offset %d, want %d", ev.Offset, r.offset))
		}
		reply := forward.Reply{Offset: ev.Offset, Token: ev.Token, Finish: ev.Finish}
		if err := r.sink(reply); err != nil {
			return &SinkError{Err: err}
		}
		if ev.Finish != "" {
			return nil
		}
		r.offset++
		r.resumes = 0
	}
}

// result returns the final error of a generation that finished or whose context
// ended.
func (r *run) result(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if _, ok := errors.AsType[*SinkError](err); ok {
		return err
	}
	if context.Cause(ctx) == context.DeadlineExceeded {
		return outcome.Fail(outcome.DeadlinePassed, "the engine was still at it")
	}
	return outcome.Fail(outcome.CallerGone, "")
}

// resumeAfter resumes the generation after err. If it can't be resumed, it returns
// the final error.
func (r *run) resumeAfter(ctx context.Context, err error) (Stream, error) {
	if _, ok := errors.AsType[*SinkError](err); ok {
		return nil, err
	}
	if e, ok := errors.AsType[*outcome.Error](err); ok {
		return nil, e
	}
	for {
		class, reason, retryAfter := r.engine.Classify(err)
		switch {
		case !r.started && (class == NotSent || class == NotRun):
			return nil, outcome.Refuse(reason, err.Error(), retryAfter)
		case class == Failed:
			return nil, outcome.Fail(reason, err.Error())
		case class != Interrupted || r.resumes >= MaxResumes:
			return nil, outcome.Fail(outcome.BackendLost, err.Error())
		}
		r.started = true // from here on the engine may be running the request
		r.resumes++
		var s Stream
		s, err = r.engine.Resume(ctx, backend.Resume{RequestID: r.job.EngineID, Offset: r.offset})
		if err == nil {
			return s, nil
		}
		if ctx.Err() != nil {
			return nil, r.result(ctx, err)
		}
	}
}

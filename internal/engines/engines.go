// Package engines runs one generation at one model engine and keeps it going
// when connections break or go silent.
//
// # Method
//
// The engine goes on with a generation when its connection breaks, so a broken
// or silent stream is resumed over a new connection from the next offset, up to
// MaxResumes times without progress. If the new connection can't be opened, or
// the engine no longer knows the request, the generation is lost. Tokens reach
// the sink in order, each once: an event whose offset is not the next ends the
// stream as broken.
//
// # Usage
//
//	err := engines.Run(ctx, engine, forward.Job{...}, priority, sink)
//
// The error is an *outcome.Error. RefusedNotRun is said only if the engine's
// client affirms that nothing was sent, or the engine that it did not run.
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
	// MaxResumes is how often a stream is resumed without a token in between.
	MaxResumes = 2
	// FinishCancelled is the finish of a generation that was cancelled.
	FinishCancelled = "cancelled"

	cancelTimeout = time.Second
)

// Fate tells what a failure of an engine call means for the request.
type Fate int

const (
	// Broken means that the request may run on and can be resumed.
	Broken Fate = iota
	// NotSent means that no byte of the request was written.
	NotSent
	// NotRun means that the engine affirmed that it did not run the request.
	NotRun
	// Failed means that the engine answered that the request failed.
	Failed
	// Unknown means that the engine does not know the request to resume.
	Unknown
)

type (
	// Stream gives the events of one answer.
	Stream interface {
		// Next returns the next event. An event with Finish is the last.
		Next() (backend.Event, error)
		// Close closes the connection if the stream did not end.
		Close()
	}

	// Engine is a client of one model engine.
	Engine interface {
		Generate(ctx context.Context, g backend.Generate) (Stream, error)
		Resume(ctx context.Context, r backend.Resume) (Stream, error)
		Cancel(ctx context.Context, requestID string) error
		// Fate tells what an error of Generate, Resume or Next means.
		Fate(err error) (Fate, outcome.Reason, time.Duration)
	}

	// Sink takes the tokens of an answer. An error ends the generation's
	// delivery, not the generation.
	Sink func(r forward.Reply) error

	// SinkError is an error of the sink: who asked is gone.
	SinkError struct{ Err error }

	// run is one generation.
	run struct {
		engine  Engine
		job     forward.Job
		sink    Sink
		offset  int
		started bool // the engine has sent an event, or the job is a resumption
		resumes int  // since the last token
	}
)

// Error returns the sink's error.
func (e *SinkError) Error() string { return "sink: " + e.Err.Error() }

// Unwrap returns the sink's error.
func (e *SinkError) Unwrap() error { return e.Err }

// Run generates and delivers the answer of job. It returns nil after the
// finish was delivered, a *SinkError if who asked is gone, and an
// *outcome.Error otherwise.
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
			return r.ended(ctx, err)
		}
		if s, err = r.again(ctx, err); err != nil {
			return err
		}
	}
}

// Cancel ends a generation at the engine, best effort.
func Cancel(e Engine, engineID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = e.Cancel(ctx, engineID)
}

// deliver passes events on until the finish.
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
			continue // an overlap after a resumption
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

// ended gives the error of a generation whose context ended, or of its end.
func (r *run) ended(ctx context.Context, err error) error {
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

// again resumes after err, or says how the generation ended.
func (r *run) again(ctx context.Context, err error) (Stream, error) {
	if _, ok := errors.AsType[*SinkError](err); ok {
		return nil, err
	}
	if e, ok := errors.AsType[*outcome.Error](err); ok {
		return nil, e
	}
	for {
		fate, reason, after := r.engine.Fate(err)
		switch {
		case !r.started && (fate == NotSent || fate == NotRun):
			return nil, outcome.Refuse(reason, err.Error(), after)
		case fate == Failed:
			return nil, outcome.Fail(reason, err.Error())
		case fate != Broken || r.resumes >= MaxResumes:
			return nil, outcome.Fail(outcome.BackendLost, err.Error())
		}
		r.started = true // from here on it may run
		r.resumes++
		var s Stream
		s, err = r.engine.Resume(ctx, backend.Resume{RequestID: r.job.EngineID, Offset: r.offset})
		if err == nil {
			return s, nil
		}
		if ctx.Err() != nil {
			return nil, r.ended(ctx, err)
		}
	}
}

package engines_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"guavapaddle/core/backend"
	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/internal/engines"
)

var (
	errInterrupted = errors.New("broken")
	errNotSent     = errors.New("not sent")
	errNotRun      = errors.New("not run")
	errFailed      = errors.New("failed")
	errUnknown     = errors.New("unknown request")
)

type (
	// fakeEngine is an engine whose connections break as scripted: connection n delivers
	// breaks[n] events and then fails.
	fakeEngine struct {
		tokens      int
		breaks      []int
		overlap     int // number of tokens that a resumption repeats
		generateErr error
		resumeErr   error
		connections int
	}

	fakeStream struct {
		f         *fakeEngine
		next      int
		remaining int // events until the connection breaks; negative means never
		err       error
	}
)

func (f *fakeEngine) connect(offset int) (engines.Stream, error) {
	remaining := -1
	if f.connections < len(f.breaks) {
		remaining = f.breaks[f.connections]
	}
	f.connections++
	return &fakeStream{f: f, next: offset, remaining: remaining, err: errInterrupted}, nil
}

func (f *fakeEngine) Generate(context.Context, backend.Generate) (engines.Stream, error) {
	if f.generateErr != nil {
		return nil, f.generateErr
	}
	return f.connect(0)
}

func (f *fakeEngine) Resume(_ context.Context, r backend.Resume) (engines.Stream, error) {
	if f.resumeErr != nil {
		return nil, f.resumeErr
	}
	return f.connect(max(0, r.Offset-f.overlap))
}

func (f *fakeEngine) Cancel(context.Context, string) error { return nil }

func (f *fakeEngine) Classify(err error) (engines.FailureClass, outcome.Reason, time.Duration) {
	switch {
	case errors.Is(err, errNotSent):
		return engines.NotSent, outcome.BackendUnreachable, time.Second
	case errors.Is(err, errNotRun):
		return engines.NotRun, outcome.QueueFull, time.Second
	case errors.Is(err, errFailed):
		return engines.Failed, outcome.BackendFailed, 0
	case errors.Is(err, errUnknown):
		return engines.Unknown, outcome.BackendLost, 0
	}
	return engines.Interrupted, outcome.BackendLost, 0
}

func (s *fakeStream) Next() (backend.Event, error) {
	if s.remaining == 0 {
		return backend.Event{}, s.err
	}
	s.remaining--
	e := backend.Event{Offset: s.next, Token: "t"}
	if s.next == s.f.tokens {
		e = backend.Event{Offset: s.next, Finish: "stop"}
	}
	s.next++
	return e, nil
}

func (*fakeStream) Close() {}

// run runs a job on f and returns the offsets of the delivered tokens, whether the
// finish was delivered, and the error.
func run(f *fakeEngine, job forward.Job) (offsets []int, finished bool, err error) {
	err = engines.Run(context.Background(), f, job, 0, func(r forward.Reply) error {
		if r.Finish != "" {
			finished = true
			return nil
		}
		offsets = append(offsets, r.Offset)
		return nil
	})
	return offsets, finished, err
}

func TestRun(t *testing.T) {
	for _, test := range []struct {
		name       string
		fakeEngine fakeEngine
		job        forward.Job
		tokens     int
		outcome    outcome.Outcome // empty for success
		reason     outcome.Reason
	}{
		{name: "whole", fakeEngine: fakeEngine{tokens: 5}, tokens: 5},
		{name: "broken twice", fakeEngine: fakeEngine{tokens: 5, breaks: []int{2, 2}}, tokens: 5},
		{name: "repeats after a resumption", fakeEngine: fakeEngine{tokens: 5, breaks: []int{3}, overlap: 2}, tokens: 5},
		{name: "broken before the first token", fakeEngine: fakeEngine{tokens: 5, breaks: []int{0}}, tokens: 5},
		{name: "resumed from the start", fakeEngine: fakeEngine{tokens: 5}, job: forward.Job{Resume: true, Offset: 3}, tokens: 2},
		{name: "no progress after resumptions", fakeEngine: fakeEngine{tokens: 5, breaks: []int{2, 0, 0, 0, 0}}, tokens: 2,
			outcome: outcome.FailedAfterStart, reason: outcome.BackendLost},
		{name: "unreachable after a break", fakeEngine: fakeEngine{tokens: 5, breaks: []int{2}, resumeErr: errNotSent}, tokens: 2,
			outcome: outcome.FailedAfterStart, reason: outcome.BackendLost},
		{name: "request unknown after a break", fakeEngine: fakeEngine{tokens: 5, breaks: []int{2}, resumeErr: errUnknown}, tokens: 2,
			outcome: outcome.FailedAfterStart, reason: outcome.BackendLost},
		{name: "unreachable", fakeEngine: fakeEngine{generateErr: errNotSent}, outcome: outcome.RefusedNotRun, reason: outcome.BackendUnreachable},
		{name: "confirmed not run", fakeEngine: fakeEngine{generateErr: errNotRun}, outcome: outcome.RefusedNotRun, reason: outcome.QueueFull},
		{name: "failed", fakeEngine: fakeEngine{generateErr: errFailed}, outcome: outcome.FailedAfterStart, reason: outcome.BackendFailed},
		{name: "sent, then unreachable", fakeEngine: fakeEngine{generateErr: errInterrupted, resumeErr: errNotSent},
			outcome: outcome.FailedAfterStart, reason: outcome.BackendLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			offsets, finished, err := run(&test.fakeEngine, test.job)
			require.Len(t, offsets, test.tokens)
			for i, o := range offsets {
				require.Equal(t, test.job.Offset+i, o)
			}
			require.Equal(t, test.outcome == "", finished)
			if test.outcome == "" {
				require.NoError(t, err)
				return
			}
			e := outcome.From(err)
			require.Equal(t, test.outcome, e.Outcome)
			require.Equal(t, test.reason, e.Reason)
		})
	}
}

// TestInvariantTokensOnce guards against lost, repeated or reordered tokens when
// streams break at random points and resumptions repeat tokens. The finish must come
// only after all tokens.
func TestInvariantTokensOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := &fakeEngine{
			tokens:  rapid.IntRange(0, 30).Draw(r, "tokens"),
			breaks:  rapid.SliceOfN(rapid.IntRange(0, 8), 0, 12).Draw(r, "breaks"),
			overlap: rapid.IntRange(0, 5).Draw(r, "overlap"),
		}
		offsets, finished, err := run(f, forward.Job{})
		for i, o := range offsets {
			require.Equal(r, i, o)
		}
		require.Equal(r, finished, err == nil)
		if finished {
			require.Len(r, offsets, f.tokens)
		}
	})
}

// TestSinkGone checks that an error of the sink ends the delivery and is
// distinguished from failures of the engine.
func TestSinkGone(t *testing.T) {
	err := engines.Run(context.Background(), &fakeEngine{tokens: 5}, forward.Job{}, 0, func(forward.Reply) error { return io.ErrClosedPipe })
	var gone *engines.SinkError
	require.ErrorAs(t, err, &gone)
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

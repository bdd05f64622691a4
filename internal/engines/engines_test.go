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
	errBroken  = errors.New("broken")
	errNotSent = errors.New("not sent")
	errNotRun  = errors.New("not run")
	errFailed  = errors.New("failed")
	errUnknown = errors.New("unknown request")
)

type (
	// fake is an engine whose connections break as scripted: the n-th
	// connection delivers breaks[n] events and then fails.
	fake struct {
		tokens  int
		breaks  []int
		overlap int   // tokens that a resumption repeats
		open    error // of the first connection
		resume  error // of every resumption
		calls   int
	}

	stream struct {
		f    *fake
		next int
		left int // events until the connection breaks, negative for never
		err  error
	}
)

func (f *fake) connect(offset int) (engines.Stream, error) {
	left := -1
	if f.calls < len(f.breaks) {
		left = f.breaks[f.calls]
	}
	f.calls++
	return &stream{f: f, next: offset, left: left, err: errBroken}, nil
}

func (f *fake) Generate(context.Context, backend.Generate) (engines.Stream, error) {
	if f.open != nil {
		return nil, f.open
	}
	return f.connect(0)
}

func (f *fake) Resume(_ context.Context, r backend.Resume) (engines.Stream, error) {
	if f.resume != nil {
		return nil, f.resume
	}
	return f.connect(max(0, r.Offset-f.overlap))
}

func (f *fake) Cancel(context.Context, string) error { return nil }

func (f *fake) Fate(err error) (engines.Fate, outcome.Reason, time.Duration) {
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
	return engines.Broken, outcome.BackendLost, 0
}

func (s *stream) Next() (backend.Event, error) {
	if s.left == 0 {
		return backend.Event{}, s.err
	}
	s.left--
	e := backend.Event{Offset: s.next, Token: "t"}
	if s.next == s.f.tokens {
		e = backend.Event{Offset: s.next, Finish: "stop"}
	}
	s.next++
	return e, nil
}

func (*stream) Close() {}

// run returns the offsets that came before the finish, and the error.
func run(f *fake, job forward.Job) (offsets []int, finished bool, err error) {
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
		name    string
		fake    fake
		job     forward.Job
		tokens  int
		outcome outcome.Outcome // empty for done
		reason  outcome.Reason
	}{
		{name: "whole", fake: fake{tokens: 5}, tokens: 5},
		{name: "broken twice", fake: fake{tokens: 5, breaks: []int{2, 2}}, tokens: 5},
		{name: "repeats after a resumption", fake: fake{tokens: 5, breaks: []int{3}, overlap: 2}, tokens: 5},
		{name: "broken before the first token", fake: fake{tokens: 5, breaks: []int{0}}, tokens: 5},
		{name: "resumed from the start", fake: fake{tokens: 5}, job: forward.Job{Resume: true, Offset: 3}, tokens: 2},
		{name: "silent for good", fake: fake{tokens: 5, breaks: []int{2, 0, 0, 0, 0}}, tokens: 2,
			outcome: outcome.FailedAfterStart, reason: outcome.BackendLost},
		{name: "gone after a break", fake: fake{tokens: 5, breaks: []int{2}, resume: errNotSent}, tokens: 2,
			outcome: outcome.FailedAfterStart, reason: outcome.BackendLost},
		{name: "forgotten after a break", fake: fake{tokens: 5, breaks: []int{2}, resume: errUnknown}, tokens: 2,
			outcome: outcome.FailedAfterStart, reason: outcome.BackendLost},
		{name: "unreachable", fake: fake{open: errNotSent}, outcome: outcome.RefusedNotRun, reason: outcome.BackendUnreachable},
		{name: "affirmed not run", fake: fake{open: errNotRun}, outcome: outcome.RefusedNotRun, reason: outcome.QueueFull},
		{name: "failed", fake: fake{open: errFailed}, outcome: outcome.FailedAfterStart, reason: outcome.BackendFailed},
		{name: "sent, then unreachable", fake: fake{open: errBroken, resume: errNotSent},
			outcome: outcome.FailedAfterStart, reason: outcome.BackendLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			offsets, finished, err := run(&test.fake, test.job)
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

// TestInvariantTokensOnce breaks streams anywhere and lets resumptions repeat
// tokens: each token comes once and in order, and a finish only after all.
func TestInvariantTokensOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := &fake{
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

// TestSinkGone shows that an error of the sink ends the delivery and is told
// apart from the engine's failures.
func TestSinkGone(t *testing.T) {
	err := engines.Run(context.Background(), &fake{tokens: 5}, forward.Job{}, 0, func(forward.Reply) error { return io.ErrClosedPipe })
	var gone *engines.SinkError
	require.ErrorAs(t, err, &gone)
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

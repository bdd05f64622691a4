package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/backend"
	"guavapaddle/core/config"
	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/internal/dispatch"
	"guavapaddle/internal/engines"
)

const step = 10 * time.Millisecond

type (
	// fakeEngine emits one token per step until it is cancelled.
	fakeEngine struct {
		mu         sync.Mutex
		running    int
		maxRunning int
		cancelled  map[string]bool
		resumed    map[string]bool
	}

	stream struct {
		f    *fakeEngine
		id   string
		next int
		last int
	}
)

func newFakeEngine() *fakeEngine {
	return &fakeEngine{cancelled: map[string]bool{}, resumed: map[string]bool{}}
}

func (f *fakeEngine) Generate(_ context.Context, g backend.Generate) (engines.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	return &stream{f: f, id: g.RequestID, last: g.MaxTokens}, nil
}

func (f *fakeEngine) Resume(_ context.Context, r backend.Resume) (engines.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resumed[r.RequestID] = true
	return &stream{f: f, id: r.RequestID, next: r.Offset, last: r.Offset + 3}, nil
}

func (f *fakeEngine) Cancel(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled[id] = true
	return nil
}

func (f *fakeEngine) Classify(error) (engines.FailureClass, outcome.Reason, time.Duration) {
	return engines.Unknown, outcome.BackendLost, 0
}

func (f *fakeEngine) isCancelled(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancelled[id]
}

func (s *stream) Next() (backend.Event, error) {
	time.Sleep(step)
	if s.f.isCancelled(s.id) {
		return backend.Event{Offset: s.next, Finish: engines.FinishCancelled}, nil
	}
	e := backend.Event{Offset: s.next, Token: "t"}
	if s.next == s.last {
		e = backend.Event{Offset: s.next, Finish: "length"}
		s.f.mu.Lock()
		s.f.running--
		s.f.mu.Unlock()
	}
	s.next++
	return e, nil
}

func (*stream) Close() {}

func newDispatcher(f *fakeEngine, slots int) *dispatch.Dispatcher {
	d := &dispatch.Dispatcher{Engine: func(string) engines.Engine { return f }, ResumeGrace: time.Second}
	d.Acquire("gpu-1", slots)
	return d
}

func job(id string, tokens int) forward.Job {
	return forward.Job{
		Server: "gpu-1", RequestID: id, EngineID: id, Kind: "k", Urgency: config.Normal,
		RemainingMS: 60_000, MaxTokens: tokens,
	}
}

func discard(forward.Reply) error { return nil }

// TestSlots guards against running more requests at the engine than it has
// slots.
func TestSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine()
		d := newDispatcher(f, 3)
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() { require.NoError(t, d.RunJob(context.Background(), job(fmt.Sprint(i), 5), discard)) })
		}
		wg.Wait()
		require.Equal(t, 3, f.maxRunning)
		require.Zero(t, d.Busy())
		require.Zero(t, d.Active())
	})
}

// TestNotOwned checks that a job for a server of another node is refused as not
// run.
func TestNotOwned(t *testing.T) {
	f := newFakeEngine()
	d := newDispatcher(f, 1)
	other := job("r", 1)
	other.Server = "gpu-2"
	e := outcome.From(d.RunJob(context.Background(), other, discard))
	require.Equal(t, outcome.RefusedNotRun, e.Outcome)
	require.Equal(t, outcome.NoServer, e.Reason)
	require.Positive(t, e.RetryAfter)
}

// TestInvariantReleaseRefusesAsNotRun guards against losing or running requests
// that wait when their server is released: they are refused as not run and don't
// run, while the running one ends normally.
func TestInvariantReleaseRefusesAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine()
		d := newDispatcher(f, 1)
		errs := make([]error, 4)
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() { errs[i] = d.RunJob(context.Background(), job(fmt.Sprint(i), 20), discard) })
			synctest.Wait()
		}
		d.Release("gpu-1")
		wg.Wait()
		require.NoError(t, errs[0])
		for _, err := range errs[1:] {
			e := outcome.From(err)
			require.Equal(t, outcome.RefusedNotRun, e.Outcome)
			require.Equal(t, outcome.NoServer, e.Reason)
		}
		require.Equal(t, 1, f.maxRunning)
	})
}

// TestResumeGrace checks that a generation whose requester is gone continues for
// the grace period and is then cancelled, unless another requester resumes it.
func TestResumeGrace(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		t.Run(fmt.Sprint("resumed ", resumed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeEngine()
				d := newDispatcher(f, 1)
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan error, 1)
				go func() { done <- d.RunJob(ctx, job("r", 400), discard) }()
				time.Sleep(20 * step)
				cancel()
				time.Sleep(500 * time.Millisecond)
				require.False(t, f.isCancelled("r"))
				if resumed {
					resume := job("r", 400)
					resume.Resume, resume.Offset = true, 20
					require.NoError(t, d.RunJob(context.Background(), resume, discard))
				}
				time.Sleep(time.Second)
				require.Equal(t, !resumed, f.isCancelled("r"))
				require.Error(t, <-done)
				require.Zero(t, d.Busy())
			})
		})
	}
}

// TestCancelled checks that a generation ends at once if its requester cancels
// it explicitly.
func TestCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine()
		d := newDispatcher(f, 1)
		ctx, cancel := context.WithCancelCause(context.Background())
		done := make(chan error, 1)
		go func() { done <- d.RunJob(ctx, job("r", 400), discard) }()
		time.Sleep(20 * step)
		cancel(dispatch.ErrCancelled)
		require.Error(t, <-done)
		require.True(t, f.isCancelled("r"))
	})
}

// TestRequesterGoneWhileWaiting guards against running a waiting request whose
// requester is gone: it is removed from the queue.
func TestRequesterGoneWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine()
		d := newDispatcher(f, 1)
		go func() { _ = d.RunJob(context.Background(), job("first", 50), discard) }()
		synctest.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- d.RunJob(ctx, job("second", 50), discard) }()
		synctest.Wait()
		cancel()
		e := outcome.From(<-done)
		require.Equal(t, outcome.RefusedNotRun, e.Outcome)
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, f.maxRunning)
		require.Zero(t, d.Busy())
	})
}

// TestDeadline checks that a waiting request that can no longer meet its
// deadline is refused at once, not at its deadline.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine()
		d := newDispatcher(f, 1)
		var wg sync.WaitGroup
		wg.Go(func() { _ = d.RunJob(context.Background(), job("long", 1000), discard) })
		defer wg.Wait()
		synctest.Wait()
		shortDeadline := job("late", 50)
		shortDeadline.RemainingMS = 2000
		start := time.Now()
		e := outcome.From(d.RunJob(context.Background(), shortDeadline, discard))
		require.Equal(t, outcome.RefusedNotRun, e.Outcome)
		require.Less(t, time.Since(start), 2*time.Second)
		require.Positive(t, e.RetryAfter)
	})
}

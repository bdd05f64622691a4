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
	// fake is an engine that gives a token each step until it is cancelled.
	fake struct {
		mu        sync.Mutex
		running   int
		most      int
		cancelled map[string]bool
		resumed   map[string]bool
	}

	stream struct {
		f    *fake
		id   string
		next int
		last int
	}
)

func newFake() *fake { return &fake{cancelled: map[string]bool{}, resumed: map[string]bool{}} }

func (f *fake) Generate(_ context.Context, g backend.Generate) (engines.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running++
	f.most = max(f.most, f.running)
	return &stream{f: f, id: g.RequestID, last: g.MaxTokens}, nil
}

func (f *fake) Resume(_ context.Context, r backend.Resume) (engines.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resumed[r.RequestID] = true
	return &stream{f: f, id: r.RequestID, next: r.Offset, last: r.Offset + 3}, nil
}

func (f *fake) Cancel(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled[id] = true
	return nil
}

func (f *fake) Fate(error) (engines.Fate, outcome.Reason, time.Duration) {
	return engines.Unknown, outcome.BackendLost, 0
}

func (f *fake) isCancelled(id string) bool {
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

func newDispatcher(f *fake, slots int) *dispatch.Dispatcher {
	d := &dispatch.Dispatcher{Engine: func(string) engines.Engine { return f }, ResumeGrace: time.Second}
	d.Own("gpu-1", slots)
	return d
}

func job(id string, tokens int) forward.Job {
	return forward.Job{
		Server: "gpu-1", RequestID: id, EngineID: id, Kind: "k", Urgency: config.Normal,
		RemainingMS: 60_000, MaxTokens: tokens,
	}
}

func discard(forward.Reply) error { return nil }

// TestSlots shows that no more requests run at the engine than it has slots.
func TestSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		d := newDispatcher(f, 3)
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() { require.NoError(t, d.Do(context.Background(), job(fmt.Sprint(i), 5), discard)) })
		}
		wg.Wait()
		require.Equal(t, 3, f.most)
		require.Zero(t, d.Busy())
		require.Zero(t, d.Active())
	})
}

// TestNotOwned refuses a job for a server of another node, as not run.
func TestNotOwned(t *testing.T) {
	f := newFake()
	d := newDispatcher(f, 1)
	other := job("r", 1)
	other.Server = "gpu-2"
	e := outcome.From(d.Do(context.Background(), other, discard))
	require.Equal(t, outcome.RefusedNotRun, e.Outcome)
	require.Equal(t, outcome.NoServer, e.Reason)
	require.Positive(t, e.RetryAfter)
}

// TestInvariantDisownRefusesAsNotRun gives a server up while requests wait:
// those that wait are refused as not run and did not run, the running one ends.
func TestInvariantDisownRefusesAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		d := newDispatcher(f, 1)
		errs := make([]error, 4)
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() { errs[i] = d.Do(context.Background(), job(fmt.Sprint(i), 20), discard) })
			synctest.Wait()
		}
		d.Disown("gpu-1")
		wg.Wait()
		require.NoError(t, errs[0])
		for _, err := range errs[1:] {
			e := outcome.From(err)
			require.Equal(t, outcome.RefusedNotRun, e.Outcome)
			require.Equal(t, outcome.NoServer, e.Reason)
		}
		require.Equal(t, 1, f.most)
	})
}

// TestLinger leaves a generation without its asker: it goes on for the grace
// and is cancelled then, unless another asker resumes it.
func TestLinger(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		t.Run(fmt.Sprint("resumed ", resumed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake()
				d := newDispatcher(f, 1)
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan error, 1)
				go func() { done <- d.Do(ctx, job("r", 400), discard) }()
				time.Sleep(20 * step)
				cancel()
				time.Sleep(500 * time.Millisecond)
				require.False(t, f.isCancelled("r"))
				if resumed {
					again := job("r", 400)
					again.Resume, again.Offset = true, 20
					require.NoError(t, d.Do(context.Background(), again, discard))
				}
				time.Sleep(time.Second)
				require.Equal(t, !resumed, f.isCancelled("r"))
				require.Error(t, <-done)
				require.Zero(t, d.Busy())
			})
		})
	}
}

// TestCancelled ends a generation at once whose asker will not come back.
func TestCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		d := newDispatcher(f, 1)
		ctx, cancel := context.WithCancelCause(context.Background())
		done := make(chan error, 1)
		go func() { done <- d.Do(ctx, job("r", 400), discard) }()
		time.Sleep(20 * step)
		cancel(dispatch.ErrCancelled)
		require.Error(t, <-done)
		require.True(t, f.isCancelled("r"))
	})
}

// TestGoneWhileWaiting takes a waiting request out whose asker is gone; it
// never runs.
func TestGoneWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		d := newDispatcher(f, 1)
		go func() { _ = d.Do(context.Background(), job("first", 50), discard) }()
		synctest.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- d.Do(ctx, job("second", 50), discard) }()
		synctest.Wait()
		cancel()
		e := outcome.From(<-done)
		require.Equal(t, outcome.RefusedNotRun, e.Outcome)
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, f.most)
		require.Zero(t, d.Busy())
	})
}

// TestDeadline refuses a waiting request when it can't end in time any more,
// at once and not at its deadline.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		d := newDispatcher(f, 1)
		var wg sync.WaitGroup
		wg.Go(func() { _ = d.Do(context.Background(), job("long", 1000), discard) })
		defer wg.Wait()
		synctest.Wait()
		late := job("late", 50)
		late.RemainingMS = 2000
		began := time.Now()
		e := outcome.From(d.Do(context.Background(), late, discard))
		require.Equal(t, outcome.RefusedNotRun, e.Outcome)
		require.Less(t, time.Since(began), 2*time.Second)
		require.Positive(t, e.RetryAfter)
	})
}

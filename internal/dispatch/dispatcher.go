package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/core/queue"
	"guavapaddle/internal/engines"
)

const (
	// DefaultResumeGrace is how long a generation continues without a reader.
	DefaultResumeGrace = 10 * time.Second

	notOwnedRetry = 200 * time.Millisecond
)

type (
	// Dispatcher runs the requests of the servers that this node owns.
	Dispatcher struct {
		// Engine returns the client of a server's engine, nil if unknown.
		Engine func(server string) engines.Engine
		// Settings returns the queue settings of a server; may be nil.
		Settings func(server string) queue.Settings
		// OnEngineLost is called when a server's engine breaks a request's connection,
		// with the fingerprints of the requests that were running. The failed
		// request is answered only after OnEngineLost returns. It may be nil.
		OnEngineLost func(server string, running []string)
		// ResumeGrace is how long a generation continues without a reader; zero
		// means DefaultResumeGrace.
		ResumeGrace time.Duration

		active  atomic.Int64
		mu      sync.Mutex
		servers map[string]*server
	}

	// server is one owned backend server.
	server struct {
		name string

		mu      sync.Mutex
		queue   *queue.Queue
		waiting map[string]chan verdict
		running map[string]*running // by engine ID
		timer   *time.Timer
		closed  bool
	}

	// verdict is the queue's decision on a waiting request.
	verdict struct {
		priority int
		err      error
	}

	// running is a request that was sent to the engine.
	running struct {
		fingerprint string
		resumed     chan struct{} // closed when another requester resumes it
	}
)

// Acquire makes the node dispatch for a server with the given number of slots. For a
// server that it already owns it only sets the slots.
func (d *Dispatcher) Acquire(name string, slots int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.servers == nil {
		d.servers = map[string]*server{}
	}
	if s := d.servers[name]; s != nil {
		s.setSlots(slots)
		return
	}
	var settings queue.Settings
	if d.Settings != nil {
		settings = d.Settings(name)
	}
	settings.Slots = slots
	d.servers[name] = &server{
		name:    name,
		queue:   queue.New(settings),
		waiting: map[string]chan verdict{},
		running: map[string]*running{},
	}
}

// Release releases a server. Waiting requests are refused as not run, so that
// they go to the next owner; running ones continue to their end.
func (d *Dispatcher) Release(name string) {
	d.mu.Lock()
	s := d.servers[name]
	delete(d.servers, name)
	d.mu.Unlock()
	if s != nil {
		s.close()
	}
}

// Owned returns the names of the servers that this node dispatches for.
func (d *Dispatcher) Owned() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.servers))
	for n := range d.servers {
		names = append(names, n)
	}
	return names
}

// Load returns the load of a server.
func (d *Dispatcher) Load(name string) (forward.Load, bool) {
	s := d.server(name)
	if s == nil {
		return forward.Load{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load(time.Now()), true
}

// Busy returns how many requests wait or run on all servers.
func (d *Dispatcher) Busy() int {
	n := 0
	for _, name := range d.Owned() {
		if l, ok := d.Load(name); ok {
			n += l.Running + l.Queued
		}
	}
	return n
}

// Active returns how many generations are queued, running or waiting for a
// resumption, including those on servers that the node has released.
func (d *Dispatcher) Active() int { return int(d.active.Load()) }

// RunJob runs a job on a server that this node owns and passes the replies to sink.
// The error is nil, an *engines.SinkError or an *outcome.Error.
func (d *Dispatcher) RunJob(ctx context.Context, job forward.Job, sink engines.Sink) error {
	s := d.server(job.Server)
	engine := d.Engine(job.Server)
	if s == nil || engine == nil {
		return outcome.Refuse(outcome.NoServer, "not the owner of "+job.Server, notOwnedRetry)
	}
	d.active.Add(1)
	defer d.active.Add(-1)
	if job.Resume {
		s.signalResumed(job.EngineID)
		return d.run(ctx, s, engine, job, 0, sink)
	}
	priority, err := s.wait(ctx, job)
	if err != nil {
		return err
	}
	started := time.Now()
	err = d.run(ctx, s, engine, job, priority, sink)
	s.done(job, started, err == nil)
	return err
}

// run sends a job to the engine. A streamed generation continues after its
// requester is gone.
func (d *Dispatcher) run(ctx context.Context, s *server, e engines.Engine, job forward.Job, priority int, sink engines.Sink) error {
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	stopWatch := context.AfterFunc(ctx, func() { d.awaitResume(ctx, s, e, job, cancel) })
	defer stopWatch()
	r := s.addRunning(job)
	defer s.removeRunning(job.EngineID, r)
	sinkClosed := false
	forwardReply := func(reply forward.Reply) error {
		if sinkClosed || ctx.Err() != nil {
			sinkClosed = true // keep reading, which holds the slot until the engine is done
			return nil
		}
		if err := sink(reply); err != nil {
			sinkClosed = true
			go d.awaitResume(ctx, s, e, job, cancel)
		}
		return nil
	}
	err := engines.Run(runCtx, e, job, priority, forwardReply)
	switch {
	case sinkClosed:
		return &engines.SinkError{Err: context.Canceled}
	case err != nil:
		d.reportLost(s, err)
	}
	return err
}

// awaitResume waits for another requester to resume a generation, and cancels it
// if none does within the grace period.
func (d *Dispatcher) awaitResume(ctx context.Context, s *server, e engines.Engine, job forward.Job, cancel context.CancelCauseFunc) {
	grace := d.ResumeGrace
	if grace == 0 {
		grace = DefaultResumeGrace
	}
	if context.Cause(ctx) == ErrCancelled {
		grace = 0
	}
	resumed := s.resumption(job.EngineID)
	t := time.NewTimer(grace)
	defer t.Stop()
	select {
	case <-resumed:
		return
	case <-t.C:
	}
	engines.Cancel(e, job.EngineID)
	cancel(ErrCancelled)
}

// reportLost calls OnEngineLost after a broken connection to an engine, which may mean
// that the server crashed.
func (d *Dispatcher) reportLost(s *server, err error) {
	e, ok := errors.AsType[*outcome.Error](err)
	if !ok || d.OnEngineLost == nil || e.Reason != outcome.BackendLost {
		return
	}
	d.OnEngineLost(s.name, s.fingerprints())
}

func (d *Dispatcher) server(name string) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[name]
}

// queueEntry returns the queue entry of a job.
func queueEntry(job forward.Job, now time.Time) queue.Entry {
	return queue.Entry{
		ID:       job.EngineID,
		Team:     job.Team,
		Kind:     job.Kind,
		Item:     job.Item,
		Urgency:  job.Urgency,
		Value:    job.Value,
		Deadline: now.Add(job.Remaining()),
		Tokens:   job.MaxTokens,
		Isolated: job.Isolated,
	}
}

// cancelledError is the type of ErrCancelled.
type cancelledError struct{}

// ErrCancelled is the cause of a context whose requester no longer wants the
// response and will not return for it.
var ErrCancelled error = cancelledError{}

// Error returns the error text.
func (cancelledError) Error() string { return "cancelled by the asker" }

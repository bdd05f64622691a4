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
	// DefaultResumeGrace is how long a generation goes on that nobody reads.
	DefaultResumeGrace = 10 * time.Second

	notOwnedRetry = 200 * time.Millisecond
)

type (
	// Dispatcher runs the requests of the servers that this node owns.
	Dispatcher struct {
		// Engine returns the client of a server's engine, nil if unknown.
		Engine func(server string) engines.Engine
		// Settings returns the queue settings of a server, may be nil.
		Settings func(server string) queue.Settings
		// OnLost is told that a server's engine broke off requests, with the
		// fingerprints of those that ran. The request that was broken off is
		// answered when it returns. It may be nil.
		OnLost func(server string, running []string)
		// ResumeGrace is how long a generation goes on that nobody reads.
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
		running map[string]*running // by engine id
		timer   *time.Timer
		closed  bool
	}

	// verdict is what the queue decided about a waiting request.
	verdict struct {
		priority int
		err      error
	}

	// running is a request that was sent to the engine.
	running struct {
		fingerprint string
		adopted     chan struct{} // closed when another asker resumes it
	}
)

// Own makes the node dispatch for a server with so many slots.
func (d *Dispatcher) Own(name string, slots int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.servers == nil {
		d.servers = map[string]*server{}
	}
	if s := d.servers[name]; s != nil {
		s.setSlots(slots)
		return
	}
	var set queue.Settings
	if d.Settings != nil {
		set = d.Settings(name)
	}
	set.Slots = slots
	d.servers[name] = &server{
		name:    name,
		queue:   queue.New(set),
		waiting: map[string]chan verdict{},
		running: map[string]*running{},
	}
}

// Disown gives a server up: waiting requests are refused as not run, so that
// they go to the next owner; running ones end as they are.
func (d *Dispatcher) Disown(name string) {
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

// Active returns how many generations run or linger, those of servers that the
// node gave up included.
func (d *Dispatcher) Active() int { return int(d.active.Load()) }

// Do runs a job on a server that this node owns and passes the answer to sink.
// The error is nil, a *engines.SinkError or an *outcome.Error.
func (d *Dispatcher) Do(ctx context.Context, job forward.Job, sink engines.Sink) error {
	s := d.server(job.Server)
	engine := d.Engine(job.Server)
	if s == nil || engine == nil {
		return outcome.Refuse(outcome.NoServer, "not the owner of "+job.Server, notOwnedRetry)
	}
	d.active.Add(1)
	defer d.active.Add(-1)
	if job.Resume {
		s.adopt(job.EngineID)
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

// run sends a job to the engine. A streamed generation outlives its asker.
func (d *Dispatcher) run(ctx context.Context, s *server, e engines.Engine, job forward.Job, priority int, sink engines.Sink) error {
	work, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	unwatch := context.AfterFunc(ctx, func() { d.linger(ctx, s, e, job, stop) })
	defer unwatch()
	r := s.start(job)
	defer s.end(job.EngineID, r)
	gone := false
	guarded := func(reply forward.Reply) error {
		if gone || ctx.Err() != nil {
			gone = true // keep reading to hold the slot until the engine is done
			return nil
		}
		if err := sink(reply); err != nil {
			gone = true
			go d.linger(ctx, s, e, job, stop)
		}
		return nil
	}
	err := engines.Run(work, e, job, priority, guarded)
	switch {
	case gone:
		return &engines.SinkError{Err: context.Canceled}
	case err != nil:
		d.lost(s, err)
	}
	return err
}

// linger waits for somebody to resume a generation and cancels it if none
// does.
func (d *Dispatcher) linger(ctx context.Context, s *server, e engines.Engine, job forward.Job, stop context.CancelCauseFunc) {
	grace := d.ResumeGrace
	if grace == 0 {
		grace = DefaultResumeGrace
	}
	if context.Cause(ctx) == ErrCancelled {
		grace = 0
	}
	adopted := s.adoption(job.EngineID)
	t := time.NewTimer(grace)
	defer t.Stop()
	select {
	case <-adopted:
		return
	case <-t.C:
	}
	engines.Cancel(e, job.EngineID)
	stop(ErrCancelled)
}

// lost tells what a broken generation may have been: the crash of a server.
func (d *Dispatcher) lost(s *server, err error) {
	e, ok := errors.AsType[*outcome.Error](err)
	if !ok || d.OnLost == nil || e.Reason != outcome.BackendLost {
		return
	}
	d.OnLost(s.name, s.fingerprints())
}

func (d *Dispatcher) server(name string) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.servers[name]
}

// entry returns the queue's entry of a job.
func entry(job forward.Job, now time.Time) queue.Entry {
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

// cancelled is the cause of a context whose asker cancelled.
type cancelled struct{}

// ErrCancelled is the cause of a context whose asker does not want the answer
// any more and will not come back for it.
var ErrCancelled error = cancelled{}

// Error returns the text of the cause.
func (cancelled) Error() string { return "cancelled by the asker" }

package dispatch

import (
	"context"
	"time"

	"guavapaddle/core/config"
	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/core/queue"
)

// wait offers a job to the queue and returns its priority at the engine once
// a slot is free. The error is an *outcome.Error with outcome RefusedNotRun.
func (s *server) wait(ctx context.Context, job forward.Job) (int, error) {
	verdicts, err := s.offer(job)
	if err != nil {
		return 0, err
	}
	select {
	case v := <-verdicts:
		return v.priority, v.err
	case <-ctx.Done():
	}
	if s.cancel(job.EngineID) {
		return 0, outcome.Refuse(outcome.CallerGone, "while it waited", 0)
	}
	v := <-verdicts // a verdict came first
	if v.err == nil {
		s.done(job, time.Time{}, false)
	}
	return 0, outcome.Refuse(outcome.CallerGone, "while it waited", 0)
}

// offer puts a job into the queue.
func (s *server) offer(job forward.Job) (chan verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.closed {
		return nil, outcome.Refuse(outcome.NoServer, s.name, notOwnedRetry)
	}
	verdicts := make(chan verdict, 1)
	r := s.queue.Enqueue(now, entry(job, now))
	if !r.Admitted {
		return nil, outcome.Refuse(r.Reason, s.name, r.RetryAfter)
	}
	s.waiting[job.EngineID] = verdicts
	if r.Evicted != nil {
		s.refuse(*r.Evicted)
	}
	s.pump(now)
	return verdicts, nil
}

// pump delivers what the queue decides now. The lock is held.
func (s *server) pump(now time.Time) {
	for _, e := range s.queue.Expire(now) {
		s.refuse(e)
	}
	for d, ok := s.queue.Next(now); ok; d, ok = s.queue.Next(now) {
		s.verdict(d.ID, verdict{priority: d.Priority})
	}
	s.schedule(now)
}

// schedule arranges for the next expiry. The lock is held.
func (s *server) schedule(now time.Time) {
	at, ok := s.queue.NextExpiry()
	if s.timer != nil {
		s.timer.Stop()
	}
	if !ok || s.closed {
		return
	}
	s.timer = time.AfterFunc(max(at.Sub(now), time.Millisecond), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pump(time.Now())
	})
}

func (s *server) refuse(e queue.Rejection) {
	s.verdict(e.ID, verdict{err: outcome.Refuse(e.Reason, s.name, e.RetryAfter)})
}

func (s *server) verdict(id string, v verdict) {
	if c, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		c <- v
	}
}

// cancel takes a waiting job out and tells whether it was waiting.
func (s *server) cancel(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.waiting[id]; !ok {
		return false
	}
	delete(s.waiting, id)
	s.queue.Cancel(id)
	s.pump(time.Now())
	return true
}

// done frees a job's slot; a good end teaches the queue its service time.
func (s *server) done(job forward.Job, started time.Time, good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	seconds := 0.0
	if good {
		seconds = now.Sub(started).Seconds()
	}
	s.queue.Done(job.EngineID, now, seconds)
	s.pump(now)
}

// close refuses all that wait.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, e := range s.queue.Drain() {
		s.verdict(e.ID, verdict{err: outcome.Refuse(outcome.NoServer, s.name+" changed its owner", notOwnedRetry)})
	}
	if s.timer != nil {
		s.timer.Stop()
	}
}

func (s *server) setSlots(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetSlots(n)
	s.pump(time.Now())
}

// load returns the server's load. The lock is held.
func (s *server) load(now time.Time) forward.Load {
	st := s.queue.State(now)
	return forward.Load{
		Running: st.Running,
		Queued:  st.Queued,
		Slots:   st.Slots,
		WaitMS:  st.WaitMS(config.Normal),
	}
}

// start notes a job as running at the engine.
func (s *server) start(job forward.Job) *running {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &running{fingerprint: job.Fingerprint, adopted: make(chan struct{})}
	s.running[job.EngineID] = r
	return r
}

// end forgets a running job, unless another asker has taken it over.
func (s *server) end(id string, r *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[id] == r {
		delete(s.running, id)
	}
}

// adopt tells who lingers on a generation that another asker resumes it.
func (s *server) adopt(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.running[id]; r != nil {
		select {
		case <-r.adopted:
		default:
			close(r.adopted)
		}
	}
}

// adoption returns a channel that is closed when a generation is resumed by
// another asker.
func (s *server) adoption(id string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.running[id]; r != nil {
		return r.adopted
	}
	return nil
}

// fingerprints returns those of all running jobs.
func (s *server) fingerprints() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]string, 0, len(s.running))
	for _, r := range s.running {
		all = append(all, r.fingerprint)
	}
	return all
}

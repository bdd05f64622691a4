package dispatch

import (
	"context"
	"time"

	"guavapaddle/core/config"
	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/core/queue"
)

// wait enqueues a job and returns its priority at the engine once a slot is
// free. The error is an *outcome.Error with outcome RefusedNotRun.
func (s *server) wait(ctx context.Context, job forward.Job) (int, error) {
	verdicts, err := s.enqueue(job)
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
	v := <-verdicts // the verdict was delivered before the cancellation
	if v.err == nil {
		s.done(job, time.Time{}, false)
	}
	return 0, outcome.Refuse(outcome.CallerGone, "while it waited", 0)
}

// enqueue adds a job to the queue and returns the channel of its verdict.
func (s *server) enqueue(job forward.Job) (chan verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.closed {
		return nil, outcome.Refuse(outcome.NoServer, s.name, notOwnedRetry)
	}
	verdicts := make(chan verdict, 1)
	r := s.queue.Enqueue(now, queueEntry(job, now))
	if !r.Admitted {
		return nil, outcome.Refuse(r.Reason, s.name, r.RetryAfter)
	}
	s.waiting[job.EngineID] = verdicts
	if r.Evicted != nil {
		s.refuse(*r.Evicted)
	}
	s.deliverVerdicts(now)
	return verdicts, nil
}

// deliverVerdicts delivers the verdicts that the queue has at now. The lock is
// held.
func (s *server) deliverVerdicts(now time.Time) {
	for _, e := range s.queue.Expire(now) {
		s.refuse(e)
	}
	for d, ok := s.queue.Next(now); ok; d, ok = s.queue.Next(now) {
		s.deliver(d.ID, verdict{priority: d.Priority})
	}
	s.schedule(now)
}

// schedule sets the timer for the next expiry. The lock is held.
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
		s.deliverVerdicts(time.Now())
	})
}

// refuse delivers a rejection by the queue to the waiting job. The lock is held.
func (s *server) refuse(e queue.Rejection) {
	s.deliver(e.ID, verdict{err: outcome.Refuse(e.Reason, s.name, e.RetryAfter)})
}

// deliver delivers v to a waiting job. The lock is held.
func (s *server) deliver(id string, v verdict) {
	if c, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		c <- v
	}
}

// cancel removes a waiting job and reports whether it was waiting.
func (s *server) cancel(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.waiting[id]; !ok {
		return false
	}
	delete(s.waiting, id)
	s.queue.Cancel(id)
	s.deliverVerdicts(time.Now())
	return true
}

// done frees a job's slot. A successful job updates the queue's estimate of the
// service time.
func (s *server) done(job forward.Job, started time.Time, succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	seconds := 0.0
	if succeeded {
		seconds = now.Sub(started).Seconds()
	}
	s.queue.Done(job.EngineID, now, seconds)
	s.deliverVerdicts(now)
}

// close refuses all waiting jobs.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, e := range s.queue.Drain() {
		s.deliver(e.ID, verdict{err: outcome.Refuse(outcome.NoServer, s.name+" changed its owner", notOwnedRetry)})
	}
	if s.timer != nil {
		s.timer.Stop()
	}
}

func (s *server) setSlots(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetSlots(n)
	s.deliverVerdicts(time.Now())
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

// addRunning records a job as running at the engine.
func (s *server) addRunning(job forward.Job) *running {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &running{fingerprint: job.Fingerprint, resumed: make(chan struct{})}
	s.running[job.EngineID] = r
	return r
}

// removeRunning removes a running job, unless another requester has taken it
// over.
func (s *server) removeRunning(id string, r *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[id] == r {
		delete(s.running, id)
	}
}

// signalResumed ends the wait for a resumption of a generation that another
// requester resumes.
func (s *server) signalResumed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.running[id]; r != nil {
		select {
		case <-r.resumed:
		default:
			close(r.resumed)
		}
	}
}

// resumption returns a channel that is closed when another requester resumes a
// generation.
func (s *server) resumption(id string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.running[id]; r != nil {
		return r.resumed
	}
	return nil
}

// fingerprints returns the fingerprints of all running jobs.
func (s *server) fingerprints() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]string, 0, len(s.running))
	for _, r := range s.running {
		all = append(all, r.fingerprint)
	}
	return all
}

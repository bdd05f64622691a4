package front

import (
	"context"
	"sync"
	"time"

	"guavapaddle/internal/clock"
)

const (
	// minRefreshInterval is the minimum time between two reports triggered by requests, so
	// that many unknown API keys cost no more than one.
	minRefreshInterval = time.Second
	// refreshPoll is how often a refresh checks whether the newer version has arrived.
	refreshPoll = 10 * time.Millisecond
)

// refresher lets requests trigger a report to the leader and wait for its completion. The
// zero value is ready for use.
type refresher struct {
	mu          sync.Mutex
	wake        chan struct{} // closed when an immediate report is requested
	completed   chan struct{} // closed when the next report has completed
	requestedAt time.Duration // boot time of the last requested report, zero for none
}

// init creates the channels; r.mu is held.
func (r *refresher) init() {
	if r.wake == nil {
		r.wake, r.completed = make(chan struct{}), make(chan struct{})
	}
}

// sleep waits for d, or until a report is requested, and reports whether ctx is still
// active.
func (r *refresher) sleep(ctx context.Context, d time.Duration) bool {
	r.mu.Lock()
	r.init()
	wake := r.wake
	r.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// finish wakes the requests that wait for a report.
func (r *refresher) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.completed)
	r.completed = make(chan struct{})
	select {
	case <-r.wake:
		r.wake = make(chan struct{})
	default:
	}
}

// request triggers a report, unless one was requested recently, and waits for its
// completion. It returns false if there is nothing to wait for.
func (r *refresher) request(ctx context.Context) bool {
	r.mu.Lock()
	r.init()
	now := clock.SinceBoot()
	select {
	case <-r.wake: // a requested report is already pending
	default:
		if r.requestedAt != 0 && now-r.requestedAt < minRefreshInterval {
			r.mu.Unlock()
			return false
		}
		r.requestedAt = now
		close(r.wake)
	}
	completed := r.completed
	r.mu.Unlock()
	select {
	case <-completed:
		return true
	case <-ctx.Done():
		return false
	}
}

// refresh requests a newer configuration from the leader and waits until it is in force.
func (n *Node) refresh(ctx context.Context) {
	if !n.refresher.request(ctx) {
		return
	}
	for n.follower.IsBehind() && clock.Sleep(ctx, refreshPoll) {
	}
}

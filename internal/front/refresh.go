package front

import (
	"context"
	"sync"
	"time"

	"guavapaddle/internal/clock"
)

const (
	// refreshPause is the least time between two reports that requests ask for. Many
	// unknown keys cost no more than one.
	refreshPause = time.Second
	// refreshCheck is how often a refresh looks whether the newer version is here.
	refreshCheck = 10 * time.Millisecond
)

// refresher lets requests have the node report at once, and wait for the answer. The
// zero value is ready.
type refresher struct {
	mu    sync.Mutex
	wake  chan struct{} // closed when a report is due at once
	ended chan struct{} // closed when the next report has ended
	last  time.Duration // boot time of the last one asked for, zero for none
}

// init makes the channels; r.mu is held.
func (r *refresher) init() {
	if r.wake == nil {
		r.wake, r.ended = make(chan struct{}), make(chan struct{})
	}
}

// sleep waits for d, or until a report is asked for, and tells whether ctx is still open.
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

// done ends the waits for a report.
func (r *refresher) done() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.ended)
	r.ended = make(chan struct{})
	select {
	case <-r.wake:
		r.wake = make(chan struct{})
	default:
	}
}

// ask has a report made, unless one was asked for of late, and waits for its end. It
// returns false if there is nothing to wait for.
func (r *refresher) ask(ctx context.Context) bool {
	r.mu.Lock()
	r.init()
	now := clock.Boot()
	select {
	case <-r.wake: // one that was asked for is under way
	default:
		if r.last != 0 && now-r.last < refreshPause {
			r.mu.Unlock()
			return false
		}
		r.last = now
		close(r.wake)
	}
	ended := r.ended
	r.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// refresh asks the holder of the lease for a newer configuration and waits until it is in
// force.
func (n *Node) refresh(ctx context.Context) {
	if !n.refresher.ask(ctx) {
		return
	}
	for n.follower.Behind() && clock.Sleep(ctx, refreshCheck) {
	}
}

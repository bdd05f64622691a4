package lag

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"guavapaddle/core/admission"
)

const (
	// turns is how often a goroutine waits for the processor in a call to another process: those that read the socket, those of the
	// connection, and the caller.
	turns = 10
	// crossings is how often packets of a call wait at the link, if it opens a connection first.
	crossings = 3
	// maxAllowance bounds the allowance, so that a failed peer is noticed in the end.
	maxAllowance = time.Second
	// smoothing is the time constant of the mean delays from which the allowance is derived.
	smoothing = 250 * time.Millisecond
)

// process holds what is known of this process.
var process struct {
	scheduling, link atomic.Int64 // moving means, in nanoseconds

	mu    sync.Mutex
	trips admission.RoundTrips
}

// RecordRoundTrip records how long a round trip to a peer took that needed nothing of the peer but its kernel, as the opening of a
// connection.
func RecordRoundTrip(peer string, took time.Duration) {
	process.mu.Lock()
	defer process.mu.Unlock()
	process.trips.Record(time.Now(), peer, took)
}

// linkDelay returns how long packets wait at the link.
func linkDelay(now time.Time) time.Duration {
	process.mu.Lock()
	defer process.mu.Unlock()
	return process.trips.Delay(now)
}

// smooth moves a mean towards a sample.
func smooth(mean *atomic.Int64, sample time.Duration) {
	mean.Add((int64(sample) - mean.Load()) * int64(Interval) / int64(smoothing))
}

// Allowance returns by how much longer a reply may take to be noticed since this process is late.
func Allowance() time.Duration {
	return min(turns*time.Duration(process.scheduling.Load())+crossings*time.Duration(process.link.Load()), maxAllowance)
}

// Extend returns a timeout that is longer by the current Allowance.
func Extend(timeout time.Duration) time.Duration { return timeout + Allowance() }

// WithTimeout is context.WithTimeout with an extended timeout.
func WithTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, Extend(timeout))
}

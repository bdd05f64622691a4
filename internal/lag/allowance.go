package lag

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
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

// RoundTrip is a round trip to a peer that is under way, which needs next to nothing of the peer, as the opening of a connection.
type RoundTrip struct{ id uint64 }

// BeginRoundTrip records that a round trip to a peer begins.
func BeginRoundTrip(peer string) RoundTrip {
	process.mu.Lock()
	defer process.mu.Unlock()
	return RoundTrip{process.trips.Begin(time.Now(), peer)}
}

// End records that the round trip was completed, or given up. It must be called once.
func (t RoundTrip) End(completed bool) {
	process.mu.Lock()
	defer process.mu.Unlock()
	process.trips.End(time.Now(), t.id, completed)
}

// EndWith ends the round trip with the error of the connection that it opened. A refused connection is a round trip as well.
func (t RoundTrip) EndWith(err error) { t.End(err == nil || errors.Is(err, syscall.ECONNREFUSED)) }

// RecordRoundTrip records how long a completed round trip to a peer took.
func RecordRoundTrip(peer string, took time.Duration) {
	process.mu.Lock()
	defer process.mu.Unlock()
	process.trips.Record(time.Now(), peer, took)
}

// linkDelay returns how long packets wait at the link, and whether a round trip that was completed recently shows so.
func linkDelay(now time.Time) (delay time.Duration, shown bool) {
	process.mu.Lock()
	defer process.mu.Unlock()
	return process.trips.Delay(now), process.trips.CompletedSince(now.Add(-probeInterval))
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

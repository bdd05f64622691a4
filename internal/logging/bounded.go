package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// samplerFirst is the number of lines of one event that are written per second
	// before sampling starts. A node that serves 60 requests per second writes
	// 60 lines per second for completed requests and fewer of every other event.
	samplerFirst = 200
	// samplerThereafter is the sampling interval beyond samplerFirst: every n-th line
	// is written.
	samplerThereafter = 20
	// maxQueuedLines is the capacity of the queue of lines that are not yet written
	// because the reader of the output is slow.
	maxQueuedLines = 2048
	// summaryInterval is the interval at which the counts of omitted lines are
	// logged.
	summaryInterval = 5 * time.Second
	// syncTimeout limits how long Sync waits for a slow reader of the output.
	syncTimeout = 50 * time.Millisecond
	// closeTimeout limits how long Close waits for a slow reader of the output.
	closeTimeout = 200 * time.Millisecond
)

type (
	// Bounded is a logger that does not block its callers on a slow output and
	// limits the rate of lines per event. The numbers of omitted lines are logged
	// as events of their own. Sync waits for the lines logged before it, for
	// syncTimeout at most.
	Bounded struct {
		*zap.Logger

		queued     chan line
		out        io.Writer
		dropped    atomic.Int64 // lines dropped because the queue was full
		mu         sync.Mutex
		sampledOut map[string]int64 // lines omitted by sampling, by event
		done       chan struct{}
		stop       chan struct{}
	}

	// line is a line to write or, if written is not nil, a marker whose channel
	// is closed when all lines before it are written.
	line struct {
		text    []byte
		written chan struct{}
	}

	// queueWriter is the output of the zap core. It passes lines to the writing
	// goroutine.
	queueWriter struct{ b *Bounded }

	// SyncError reports that lines were not written within Timeout.
	SyncError struct {
		Timeout time.Duration
	}
)

// Error describes the timeout.
func (e *SyncError) Error() string { return fmt.Sprintf("log lines not written within %v", e.Timeout) }

// NewBounded returns a logger that writes lines of the given level and above to
// w. Call Close to write the queued lines. The error is a *LevelError.
func NewBounded(w io.Writer, level string) (*Bounded, error) {
	b := &Bounded{queued: make(chan line, maxQueuedLines), out: w, sampledOut: map[string]int64{},
		done: make(chan struct{}), stop: make(chan struct{})}
	l, err := New(queueWriter{b}, level)
	if err != nil {
		return nil, err
	}
	b.Logger = l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, samplerFirst, samplerThereafter, zapcore.SamplerHook(b.countSampledOut))
	}))
	go b.run()
	return b, nil
}

// Write queues a line, or counts it as dropped if the queue is full.
func (q queueWriter) Write(p []byte) (int, error) {
	select {
	case q.b.queued <- line{text: append([]byte(nil), p...)}:
	default:
		q.b.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits until the lines queued before the call are written. The error is a
// *SyncError.
func (q queueWriter) Sync() error {
	marker := line{written: make(chan struct{})}
	timer := time.NewTimer(syncTimeout)
	defer timer.Stop()
	select {
	case q.b.queued <- marker:
	case <-timer.C:
		return &SyncError{Timeout: syncTimeout}
	}
	select {
	case <-marker.written:
		return nil
	case <-timer.C:
		return &SyncError{Timeout: syncTimeout}
	}
}

// countSampledOut counts the lines that the sampler omits.
func (b *Bounded) countSampledOut(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sampledOut[e.Message]++
}

// run writes queued lines and periodic summaries until Close is called.
func (b *Bounded) run() {
	defer close(b.done)
	t := time.NewTicker(summaryInterval)
	defer t.Stop()
	for {
		select {
		case l := <-b.queued:
			b.writeLine(l)
		case <-t.C:
			b.logSummary()
		case <-b.stop:
			b.flush()
			b.logSummary()
			b.flush()
			return
		}
	}
}

// writeLine writes a line, or signals a marker of Sync.
func (b *Bounded) writeLine(l line) {
	if l.written != nil {
		close(l.written)
		return
	}
	_, _ = b.out.Write(l.text) // a failure of the log output cannot be reported
}

// flush writes the queued lines without waiting for more.
func (b *Bounded) flush() {
	for {
		select {
		case l := <-b.queued:
			b.writeLine(l)
		default:
			return
		}
	}
}

// logSummary logs how many lines were dropped and sampled out since the previous
// summary.
func (b *Bounded) logSummary() {
	if n := b.dropped.Swap(0); n > 0 {
		b.Warn("log-lines-dropped", zap.Int64("count", n))
	}
	b.mu.Lock()
	sampledOut := b.sampledOut
	b.sampledOut = map[string]int64{}
	b.mu.Unlock()
	for event, n := range sampledOut {
		b.Warn("log-lines-thinned", zap.String("of", event), zap.Int64("count", n))
	}
}

// Close writes the queued lines and stops the writing goroutine. If the reader of
// the output does not read, Close returns after closeTimeout and the remaining
// lines are lost.
func (b *Bounded) Close() {
	close(b.stop)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	}
}

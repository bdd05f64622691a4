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
	// linesFirst is how many lines of one event are written in a second before
	// the rest is thinned out: a node that serves 60 requests a second writes
	// 60 lines that end them and fewer others.
	linesFirst = 200
	// linesThereafter is one in how many of the rest is written.
	linesThereafter = 20
	// bufferLines is how many lines may wait for a slow reader of the output.
	bufferLines = 2048
	// summaryEvery is how often the count of lines that were left out is told.
	summaryEvery = 5 * time.Second
	// syncTimeout bounds how long Sync waits for a slow reader of the output.
	syncTimeout = 50 * time.Millisecond
	// closeTimeout bounds how long Close waits for a slow reader of the output.
	closeTimeout = 200 * time.Millisecond
)

type (
	// Bounded is a logger that never blocks its callers and whose volume is
	// bounded. Lines that were left out are counted in a line of their own.
	// Sync waits for the lines before it, for syncTimeout at most.
	Bounded struct {
		*zap.Logger

		lines   chan line
		out     io.Writer
		dropped atomic.Int64 // lines for which there was no room
		mu      sync.Mutex
		thinned map[string]int64 // lines that were thinned out, by event
		done    chan struct{}
		end     chan struct{}
	}

	// line is one line to write, or a mark that is closed when all lines before
	// it are written.
	line struct {
		text    []byte
		written chan struct{}
	}

	// queue hands lines to the writer.
	queue struct{ b *Bounded }

	// SyncError reports lines that were not written within Timeout.
	SyncError struct {
		Timeout time.Duration
	}
)

// Error returns the timeout.
func (e *SyncError) Error() string { return fmt.Sprintf("lines not written within %v", e.Timeout) }

// NewBounded returns a logger that writes to w from a level on. Close writes
// what waits. The error is a *LevelError.
func NewBounded(w io.Writer, level string) (*Bounded, error) {
	b := &Bounded{lines: make(chan line, bufferLines), out: w, thinned: map[string]int64{},
		done: make(chan struct{}), end: make(chan struct{})}
	l, err := New(queue{b}, level)
	if err != nil {
		return nil, err
	}
	b.Logger = l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, time.Second, linesFirst, linesThereafter, zapcore.SamplerHook(b.sampled))
	}))
	go b.write()
	return b, nil
}

// Write takes a line, or counts it if there is no room.
func (q queue) Write(p []byte) (int, error) {
	select {
	case q.b.lines <- line{text: append([]byte(nil), p...)}:
	default:
		q.b.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits until the lines that were taken are written. The error is a
// *SyncError.
func (q queue) Sync() error {
	mark := line{written: make(chan struct{})}
	timer := time.NewTimer(syncTimeout)
	defer timer.Stop()
	select {
	case q.b.lines <- mark:
	case <-timer.C:
		return &SyncError{Timeout: syncTimeout}
	}
	select {
	case <-mark.written:
		return nil
	case <-timer.C:
		return &SyncError{Timeout: syncTimeout}
	}
}

// sampled counts lines that are thinned out.
func (b *Bounded) sampled(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.thinned[e.Message]++
}

// write writes lines until Close.
func (b *Bounded) write() {
	defer close(b.done)
	t := time.NewTicker(summaryEvery)
	defer t.Stop()
	for {
		select {
		case l := <-b.lines:
			b.put(l)
		case <-t.C:
			b.summary()
		case <-b.end:
			b.rest()
			b.summary()
			b.rest()
			return
		}
	}
}

// put writes a line.
func (b *Bounded) put(l line) {
	if l.written != nil {
		close(l.written)
		return
	}
	_, _ = b.out.Write(l.text) // there is nowhere to report a failure
}

// rest writes the lines that wait.
func (b *Bounded) rest() {
	for {
		select {
		case l := <-b.lines:
			b.put(l)
		default:
			return
		}
	}
}

// summary tells how many lines were left out since the last one.
func (b *Bounded) summary() {
	if n := b.dropped.Swap(0); n > 0 {
		b.Warn("log-lines-dropped", zap.Int64("count", n))
	}
	b.mu.Lock()
	thinned := b.thinned
	b.thinned = map[string]int64{}
	b.mu.Unlock()
	for event, n := range thinned {
		b.Warn("log-lines-thinned", zap.String("of", event), zap.Int64("count", n))
	}
}

// Close writes what waits and ends the writer. A reader that does not read
// keeps it for closeTimeout at most; what waits then is lost.
func (b *Bounded) Close() {
	close(b.end)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	}
}

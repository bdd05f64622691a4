package gateway

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/balance"
	"guavapaddle/core/speed"
	"guavapaddle/platform"
)

const (
	// loadLogInterval is the least time between two log lines about load headers that couldn't be decoded, and
	// maxLoggedValue the bytes of a header that one has.
	loadLogInterval = time.Second
	maxLoggedValue  = 64
	// minEvents is the number of times between events that their mean needs.
	minEvents = 4
)

// eventTimes measures the time between the events of a stream while the pace reported with its header holds.
type eventTimes struct {
	first, last  time.Time
	before, seen int // events complete at the first and last time
}

// observe records the number of events that were complete at a time.
func (e *eventTimes) observe(now, header time.Time, events int) {
	if events == 0 || now.Sub(header) > speed.ReportTTL {
		return
	}
	if e.first.IsZero() {
		e.first, e.before = now, events
	}
	e.last, e.seen = now, events
}

// mean returns the mean time between events, zero if there were too few.
func (e *eventTimes) mean() time.Duration {
	n := e.seen - e.before
	if n < minEvents {
		return 0
	}
	return e.last.Sub(e.first) / time.Duration(n)
}

// recordLoad records the load that a server reported with its pace; the gateway's lock is held.
func (t *try) recordLoad(now time.Time) {
	l := t.respMeta.Load
	if l == nil || l.Pace == 0 {
		return
	}
	t.load = balance.LoadReport{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace}
	t.g.picker.RecordLoad(now, t.selection.Server.ID, t.load)
}

// recordEvents records the time between the events of a stream.
func (t *try) recordEvents(e *eventTimes) {
	if t.load.Event = e.mean(); t.load.Event == 0 || t.load.Pace == 0 {
		return
	}
	t.g.mu.Lock()
	t.g.picker.RecordEvents(time.Now(), t.ticket, t.load)
	t.g.mu.Unlock()
	if t.slot != nil {
		t.slot.SetLoad(t.load)
	}
}

// checkLoad counts and logs a load header that couldn't be decoded.
func (t *try) checkLoad() {
	var bad *platform.LoadError
	if !errors.As(t.respMeta.LoadError, &bad) {
		return
	}
	t.g.Metrics.loadsDropped.WithLabelValues(bad.Field).Inc()
	t.g.loadLog.Do(func() {
		t.g.Log.Warn("load-dropped", zap.String("request-id", t.meta.ID), zap.String("server", t.selection.Server.ID), zap.String("figure", bad.Field),
			zap.String("value", bad.Value[:min(len(bad.Value), maxLoggedValue)]))
	})
}

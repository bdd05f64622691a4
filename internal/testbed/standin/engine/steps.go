package engine

import (
	"cmp"
	"strings"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/internal/testbed/standin/engine/prefix"
)

const maxLoadSamples = 4096

// loadSample is a load report and the time from which it applies.
type loadSample struct {
	at   time.Time
	load backend.LoadReport
}

// run executes steps while there are requests and waits for new ones otherwise, until
// the boot ends.
func (e *Engine) run(b *boot) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	next := time.Now()
	for {
		step, busy := e.beginStep(b)
		if !busy {
			select {
			case <-b.wake:
				next = time.Now()
				continue
			case <-b.ctx.Done():
				return
			}
		}
		next = latest(next.Add(step), time.Now())
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-b.ctx.Done():
			return
		}
		e.endStep(b, time.Now())
	}
}

// beginStep fills the batch and returns the duration of the next step, and false if
// the batch is empty or the boot has ended.
func (e *Engine) beginStep(b *boot) (step time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return 0, false
	}
	now := time.Now()
	admitted, preempted := b.batch.fill()
	e.Faults.Counters.Add("preemptions", int64(preempted))
	crashOn := e.Faults.Faults().CrashOn
	for _, r := range admitted {
		if crashOn != "" && strings.Contains(r.gen.Prompt, crashOn) {
			e.crash()
			return 0, false
		}
		e.admit(b, r, now)
	}
	n := len(b.batch.running)
	step = cmp.Or(e.Step, DefaultStep) + time.Duration(max(n-1, 0))*e.StepSlope
	b.recordLoad(now, step)
	return step, n > 0
}

// admit schedules the prefill of a request that entered the batch. Prefills run one
// after the other.
func (e *Engine) admit(b *boot, r *request, now time.Time) {
	if !r.started {
		r.started = true
		e.Faults.Counters.Add("runs", 1)
	}
	tokens := (len(r.gen.Prompt) + prefix.BytesPerToken - 1) / prefix.BytesPerToken
	cached := b.cache.Use(r.gen.Item.String(), r.gen.Prompt, now)
	e.Faults.Counters.Add("prompt-tokens", int64(tokens))
	e.Faults.Counters.Add("prompt-tokens-cached", int64(cached))
	b.prefillUntil = latest(b.prefillUntil, now).Add(time.Duration(tokens-cached) * e.Prefill)
	r.prefillEnd = b.prefillUntil
	r.notify()
}

// endStep generates the tokens of one step.
func (e *Engine) endStep(b *boot, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	for _, r := range b.batch.step(now) {
		e.finishRequest(b, r, now)
	}
}

// finishRequest records that a request has finished and completes an unload that
// waited for it.
func (e *Engine) finishRequest(b *boot, r *request, now time.Time) {
	r.finishedAt = now
	b.finished = append(b.finished, r)
	if u, ok := b.memory.Items[r.gen.Item]; ok {
		u.Users--
		e.releaseUnused(b, r.gen.Item)
	}
	e.dropExpired(b, now)
}

// dropExpired removes finished requests whose retention has passed.
func (e *Engine) dropExpired(b *boot, now time.Time) {
	retention := cmp.Or(e.Retention, DefaultRetention)
	for len(b.finished) > 0 && now.Sub(b.finished[0].finishedAt) > retention {
		delete(b.requests, b.finished[0].gen.RequestID)
		b.finished = b.finished[1:]
	}
}

// recordLoad records the current load for later load reports.
func (b *boot) recordLoad(now time.Time, step time.Duration) {
	l := backend.LoadReport{Running: len(b.batch.running), Waiting: len(b.batch.waiting),
		StepMS: float64(step) / float64(time.Millisecond)}
	if n := len(b.loadHistory); n > 0 && b.loadHistory[n-1].load == l {
		return
	}
	b.loadHistory = append(b.loadHistory, loadSample{at: now, load: l})
	if len(b.loadHistory) > maxLoadSamples {
		b.loadHistory = b.loadHistory[maxLoadSamples/2:]
	}
}

// loadAt returns the load that applied at the given time.
func (b *boot) loadAt(at time.Time) backend.LoadReport {
	var l backend.LoadReport
	for _, s := range b.loadHistory {
		if s.at.After(at) {
			break
		}
		l = s.load
	}
	return l
}

// notifyRun wakes run after a request was submitted.
func (b *boot) notifyRun() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// latest returns the later of a and b.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

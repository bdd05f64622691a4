package engine

import (
	"cmp"
	"strings"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/internal/testbed/standin/engine/prefix"
)

const maxSamples = 4096

// sample is a load report and when it was true.
type sample struct {
	at   time.Time
	load backend.LoadReport
}

// run makes steps as long as there is something to do, until the boot ends.
func (e *Engine) run(b *boot) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	next := time.Now()
	for {
		step, busy := e.begin(b)
		if !busy {
			select {
			case <-b.wake:
				next = time.Now()
				continue
			case <-b.ctx.Done():
				return
			}
		}
		next = later(next.Add(step), time.Now())
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-b.ctx.Done():
			return
		}
		e.end(b, time.Now())
	}
}

// begin fills the batch for one step and returns how long the step takes;
// false if there is nothing to do.
func (e *Engine) begin(b *boot) (step time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return 0, false
	}
	now := time.Now()
	in, preempted := b.batch.fill()
	e.Faults.Counters.Add("preemptions", int64(preempted))
	crashOn := e.Faults.Faults().CrashOn
	for _, r := range in {
		if crashOn != "" && strings.Contains(r.gen.Prompt, crashOn) {
			e.crash()
			return 0, false
		}
		e.admit(b, r, now)
	}
	n := len(b.batch.running)
	step = cmp.Or(e.Step, DefaultStep) + time.Duration(max(n-1, 0))*e.StepSlope
	b.report(now, step)
	return step, n > 0
}

// admit starts a request in the batch with its prefill; prefills go one after
// the other.
func (e *Engine) admit(b *boot, r *request, now time.Time) {
	if !r.started {
		r.started = true
		e.Faults.Counters.Add("runs", 1)
	}
	tokens := (len(r.gen.Prompt) + prefix.BytesPerToken - 1) / prefix.BytesPerToken
	cached := b.cache.Use(r.gen.Item.String(), r.gen.Prompt, now)
	e.Faults.Counters.Add("prompt-tokens", int64(tokens))
	e.Faults.Counters.Add("prompt-tokens-cached", int64(cached))
	b.prefill = later(b.prefill, now).Add(time.Duration(tokens-cached) * e.Prefill)
	r.ready = b.prefill
	r.notify()
}

// end makes the tokens of one step.
func (e *Engine) end(b *boot, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	for _, r := range b.batch.step(now) {
		e.finished(b, r, now)
	}
}

// finished notes the end of a request and frees what waited for it.
func (e *Engine) finished(b *boot, r *request, now time.Time) {
	r.doneAt = now
	b.ended = append(b.ended, r)
	if u, ok := b.memory.Items[r.gen.Item]; ok {
		u.Users--
		e.release(b, r.gen.Item)
	}
	e.expire(b, now)
}

// expire forgets requests that can't be resumed any more.
func (e *Engine) expire(b *boot, now time.Time) {
	keep := cmp.Or(e.Retention, DefaultRetention)
	for len(b.ended) > 0 && now.Sub(b.ended[0].doneAt) > keep {
		delete(b.requests, b.ended[0].gen.RequestID)
		b.ended = b.ended[1:]
	}
}

// report notes the load for later reports.
func (b *boot) report(now time.Time, step time.Duration) {
	l := backend.LoadReport{Running: len(b.batch.running), Waiting: len(b.batch.waiting),
		StepMS: float64(step) / float64(time.Millisecond)}
	if n := len(b.loads); n > 0 && b.loads[n-1].load == l {
		return
	}
	b.loads = append(b.loads, sample{at: now, load: l})
	if len(b.loads) > maxSamples {
		b.loads = b.loads[maxSamples/2:]
	}
}

// reported returns the load at a time.
func (b *boot) reported(at time.Time) backend.LoadReport {
	var l backend.LoadReport
	for _, s := range b.loads {
		if s.at.After(at) {
			break
		}
		l = s.load
	}
	return l
}

// poke makes run look for work.
func (b *boot) poke() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package front

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"guavapaddle/core/admission"
)

const (
	// overloadThreshold is the probability of rejection from which an overload is logged, and half of it the one at which its end is.
	overloadThreshold = 0.1
)

// admissionControl decides which requests of clients this node reads. It is safe for concurrent use.
type admissionControl struct {
	log *zap.Logger

	mu         sync.Mutex
	limiter    admission.Limiter
	last       admission.Sample
	counts     [admission.Reject + 1]int // verdicts since the overload began
	overloaded bool
	since      time.Time // of the overload
	endedAt    time.Time // of the last overload, zero if there was none
	verdicts   *prometheus.CounterVec
}

// collectors returns the metrics to register. It must be called before the first request.
func (a *admissionControl) collectors() []prometheus.Collector {
	a.verdicts = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "guavapaddle", Subsystem: "admission",
		Name: "requests_total", Help: "Requests of clients before they were read, by verdict."}, []string{"verdict"})
	return []prometheus.Collector{a.verdicts}
}

// decide returns the verdict on a request.
func (a *admissionControl) decide() admission.Verdict {
	a.mu.Lock()
	v := a.limiter.Decide(rand.Float64())
	a.counts[v]++
	a.mu.Unlock()
	a.verdicts.WithLabelValues(v.String()).Inc()
	return v
}

// lastSample returns the last sample of the VM.
func (a *admissionControl) lastSample() admission.Sample {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last
}

// saturated reports whether this node should get no new connections.
func (a *admissionControl) saturated() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Saturated()
}

// isOverloaded reports whether requests are rejected now.
func (a *admissionControl) isOverloaded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.overloaded
}

// overloadedSince reports whether an overload has delayed calls to other processes since a time.
func (a *admissionControl) overloadedSince(at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.overloaded || a.endedAt.After(at)
}

// observe processes a sample of the VM.
func (a *admissionControl) observe(s admission.Sample) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = s
	was := a.limiter.Saturated()
	a.limiter.Observe(s)
	fields := []zap.Field{zap.Duration("scheduling", s.Processor), zap.Duration("link", s.Link), zap.Float64("utilization", s.Utilization)}
	if is := a.limiter.Saturated(); is != was {
		a.log.Warn("saturated", append(fields, zap.Bool("saturated", is))...)
	}
	switch p := a.limiter.Probability(); {
	case p >= overloadThreshold && !a.overloaded:
		a.overloaded, a.since, a.counts = true, time.Now(), [admission.Reject + 1]int{}
		a.log.Warn("overloaded", append(fields, zap.Float64("probability", p))...)
	case p < overloadThreshold/2 && a.overloaded:
		a.overloaded, a.endedAt = false, time.Now()
		a.log.Info("overload-ended", zap.Duration("lasted", time.Since(a.since)), zap.Int("admitted", a.counts[admission.Admit]),
			zap.Int("closed", a.counts[admission.Close]), zap.Int("rejected", a.counts[admission.Reject]))
	}
}

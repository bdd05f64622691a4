package lag

import (
	"context"
	"math"
	"runtime/metrics"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	// Interval is the time between two samples.
	Interval = 25 * time.Millisecond
	// lateThreshold is the scheduling latency from which the process is logged as late: a request waits for the processor about ten times
	// until it is sent, so that it then takes a second longer.
	lateThreshold = 100 * time.Millisecond

	// probeThreshold is the delay of the link from which it is probed if nothing else shows it. It is below the delay at which requests are rejected.
	probeThreshold = 10 * time.Millisecond
	// probeInterval is the minimum time between two probes.
	probeInterval = 100 * time.Millisecond

	latencies = "/sched/latencies:seconds"
)

// latencyBuckets are the bucket bounds of the histogram, in seconds.
var latencyBuckets = []float64{.0001, .0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}

type (
	// Sample is what the Monitor measured in one interval.
	Sample struct {
		Scheduling time.Duration // mean scheduling latency
		Link       time.Duration // queueing delay of the VM's link
		Elapsed    time.Duration // since the sample before
	}

	// Monitor samples by how much the process is late. Its exported fields are set before Run.
	Monitor struct {
		Log *zap.Logger
		// OnSample is called with each sample. It may be nil.
		OnSample func(s Sample)
		// Probe makes a round trip and records it. It is called in a goroutine of its own while the link's delay is long and no recent round
		// trip shows it, at most once per 100 ms. It may be nil.
		Probe func()

		probedAt         time.Time // of the last probe
		sampledAt        time.Time // of the last sample
		scheduling, link prometheus.Histogram
		reader           reader
		late             bool          // the last sample was above lateThreshold
		lateSince        time.Time     // while late
		worst            time.Duration // since lateSince
	}
)

// Collectors returns the metrics to register. It must be called before Run.
func (m *Monitor) Collectors() []prometheus.Collector {
	histogram := func(name, help string) prometheus.Histogram {
		return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "guavapaddle", Subsystem: "process", Name: name, Help: help, Buckets: latencyBuckets})
	}
	m.scheduling = histogram("scheduling_latency_seconds", "Mean time that goroutines waited for the processor, in intervals of 25 ms.")
	m.link = histogram("link_delay_seconds", "Time that packets waited at the VM's link, each 25 ms.")
	return []prometheus.Collector{m.scheduling, m.link}
}

// Run samples until ctx ends. The process counts as in time then.
func (m *Monitor) Run(ctx context.Context) {
	defer func() {
		process.scheduling.Store(0)
		process.link.Store(0)
	}()
	t := time.NewTicker(Interval)
	defer t.Stop()
	m.sampledAt = time.Now()
	m.reader.mean() // discards the waits before the first interval
	for {
		select {
		case <-t.C:
			m.sample(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// sample takes one sample.
func (m *Monitor) sample(now time.Time) {
	link, shown := linkDelay(now)
	if m.Probe != nil && link >= probeThreshold && !shown && now.Sub(m.probedAt) >= probeInterval {
		m.probedAt = now
		go m.Probe()
	}
	s := Sample{Scheduling: m.reader.mean(), Link: link, Elapsed: now.Sub(m.sampledAt)}
	m.sampledAt = now
	smooth(&process.scheduling, s.Scheduling)
	smooth(&process.link, s.Link)
	if m.scheduling != nil {
		m.scheduling.Observe(s.Scheduling.Seconds())
		m.link.Observe(s.Link.Seconds())
	}
	m.logLate(now, s.Scheduling)
	if m.OnSample != nil {
		m.OnSample(s)
	}
}

// logLate logs the begin and the end of a time in which the process is late.
func (m *Monitor) logLate(now time.Time, latency time.Duration) {
	switch late := latency >= lateThreshold; {
	case late && !m.late:
		m.late, m.lateSince, m.worst = true, now, latency
		m.Log.Warn("process-late", zap.Duration("latency", latency))
	case late:
		m.worst = max(m.worst, latency)
	case m.late && latency < lateThreshold/2:
		m.late = false
		m.Log.Info("process-in-time", zap.Duration("latency", latency), zap.Duration("worst", m.worst), zap.Duration("late-for", now.Sub(m.lateSince)))
	}
}

// reader reads the runtime's histogram.
type reader struct {
	sample [1]metrics.Sample
	counts []uint64 // at the last read
}

// mean returns the mean of the waits that were added since the last call, zero if there were none.
func (r *reader) mean() time.Duration {
	r.sample[0].Name = latencies
	metrics.Read(r.sample[:])
	if r.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := r.sample[0].Value.Float64Histogram()
	if r.counts == nil {
		r.counts = make([]uint64, len(h.Counts))
	}
	var n uint64
	var sum float64
	for i, c := range h.Counts {
		added := c - r.counts[i]
		r.counts[i] = c
		if added == 0 {
			continue
		}
		n += added
		sum += float64(added) * midpoint(h.Buckets[i], h.Buckets[i+1])
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / float64(n) * float64(time.Second))
}

// midpoint returns the middle of a bucket, or its finite bound.
func midpoint(low, high float64) float64 {
	switch {
	case math.IsInf(low, -1):
		return high
	case math.IsInf(high, 1):
		return low
	}
	return (low + high) / 2
}

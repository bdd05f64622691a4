// Package metrics defines the Prometheus counters and histograms of the request
// path and of control work.
//
// # Usage
//
//	m := metrics.New()
//	registry.MustRegister(m.Collectors()...)
//	m.RequestEnded("live-desk", err, took, false)
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"guavapaddle/core/outcome"
)

const namespace = "guavapaddle"

// durationBuckets are the upper bounds of the histogram buckets, in seconds.
var durationBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 1.5, 2.5, 5, 10, 20, 40, 80}

// Requests holds the metrics of requests.
type Requests struct {
	finished       *prometheus.CounterVec   // requests that ended, by kind, outcome and reason
	retryDecisions *prometheus.CounterVec   // by decision and reason
	firstToken     *prometheus.HistogramVec // time to the first token in seconds, by kind
	duration       *prometheus.HistogramVec // time to the end in seconds, by kind
	deadlineMissed *prometheus.CounterVec   // completed after the deadline, by kind
	open           prometheus.Gauge
	answers        *prometheus.CounterVec // by outcome and reason, also when the kind is not known
}

// New returns a Requests with all metrics at zero.
func New() *Requests {
	return &Requests{
		finished: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total",
			Help: "Requests that ended, by kind of work, outcome and reason.",
		}, []string{"kind", "outcome", "reason"}),
		retryDecisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "retry_decisions_total",
			Help: "Decisions about failed attempts, by reason.",
		}, []string{"decision", "reason"}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_token_seconds",
			Help: "Time from arrival to the first token.", Buckets: durationBuckets,
		}, []string{"kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds",
			Help: "Time from arrival to the end of a request that is done.", Buckets: durationBuckets,
		}, []string{"kind"}),
		deadlineMissed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "deadline_missed_total",
			Help: "Requests that were done after their deadline.",
		}, []string{"kind"}),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "open_requests",
			Help: "Requests that are open.",
		}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_total",
			Help: "Answers to callers by outcome and reason, refusals before the kind is known included.",
		}, []string{"outcome", "reason"}),
	}
}

// Collectors returns the metrics to register.
func (r *Requests) Collectors() []prometheus.Collector {
	return []prometheus.Collector{r.finished, r.retryDecisions, r.firstToken, r.duration, r.deadlineMissed, r.open, r.answers}
}

// RequestStarted records the start of a request.
func (r *Requests) RequestStarted() { r.open.Inc() }

// RequestEnded records the end of a request. err is nil if it succeeded; afterDeadline
// reports whether a successful request completed after its deadline.
func (r *Requests) RequestEnded(kind string, err error, took time.Duration, afterDeadline bool) {
	r.open.Dec()
	e := outcome.From(err)
	if e != nil {
		r.finished.WithLabelValues(kind, string(e.Outcome), string(e.Reason)).Inc()
		return
	}
	r.finished.WithLabelValues(kind, string(outcome.Done), "").Inc()
	r.duration.WithLabelValues(kind).Observe(took.Seconds())
	if afterDeadline {
		r.deadlineMissed.WithLabelValues(kind).Inc()
	}
}

// CountAnswer counts an answer to a caller, including one that the listener gave
// before any other component saw the request. err is nil if it succeeded.
func (r *Requests) CountAnswer(err error) {
	if e := outcome.From(err); e != nil {
		r.answers.WithLabelValues(string(e.Outcome), string(e.Reason)).Inc()
		return
	}
	r.answers.WithLabelValues(string(outcome.Done), "").Inc()
}

// FirstToken records the time to the first token of a request.
func (r *Requests) FirstToken(kind string, took time.Duration) {
	r.firstToken.WithLabelValues(kind).Observe(took.Seconds())
}

// CountRetryDecision counts a retry decision after a failed attempt.
func (r *Requests) CountRetryDecision(decision, reason string) {
	r.retryDecisions.WithLabelValues(decision, reason).Inc()
}

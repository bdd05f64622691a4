// Package metrics holds the counters and histograms of the request path.
//
// # Usage
//
//	m := metrics.New()
//	registry.MustRegister(m.Collectors()...)
//	m.End("live-desk", err, took)
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"guavapaddle/core/outcome"
)

const namespace = "guavapaddle"

// seconds are the bounds of the histograms' buckets, in seconds.
var seconds = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 1.5, 2.5, 5, 10, 20, 40, 80}

// Requests counts and times requests.
type Requests struct {
	ended   *prometheus.CounterVec   // by kind, outcome and reason
	retries *prometheus.CounterVec   // by decision
	first   *prometheus.HistogramVec // seconds to the first token, by kind
	whole   *prometheus.HistogramVec // seconds to the end, by kind
	missed  *prometheus.CounterVec   // done after the deadline, by kind
	open    prometheus.Gauge
	answers *prometheus.CounterVec // by outcome and reason, whether the kind is known or not
}

// New returns counters at zero.
func New() *Requests {
	return &Requests{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total",
			Help: "Requests that ended, by kind of work, outcome and reason.",
		}, []string{"kind", "outcome", "reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "retry_decisions_total",
			Help: "Decisions about failed attempts, by reason.",
		}, []string{"decision", "reason"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_token_seconds",
			Help: "Time from arrival to the first token.", Buckets: seconds,
		}, []string{"kind"}),
		whole: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds",
			Help: "Time from arrival to the end of a request that is done.", Buckets: seconds,
		}, []string{"kind"}),
		missed: prometheus.NewCounterVec(prometheus.CounterOpts{
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

// Collectors returns all metrics to register.
func (r *Requests) Collectors() []prometheus.Collector {
	return []prometheus.Collector{r.ended, r.retries, r.first, r.whole, r.missed, r.open, r.answers}
}

// Begin counts a request as open.
func (r *Requests) Begin() { r.open.Inc() }

// End counts the end of a request; err is nil for done. late tells that it was
// done after its deadline.
func (r *Requests) End(kind string, err error, took time.Duration, late bool) {
	r.open.Dec()
	e := outcome.From(err)
	if e != nil {
		r.ended.WithLabelValues(kind, string(e.Outcome), string(e.Reason)).Inc()
		return
	}
	r.ended.WithLabelValues(kind, string(outcome.Done), "").Inc()
	r.whole.WithLabelValues(kind).Observe(took.Seconds())
	if late {
		r.missed.WithLabelValues(kind).Inc()
	}
}

// Answered counts an answer, also one that no part but the listener saw; err is
// nil for done.
func (r *Requests) Answered(err error) {
	if e := outcome.From(err); e != nil {
		r.answers.WithLabelValues(string(e.Outcome), string(e.Reason)).Inc()
		return
	}
	r.answers.WithLabelValues(string(outcome.Done), "").Inc()
}

// First times the first token of a request.
func (r *Requests) First(kind string, took time.Duration) {
	r.first.WithLabelValues(kind).Observe(took.Seconds())
}

// Retry counts a decision about a failed attempt.
func (r *Requests) Retry(decision, reason string) {
	r.retries.WithLabelValues(decision, reason).Inc()
}

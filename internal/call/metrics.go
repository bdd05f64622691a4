package call

import (
	"github.com/prometheus/client_golang/prometheus"

	"guavapaddle/core/outcome"
	"guavapaddle/core/retry"
)

// Metrics counts calls. A nil Metrics counts nothing.
type Metrics struct {
	calls    *prometheus.CounterVec
	verdicts *prometheus.CounterVec
}

// NewMetrics returns counters registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "guavapaddle_service_calls_total",
			Help: "Calls of plain services by service, outcome and reason.",
		}, []string{"service", "outcome", "reason"}),
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "guavapaddle_service_call_failures_total",
			Help: "Attempts of calls that failed, by what was done and why.",
		}, []string{"action", "reason"}),
	}
	r.MustRegister(m.calls, m.verdicts)
	return m
}

// countCall counts a call that ended with e; nil means done.
func (m *Metrics) countCall(r Request, e *outcome.Error) {
	switch {
	case m == nil:
	case e == nil:
		m.calls.WithLabelValues(r.Service, string(outcome.Done), "").Inc()
	default:
		m.calls.WithLabelValues(r.Service, string(e.Outcome), string(e.Reason)).Inc()
	}
}

// countVerdict counts the decision taken after a failed attempt.
func (m *Metrics) countVerdict(v retry.Verdict) {
	if m != nil {
		m.verdicts.WithLabelValues(string(v.Action), string(v.Reason)).Inc()
	}
}

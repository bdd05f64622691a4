package suspects

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the events of a Guard. A nil Metrics counts nothing.
type Metrics struct{ events *prometheus.CounterVec }

// NewMetrics returns counters registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{events: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "guavapaddle_suspects_total",
		Help: "Events of requests that crash servers: crash, trial, trial-offline, cleared, busy, unwritten or refused-WHY.",
	}, []string{"event"})}
	r.MustRegister(m.events)
	return m
}

// count counts one event.
func (m *Metrics) count(event string) {
	if m != nil {
		m.events.WithLabelValues(event).Inc()
	}
}

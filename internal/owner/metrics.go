package owner

import "github.com/prometheus/client_golang/prometheus"

const namespace = "guavapaddle"

// Metrics counts what the owner decides. The caller registers Collectors.
type Metrics struct {
	Orders   *prometheus.CounterVec // by op and result
	Moves    *prometheus.CounterVec // by op: items that became resident or absent by order
	Refused  *prometheus.CounterVec // by reason: orders that were not given
	Leases   *prometheus.CounterVec // by event
	Restarts prometheus.Counter     // engines seen with a new boot id
	Memory   *prometheus.GaugeVec   // bytes by server and state held or free
}

// NewMetrics returns counters at zero.
func NewMetrics() *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: "owner", Name: name, Help: help}, labels)
	}
	return &Metrics{
		Orders:  counter("orders_total", "Orders sent to engines.", "op", "result"),
		Moves:   counter("moves_total", "Items loaded or unloaded by order.", "op"),
		Refused: counter("orders_refused_total", "Orders that were not given.", "reason"),
		Leases:  counter("lease_events_total", "Events of leases.", "event"),
		Restarts: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: "owner",
			Name: "engine_restarts_total", Help: "Engines seen with a new boot id."}),
		Memory: prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Subsystem: "owner",
			Name: "memory_bytes", Help: "Accelerator memory by ledger."}, []string{"server", "state"}),
	}
}

// Collectors returns all metrics to register.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.Orders, m.Moves, m.Refused, m.Leases, m.Restarts, m.Memory}
}

// forget drops what is told of a server that is no longer owned.
func (m *Metrics) forget(server string) {
	m.Memory.DeletePartialMatch(prometheus.Labels{"server": server})
}

func (m *Metrics) lease(event string) { m.Leases.WithLabelValues(event).Inc() }

func (m *Metrics) refused(r Reason) { m.Refused.WithLabelValues(string(r)).Inc() }

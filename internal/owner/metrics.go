package owner

import "github.com/prometheus/client_golang/prometheus"

const namespace = "guavapaddle"

// Metrics holds the owner's metrics. The caller registers Collectors.
type Metrics struct {
	SentOrders      *prometheus.CounterVec // by op and result
	CompletedOrders *prometheus.CounterVec // items loaded or unloaded by order, by op
	UnsentOrders    *prometheus.CounterVec // orders that were not sent, by reason
	Leases          *prometheus.CounterVec // lease events, by event
	Restarts        prometheus.Counter     // engine restarts, detected by a new boot ID
	Memory          *prometheus.GaugeVec   // bytes by server and state (held or free)
}

// NewMetrics returns metrics that are not yet registered.
func NewMetrics() *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: "owner", Name: name, Help: help}, labels)
	}
	return &Metrics{
		SentOrders:      counter("orders_total", "Orders sent to engines.", "op", "result"),
		CompletedOrders: counter("moves_total", "Items loaded or unloaded by order.", "op"),
		UnsentOrders:    counter("orders_refused_total", "Orders that were not given.", "reason"),
		Leases:          counter("lease_events_total", "Events of leases.", "event"),
		Restarts: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: "owner",
			Name: "engine_restarts_total", Help: "Engines seen with a new boot id."}),
		Memory: prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Subsystem: "owner",
			Name: "memory_bytes", Help: "Accelerator memory by ledger."}, []string{"server", "state"}),
	}
}

// Collectors returns the collectors to register.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.SentOrders, m.CompletedOrders, m.UnsentOrders, m.Leases, m.Restarts, m.Memory}
}

// deleteServer deletes the gauges of a server that is no longer owned.
func (m *Metrics) deleteServer(server string) {
	m.Memory.DeletePartialMatch(prometheus.Labels{"server": server})
}

func (m *Metrics) countLeaseEvent(event string) { m.Leases.WithLabelValues(event).Inc() }

func (m *Metrics) countUnsent(r Reason) { m.UnsentOrders.WithLabelValues(string(r)).Inc() }

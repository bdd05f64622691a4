package claims

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the actions of a Store. A nil Metrics counts nothing.
type Metrics struct {
	claims       *prometheus.CounterVec
	transactions *prometheus.CounterVec
	changes      *prometheus.CounterVec
	pending      prometheus.Gauge
}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "guavapaddle_claims_total",
			Help: "Claims by what became of them: claimed, stored, paused, timeout, failed or the reason that an asker was told.",
		}, []string{"result"}),
		transactions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "guavapaddle_claim_transactions_total",
			Help: "Transactions of claims by result: committed, conflict, refused or unsure.",
		}, []string{"result"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "guavapaddle_claim_changes_total",
			Help: "Changes of claim rows by end: took, lost, failed, settled, dropped or swept.",
		}, []string{"end"}),
		pending: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "guavapaddle_claim_pending",
			Help: "Answers, releases and settlements that have not taken effect yet.",
		}),
	}
	r.MustRegister(m.claims, m.transactions, m.changes, m.pending)
	return m
}

// claim counts the result of a claim.
func (m *Metrics) claim(result string) {
	if m != nil {
		m.claims.WithLabelValues(result).Inc()
	}
}

// transaction counts the result of a transaction.
func (m *Metrics) transaction(result string) {
	if m != nil {
		m.transactions.WithLabelValues(result).Inc()
	}
}

// change counts the end of a change.
func (m *Metrics) change(end string) {
	if m != nil {
		m.changes.WithLabelValues(end).Inc()
	}
}

// setPending sets the number of changes that have not taken effect yet.
func (m *Metrics) setPending(n int) {
	if m != nil {
		m.pending.Set(float64(n))
	}
}

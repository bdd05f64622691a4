package configsync

import "github.com/prometheus/client_golang/prometheus"

const namespace = "guavapaddle"

// Values of the label "source": where a body was fetched from.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// Metrics counts the actions of followers. The zero value is not usable: see
// NewMetrics.
type Metrics struct {
	version  prometheus.Gauge
	reads    *prometheus.CounterVec // label "result": ok, failed
	fetches  *prometheus.CounterVec // labels "source" and "result"
	rejected prometheus.Counter
	pauses   prometheus.Counter
	forks    prometheus.Counter
	assumed  prometheus.Counter
}

// NewMetrics returns metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	opts := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: namespace, Subsystem: "config", Name: name, Help: help}
	}
	m := &Metrics{
		version:  prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: "config", Name: "version", Help: "Version of the configuration in force."}),
		reads:    prometheus.NewCounterVec(opts("head_reads_total", "Reads of the head row."), []string{"result"}),
		fetches:  prometheus.NewCounterVec(opts("fetches_total", "Fetches of a body."), []string{"source", "result"}),
		rejected: prometheus.NewCounter(opts("rejected_total", "Bodies that could not be parsed.")),
		pauses:   prometheus.NewCounter(opts("pauses_total", "Pauses of the process that made its configuration stale.")),
		forks:    prometheus.NewCounter(opts("forks_total", "Versions that were told with another hash.")),
		assumed:  prometheus.NewCounter(opts("trusted_total", "Times the newest version seen was trusted unconfirmed.")),
	}
	r.MustRegister(m.version, m.reads, m.fetches, m.rejected, m.pauses, m.forks, m.assumed)
	return m
}

// result returns the value of the label "result" for err.
func result(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

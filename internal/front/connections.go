package front

import (
	"github.com/prometheus/client_golang/prometheus"

	"guavapaddle/io/http1"
)

const (
	// serverShare is the share of the descriptors, but for the reserved ones, that idle connections to servers may use. Half of what
	// clients leave is for connections that carry requests.
	serverShare = (1 - clientShare) / 2
	// idleFraction is the fraction of the memory limit, as its denominator, that they may use.
	idleFraction = 32
	// idleConnBytes is the memory of an idle connection in the process: its buffer and what is kept for it.
	idleConnBytes = 8 << 10
)

// MaxIdleConns returns the number of idle connections to servers that a node keeps at most.
func (s Settings) MaxIdleConns() int {
	byDescriptors := float64(s.Descriptors-reservedDescriptors) * serverShare
	return max(1, min(int(byDescriptors), int(s.memoryBytes()/idleFraction/idleConnBytes)))
}

// poolCollectors returns the metrics of the connections to servers.
func poolCollectors(p *http1.Pool) []prometheus.Collector {
	gauge := func(name, help string, value func(open, idle int) int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "guavapaddle", Subsystem: "pool", Name: name, Help: help},
			func() float64 { return float64(value(p.Counts())) })
	}
	return []prometheus.Collector{
		gauge("connections", "Connections to backend servers that are open.", func(open, _ int) int { return open }),
		gauge("idle_connections", "Connections to backend servers that carry no request.", func(_, idle int) int { return idle }),
	}
}

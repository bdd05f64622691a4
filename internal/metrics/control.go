package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Work is a kind of control work: a value of the label "kind".
type Work string

// Kinds of control work.
const (
	Membership    Work = "membership"
	Views         Work = "views"
	Demand        Work = "demand"
	Plans         Work = "plans"
	Marks         Work = "marks"
	Configuration Work = "configuration"
)

// ControlWork measures the time spent on control work. A nil ControlWork measures
// nothing.
type ControlWork struct{ seconds *prometheus.CounterVec }

// NewControlWork returns a ControlWork with all counters at zero.
func NewControlWork() *ControlWork {
	c := &ControlWork{seconds: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "control_seconds_total",
		Help: "Time spent in the handlers of control work, seconds.",
	}, []string{"kind"})}
	for _, w := range []Work{Membership, Views, Demand, Plans, Marks, Configuration} {
		c.seconds.WithLabelValues(string(w))
	}
	return c
}

// Collectors returns the metrics to register.
func (c *ControlWork) Collectors() []prometheus.Collector { return []prometheus.Collector{c.seconds} }

// Measure starts a measurement of w and returns the function that ends it. The
// measured time includes waits of the goroutine for a processor or a lock.
func (c *ControlWork) Measure(w Work) func() {
	if c == nil {
		return func() {}
	}
	start := time.Now()
	return func() { c.seconds.WithLabelValues(string(w)).Add(time.Since(start).Seconds()) }
}

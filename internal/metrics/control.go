package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Work is a kind of control work, as the label "kind" names it.
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

// Control times control work. A nil Control times nothing.
type Control struct{ seconds *prometheus.CounterVec }

// NewControl returns counters at zero.
func NewControl() *Control {
	c := &Control{seconds: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "control_seconds_total",
		Help: "Time spent in the handlers of control work, seconds.",
	}, []string{"kind"})}
	for _, w := range []Work{Membership, Views, Demand, Plans, Marks, Configuration} {
		c.seconds.WithLabelValues(string(w))
	}
	return c
}

// Collectors returns all metrics to register.
func (c *Control) Collectors() []prometheus.Collector { return []prometheus.Collector{c.seconds} }

// Time returns a function that counts the time since the call as w. The time
// that a goroutine waits for a processor or a lock counts too.
func (c *Control) Time(w Work) func() {
	if c == nil {
		return func() {}
	}
	began := time.Now()
	return func() { c.seconds.WithLabelValues(string(w)).Add(time.Since(began).Seconds()) }
}

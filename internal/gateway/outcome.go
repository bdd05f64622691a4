package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Reason says why a request, or a try of it, ended as it did. docs/OPERATIONS.md
// has a row for each.
type Reason string

const (
	// Served means that a server's answer was passed on whole.
	Served Reason = "served"
	// NoID means that the request has no id.
	NoID Reason = "no-id"
	// NoConfig means that the node has no configuration yet.
	NoConfig Reason = "no-config"
	// NoRoute means that the configuration in force has no route for it.
	NoRoute Reason = "no-route"
	// Unauthorized means that the request has no key that the configuration in force allows.
	Unauthorized Reason = "unauthorized"
	// StaleConfig means that the configuration in force may not be the newest any more, so
	// that the key may have been revoked.
	StaleConfig Reason = "stale-config"
	// Quota means that the team has spent its quota.
	Quota Reason = "quota"
	// Crashes means that the request ended several servers.
	Crashes Reason = "crashes"
	// NoServer means that the service has no server left to try.
	NoServer Reason = "no-server"
	// NoModel means that no server holds the model, or will in time.
	NoModel Reason = "no-model"
	// NoAdapter means that no server holds the adapter, or will in time.
	NoAdapter Reason = "no-adapter"
	// Limited means that all servers that could run it have got as many as they named as
	// their limit.
	Limited Reason = "limited"
	// Resting means that the servers that could run it want no requests from this node now.
	Resting Reason = "resting"
	// Leaving means that the server has begun to leave since it was picked.
	Leaving Reason = "leaving"
	// Stopping means that the node ends before a server is free for the request.
	Stopping Reason = "stopping"
	// Budget means that the budget for repeats is spent.
	Budget Reason = "budget"
	// Deadline means that the time of the client or route has passed.
	Deadline Reason = "deadline"
	// ClientLeft means that the client closed its connection.
	ClientLeft Reason = "client-left"
	// Unreachable means that no connection to the server could be opened.
	Unreachable Reason = "unreachable"
	// Reset means that a connection was closed before a byte was written.
	Reset Reason = "reset"
	// Cut means that a connection broke after the request was written.
	Cut Reason = "cut"
	// Full means that the server had no room and didn't run the request.
	Full Reason = "full"
	// Misdirected means that another incarnation has the address.
	Misdirected Reason = "misdirected"
	// Lacking means that the server doesn't hold the model or adapter.
	Lacking Reason = "lacking"
	// WrongAnswer means that an answer belonged to another request.
	WrongAnswer Reason = "wrong-answer"
	// Unsigned means that an answer bore no signature of a server.
	Unsigned Reason = "unsigned"
	// ServerError means that the server ran the request and failed.
	ServerError Reason = "server-error"
)

type (
	// outcome is how a request ended.
	outcome struct {
		status  int
		reason  Reason
		refusal Reason // of the last try, if another reason ended the request
		first   time.Duration
		err     error
	}

	// Metrics counts and times requests.
	Metrics struct {
		ended *prometheus.CounterVec   // by reason and kind
		tries *prometheus.CounterVec   // by reason
		first *prometheus.HistogramVec // by kind
		whole *prometheus.HistogramVec
		wait  *prometheus.HistogramVec
		open  prometheus.Gauge
	}
)

// seconds are the bounds of the histograms' buckets.
var seconds = []float64{.005, .02, .05, .1, .2, .4, .6, 1, 2, 4, 8, 16}

// NewMetrics returns counters at zero.
func NewMetrics() *Metrics {
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "guavapaddle", Subsystem: "gateway", Name: name, Help: help, Buckets: seconds}, []string{"kind"})
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "guavapaddle", Subsystem: "gateway", Name: name, Help: help}, labels)
	}
	return &Metrics{
		ended: counter("requests_total", "Requests that ended, by reason and kind of route.", "reason", "kind"),
		tries: counter("tries_total", "Sends to backend servers, by how they ended.", "reason"),
		first: histogram("first_byte_seconds", "Time from the send to the head of the answer."),
		whole: histogram("request_seconds", "Time from the first byte of a request to the end of its answer."),
		wait:  histogram("wait_seconds", "Time from the first byte of a request to its first send."),
		open:  prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "guavapaddle", Subsystem: "gateway", Name: "open_requests", Help: "Requests that are open."}),
	}
}

// Collectors returns all metrics to register.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.ended, m.tries, m.first, m.whole, m.wait, m.open}
}

func (m *Metrics) try(r Reason) { m.tries.WithLabelValues(string(r)).Inc() }

// finish counts and logs the end of a request.
func (r *request) finish() {
	kind := string(r.route.Kind)
	took := time.Since(r.x.Received)
	m, o := r.g.Metrics, r.outcome
	m.ended.WithLabelValues(string(o.reason), kind).Inc()
	m.whole.WithLabelValues(kind).Observe(took.Seconds())
	if o.reason == Served {
		m.first.WithLabelValues(kind).Observe(o.first.Seconds())
	}
	if r.sends > 0 {
		m.wait.WithLabelValues(kind).Observe(r.queued.Seconds())
	}
	r.g.Log.Info("request", zap.String("request-id", r.meta.ID), zap.String("route", r.route.Name),
		zap.Int64("config", r.version), zap.String("model", r.meta.Model), zap.String("adapter", r.meta.Adapter),
		zap.String("reason", string(o.reason)), zap.String("last-try", string(o.refusal)), zap.Int("status", o.status),
		zap.String("server", r.choice.Server.ID), zap.String("rule", r.rule), zap.Duration("estimate", r.choice.Wait),
		zap.Duration("age", r.choice.Age), zap.Int("sends", r.sends), zap.Int("runs", r.runs),
		zap.Duration("queued", r.queued), zap.Duration("first", o.first), zap.Duration("gap", r.gap), zap.Duration("took", took), zap.Inline(callerFields{r}), zap.Error(o.err))
}

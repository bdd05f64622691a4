package gateway

import (
	"errors"
	"strconv"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/io/http1"
)

// Reason is the reason why a request, or one try of it, ended as it did.
// docs/OPERATIONS.md has a row for each.
type Reason string

const (
	// Served means that a server's response was forwarded completely.
	Served Reason = "served"
	// NoRequestID means that the request has no id.
	NoRequestID Reason = "no-id"
	// Overloaded means that the node has more requests than its processor or link can serve in time.
	Overloaded Reason = "overloaded"
	// NoConfig means that the node has no configuration yet.
	NoConfig Reason = "no-config"
	// NoRoute means that the configuration in force has no route for the request.
	NoRoute Reason = "no-route"
	// Unauthorized means that the request has no key that is valid in the configuration in force.
	Unauthorized Reason = "unauthorized"
	// StaleConfig means that the configuration in force may be outdated, so that the key
	// may have been revoked.
	StaleConfig Reason = "stale-config"
	// Quota means that the team has used up its quota.
	Quota Reason = "quota"
	// CrashSuspect means that copies of the request crashed several servers.
	CrashSuspect Reason = "crashes"
	// PromptCrashes means that a part of the request's prompt crashes servers.
	PromptCrashes Reason = "prompt-crashes"
	// NoServer means that the service has no server left to try.
	NoServer Reason = "no-server"
	// NoVersion means that the service has no server left whose software has the version that began the stream.
	NoVersion Reason = "no-version"
	// UnknownVersion means that it isn't known which version of the servers' software began the stream.
	UnknownVersion Reason = "unknown-version"
	// NoModel means that no server holds the model, or will in time.
	NoModel Reason = "no-model"
	// NoAdapter means that no server holds the adapter, or will in time.
	NoAdapter Reason = "no-adapter"
	// Limited means that all servers that could run the request have reached the rate limit
	// that they announced.
	Limited Reason = "limited"
	// Backoff means that the servers that could run the request asked this node to back off.
	Backoff Reason = "resting"
	// Leaving means that the server announced that it is leaving after it was picked.
	Leaving Reason = "leaving"
	// Stopping means that the node stops before a server is free for the request, or before it would have a response for certain.
	Stopping Reason = "stopping"
	// Budget means that the retry budget is exhausted.
	Budget Reason = "budget"
	// Deadline means that the deadline of the client or route has passed.
	Deadline Reason = "deadline"
	// ClientLeft means that the client closed its connection.
	ClientLeft Reason = "client-left"
	// Unreachable means that the connection to the server could not be opened.
	Unreachable Reason = "unreachable"
	// Reset means that a connection was closed before a byte was written.
	Reset Reason = "reset"
	// ConnLost means that a connection broke after the request was written.
	ConnLost Reason = "cut"
	// TooLong means that a server's response exceeded a bound, such as bytes without end that are no response.
	TooLong Reason = "too-long"
	// Malformed means that the head of a server's response was malformed, so that it isn't known what it answers.
	Malformed Reason = "malformed"
	// Full means that the server was at capacity and didn't run the request.
	Full Reason = "full"
	// Misdirected means that another incarnation of the server uses the address.
	Misdirected Reason = "misdirected"
	// NotResident means that the server doesn't hold the model or adapter.
	NotResident Reason = "lacking"
	// ForeignResponse means that a response belonged to another request.
	ForeignResponse Reason = "wrong-answer"
	// Unstamped means that a response didn't carry a server's stamp.
	Unstamped Reason = "unsigned"
	// ServerError means that the server ran the request and failed.
	ServerError Reason = "server-error"
)

type (
	// outcome describes how a request ended.
	outcome struct {
		status    int
		reason    Reason
		lastTry   Reason // reason of the last try, if the request ended for another one
		firstByte time.Duration
		err       error
	}

	// Metrics holds counters and latency histograms of requests.
	Metrics struct {
		requests  *prometheus.CounterVec   // by reason and kind
		tries     *prometheus.CounterVec   // by reason
		firstByte *prometheus.HistogramVec // by kind
		duration  *prometheus.HistogramVec
		wait      *prometheus.HistogramVec
		open      prometheus.Gauge
		conns     *prometheus.CounterVec // by how they were obtained
		openings  *prometheus.CounterVec // by why, and by kind of route
		bodies    *prometheus.CounterVec // by framing and end
		takeUps   *prometheus.CounterVec // by reason
		crashes   prometheus.Counter
		// serverCrashes counts by sign and whether the server responded again.
		serverCrashes *prometheus.CounterVec
		departures    *prometheus.CounterVec // by stage
		loadsDropped  *prometheus.CounterVec // by figure
	}
)

// latencyBuckets are the bucket bounds of the histograms, in seconds.
var latencyBuckets = []float64{.005, .02, .05, .1, .2, .4, .6, 1, 2, 4, 8, 16}

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "guavapaddle", Subsystem: "gateway", Name: name, Help: help, Buckets: latencyBuckets}, []string{"kind"})
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "guavapaddle", Subsystem: "gateway", Name: name, Help: help}, labels)
	}
	return &Metrics{
		requests:  counter("requests_total", "Requests that ended, by reason and kind of route.", "reason", "kind"),
		tries:     counter("tries_total", "Sends to backend servers, by how they ended.", "reason"),
		firstByte: histogram("first_byte_seconds", "Time from the send to the head of the answer."),
		duration:  histogram("request_seconds", "Time from the first byte of a request to the end of its answer."),
		wait:      histogram("wait_seconds", "Time from the first byte of a request to its first send."),
		open:      prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "guavapaddle", Subsystem: "gateway", Name: "open_requests", Help: "Requests that are open."}),
		conns:     counter("connections_total", "Connections to backend servers that tries obtained or failed to open.", "how"),
		openings:  counter("connections_opened_total", "Connections that tries opened to backend servers, by why none of the pool was used and kind of route.", "why", "kind"),
		takeUps:   counter("take_ups_total", "Requests that took up a stream which an earlier one began, by how they ended.", "reason"),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "guavapaddle", Subsystem: "gateway", Name: "crash_marks_total",
			Help: "Sends during which the server crashed, as far as this node can tell."}),
		serverCrashes: counter("server_crashes_total", "Signs of crashes of backend servers, and whether the server responded again.", "sign", "alive"),
		departures:    counter("departures_total", "Requests whose clients left before they had a response, by how far the request had come.", "stage"),
		loadsDropped:  counter("loads_dropped_total", "Loads reported by backend servers that couldn't be decoded, by figure.", "figure"),
		bodies:        counter("bodies_total", "Bodies of responses that were read to be forwarded, by framing and end.", "framing", "end"),
	}
}

// Collectors returns all metrics to register.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.tries, m.firstByte, m.duration, m.wait, m.open, m.conns, m.openings, m.bodies, m.takeUps, m.crashes, m.serverCrashes, m.departures, m.loadsDropped}
}

func (m *Metrics) countTry(r Reason) { m.tries.WithLabelValues(string(r)).Inc() }

// countConnection counts the connection that a try for a route of the given kind obtained, or the error with which it got none.
func (m *Metrics) countConnection(c *http1.Conn, kind fleet.Kind, err error) {
	if err == nil && !c.Reused {
		m.openings.WithLabelValues(string(c.Opening), string(kind)).Inc()
	}
	how := "opened"
	switch {
	case err == nil && c.Through() != "":
		how = "through-node"
	case err == nil && c.Reused:
		how = "reused"
	case errors.Is(err, syscall.ECONNREFUSED):
		how = "refused"
	case isTimeout(err):
		how = "timed-out"
	case err != nil:
		how = "failed"
	}
	m.conns.WithLabelValues(how).Inc()
}

// finish records the end of a request in metrics and log.
func (r *request) finish() {
	kind := string(r.route.Kind)
	took := time.Since(r.x.Received)
	m, o := r.g.Metrics, r.outcome
	m.requests.WithLabelValues(string(o.reason), kind).Inc()
	m.duration.WithLabelValues(kind).Observe(took.Seconds())
	if r.takesUp() {
		m.takeUps.WithLabelValues(string(o.reason)).Inc()
	}
	if o.reason == Served {
		m.firstByte.WithLabelValues(kind).Observe(o.firstByte.Seconds())
	}
	if r.sends > 0 {
		m.wait.WithLabelValues(kind).Observe(r.queued.Seconds())
	}
	stage := r.departureStage()
	if stage != "" {
		m.departures.WithLabelValues(string(stage)).Inc()
	}
	r.g.Log.Info("request", zap.String("request-id", r.meta.ID), zap.String("route", r.route.Name),
		zap.Int64("config", r.configVersion), zap.String("model", r.meta.Model), zap.String("adapter", r.meta.Adapter),
		zap.String("reason", string(o.reason)), zap.String("copy", strconv.FormatUint(r.fingerprint, 16)), zap.String("last-try", string(o.lastTry)), zap.String("left", string(stage)), zap.Int("status", o.status), zap.String("framing", string(r.framing)), zap.String("body", string(r.bodyEnd)),
		zap.String("server", r.selection.Server.ID), zap.String("software", r.selection.Server.Software), zap.String("resumes", r.meta.Resumes), zap.String("needs", r.software), zap.String("rule", r.rule), zap.String("through", r.through), zap.Duration("estimate", r.selection.Wait),
		zap.Duration("age", r.selection.Age), zap.String("connection", r.connection), zap.Duration("idle", r.connIdle), zap.String("local", r.connLocal), zap.Int("sends", r.sends), zap.Int("runs", r.runs),
		zap.Duration("queued", r.queued), zap.Duration("first", o.firstByte), zap.Duration("gap", r.maxGap), zap.Duration("took", took), zap.Inline(callerFields{r}), zap.Error(o.err))
}

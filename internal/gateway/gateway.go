package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"guavapaddle/core/apikey"
	"guavapaddle/core/balance"
	"guavapaddle/core/departure"
	"guavapaddle/core/fleet"
	"guavapaddle/core/poison"
	"guavapaddle/core/quota"
	"guavapaddle/core/retry"
	"guavapaddle/core/software"
	"guavapaddle/internal/hub"
	"guavapaddle/io/http1"
	"guavapaddle/platform"
)

const (
	// noConfigRetryAfter is the Retry-After of a node that has no configuration yet:
	// one is read within a fraction of a second.
	noConfigRetryAfter = 500 * time.Millisecond
	// overloadRetryAfter is the mean Retry-After of a node that has more requests than it can serve: it has served the ones before by
	// then, and the retry may reach another node.
	overloadRetryAfter = 500 * time.Millisecond
	// saturatedRetryAfter is the mean Retry-After of a node that is about to get no new connections: the balancer has noticed by then, so that
	// the client reaches another node.
	saturatedRetryAfter = 2 * time.Second
	// responseMargin is added to the deadline of reads from a server, so that a
	// response that the server sends at the deadline still reaches the client.
	responseMargin = 20 * time.Millisecond
	// defaultBufferBytes is the memory for responses that are forwarded whole, in bytes.
	defaultBufferBytes = 64 << 20
	// maxSpeedReports bounds the servers whose speed one report to the leader has, at some 50 bytes each.
	maxSpeedReports = 8
	// defaultTimeout applies to requests for which neither client nor route sets a deadline.
	defaultTimeout = 60 * time.Second
)

type (
	// Gateway serves requests. Its exported fields are set before the first one.
	Gateway struct {
		Pool    *http1.Pool
		Buffers *http1.Buffers // for what is kept of responses: whole ones, and events that aren't whole yet; nil for 64 MiB
		Log     *zap.Logger
		Zone    string
		Metrics *Metrics
		// RequestLoad requests a model or adapter that no server holds. It returns when
		// that may have changed.
		RequestLoad func(ctx context.Context, r hub.LoadRequest) hub.LoadReply
		// AcquireSlot requests a slot from the leader: when and at which server a request
		// to a model engine may begin. An error means that the leader is unreachable.
		AcquireSlot func(ctx context.Context, r hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error)
		// Tolerance is how far the usage of a quota may exceed it.
		Tolerance quota.Tolerance
		// PathSuspect reports whether this node may have lost its path to all servers, so that a
		// failed connection doesn't show that its server has failed. It may be nil.
		PathSuspect func() bool
		// CheckServer finds out whether this node reaches the server with an address, and whether
		// another one does. It may be nil.
		CheckServer func(ctx context.Context, address string)
		// RecordOrigin is called with the version that began a stream before the first event is forwarded, and FindOrigin
		// returns the version that began a stream which a client takes up. They may be nil.
		RecordOrigin func(ctx context.Context, o software.Origin)
		FindOrigin   func(ctx context.Context, q hub.OriginQuery) hub.OriginReply
		// Refresh queries another node for a newer configuration, and returns when that is
		// in force or none is known. It may be nil.
		Refresh func(ctx context.Context)
		// ConfigAge returns the time since the configuration in force was last confirmed as
		// the newest. From the age KeyAge on keys aren't accepted; zero means no limit.
		ConfigAge func() time.Duration
		KeyAge    time.Duration
		// RefusalAge is the age of the configuration from which a request isn't refused for good by it, as a newer one may allow the request.
		// Zero means no limit.
		RefusalAge time.Duration
		// Delayed reports whether this node doesn't get configurations, probably since it is overloaded. One of RefusalAge isn't used
		// then, as its successors may be in force elsewhere. During an outage of the store it is. It may be nil.
		Delayed func() bool
		// Saturated reports whether this node turns new clients away; nil for never.
		Saturated func() bool
		Rand      *rand.Rand
		// OnLeaving is called when a server announces that it is leaving, and reports
		// whether that is new. It may be nil.
		OnLeaving func(departure.Incarnation) bool
		// DeferrableTarget is the target latency from which the requests of a streaming route are deferrable; zero for none.
		DeferrableTarget time.Duration
		// RetryBudget is the budget of a service for retries: sends beyond the first of each request.
		RetryBudget retry.ServiceBudget

		configMu sync.Mutex // serializes SetConfig
		config   atomic.Pointer[fleet.Config]

		mu               sync.Mutex // guards the fields below, and Rand
		picker           *balance.Picker
		retryBudgets     map[string]*retry.Budget // by service
		account          quota.Account
		granterReachable bool // a granter replied to the last report
		nodes            int  // number of nodes that share the retry budgets, 0 if unknown
		demand           map[hub.Item]*hub.Demand
		crashes          crashes
		changed          chan struct{} // closed when the picker's data changes
		stopped          chan struct{}
		exit             time.Time // when the node exits; set before stopped is closed, and read after

		loadLog rate.Sometimes // limits the log lines about load headers
		reads   atomic.Int64   // reads that got bytes from servers over connections of this node itself
	}

	// request is the state of one request.
	request struct {
		g                 *Gateway
		x                 *http1.Exchange
		meta              platform.Request
		route             fleet.Route
		service           string
		configVersion     int64 // of the configuration that matched the route
		team              fleet.Team
		key               apikey.Digest
		hasKey            bool   // the request has a key that is valid
		credentialProblem string // what is wrong with the credentials
		charged           bool   // to its team's quota
		chargedLocally    bool   // it was charged while no granter was reachable
		mayHaveRun        bool   // a server may have run it, completely or in part
		deadline          time.Time
		header            http.Header
		excluded          map[string]bool
		notResident       []string      // servers found not to hold the model or adapter
		runs              int           // sends after which the request may have run
		retryAfter        time.Duration // Retry-After of a refusal
		slot              hub.SlotGrant // the slot granted to the request, nil if none
		granter           int64         // the granter that counts the send until its end
		sends             int
		queued            time.Duration // time until the first send
		fingerprint       uint64
		parts             []poison.Part // that other requests may share
		trial             bool          // the leader has let it through though a block refuses it
		lastEvent         string        // id of the last complete event that was forwarded
		forwardedAt       time.Time     // when a part of the response was last forwarded, zero before
		software          string        // version that began the stream, empty if none has
		holderRetry       time.Duration // delay before the next retry at the holders of the stream's model, zero before the first
		responseBegun     bool
		rule              string            // how the server was chosen: "granted" by the leader, "picked" by this node
		selection         balance.Selection // of the last send
		through           string            // node through which the last connection went, empty for none
		connection        string            // how the last send got its connection: "reused", or why it was opened
		connIdle          time.Duration     // how long that connection was idle
		connLocal         string            // this node's address on that connection, which identifies it
		connBroke         bool              // a connection broke under the request
		framing           framing           // of the last response, empty if there is none
		bodyEnd           bodyEnd           // of the last response, empty if its body wasn't read
		maxGap            time.Duration     // longest time between two reads of a stream
		outcome           outcome
	}
)

// Run initializes the gateway. It must be called before the first request.
func (g *Gateway) Run(p *balance.Picker) {
	if g.Buffers == nil {
		g.Buffers = &http1.Buffers{Max: defaultBufferBytes}
	}
	g.loadLog.Interval = loadLogInterval
	g.picker = p
	g.picker.SetNodes(retry.UnknownNodes)
	g.retryBudgets = map[string]*retry.Budget{}
	g.account = quota.Account{Tolerance: g.Tolerance, Rand: g.Rand}
	g.demand = map[hub.Item]*hub.Demand{}
	g.crashes.own.Eager = true
	g.changed = make(chan struct{})
	g.stopped = make(chan struct{})
}

// SetConfig puts a configuration in force. An older one is ignored. The log line is written
// first, so that no request is logged with a version that the log doesn't contain yet.
func (g *Gateway) SetConfig(c *fleet.Config) {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	old := g.config.Load()
	if old != nil && old.Version() >= c.Version() {
		return
	}
	if old != nil {
		c = c.WithRevokedSince(old)
	}
	c = c.WithDeferrable(g.DeferrableTarget)
	g.Log.Info("config-in-force", zap.Int64("version", c.Version()))
	g.config.Store(c)
	g.notifyChange()
}

// Stop refuses all requests that wait for a server, now and from now on: the node
// exits before a server would be free for them, and another node can serve them. So it refuses those that no server has got yet and that may take
// until after exit, when they would be cut off.
func (g *Gateway) Stop(exit time.Time) {
	g.exit = exit
	close(g.stopped)
}

// Config returns the configuration in force, nil if there is none yet.
func (g *Gateway) Config() *fleet.Config { return g.config.Load() }

// SetServers replaces the list of backend servers.
func (g *Gateway) SetServers(list []fleet.Server) {
	g.mu.Lock()
	g.recordServers(list)
	g.picker.Update(list)
	g.mu.Unlock()
	g.notifyChange()
}

// Pick picks a server for a request of another node.
func (g *Gateway) Pick(r balance.Request) (balance.Selection, balance.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	c, reason := g.picker.Pick(now, r)
	if reason == balance.Picked {
		g.picker.Reserve(now, c.Server.ID)
	}
	return c, reason
}

// notifyChange makes waiting requests query the picker again.
func (g *Gateway) notifyChange() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

// overloadRetryAfter returns the Retry-After of an overloaded node.
func (r *request) overloadRetryAfter() time.Duration {
	if r.g.Saturated != nil && r.g.Saturated() {
		return r.jitterRetryAfter(saturatedRetryAfter)
	}
	return r.jitterRetryAfter(overloadRetryAfter)
}

// Handle serves one request.
func (g *Gateway) Handle(x *http1.Exchange) {
	r := &request{g: g, x: x, meta: platform.ParseRequest(x.Request.Header)}
	defer r.finish()
	defer r.refund()
	if r.meta.ID == "" {
		r.respond(http.StatusBadRequest, NoRequestID, 0)
		return
	}
	if x.Rejected {
		r.respond(http.StatusServiceUnavailable, Overloaded, r.overloadRetryAfter())
		return
	}
	outdated := g.Outdated() // before the configuration is loaded, which may become newer meanwhile
	c := g.config.Load()
	if c == nil {
		r.respond(http.StatusServiceUnavailable, NoConfig, noConfigRetryAfter)
		return
	}
	r.configVersion = c.Version()
	if outdated {
		r.respond(http.StatusServiceUnavailable, StaleConfig, r.overloadRetryAfter())
		return
	}
	route, ok := c.Match(x.Request.Host, x.Request.URL.EscapedPath())
	if !ok {
		r.refuseByConfig(http.StatusNotFound, NoRoute)
		return
	}
	r.route = route
	g.mu.Lock()
	r.service = route.Service(g.Rand.Float64())
	g.mu.Unlock()
	r.deadline = x.Received.Add(r.timeout())
	if x.Departed() { // it may have waited to be read
		r.fail(ClientLeft, "")
		return
	}
	if !r.authenticate(c) {
		return
	}
	r.fingerprint = fingerprint(x)
	r.parts = r.sharedParts()
	if b, ok := r.findBlock(); ok && !b.AllowsTrial(r.service) {
		r.refuseBlocked(b, "")
		return
	}
	g.creditRetryBudget(r.service)
	r.serve()
}

// urgency returns the rank of the request, 0 for the most urgent.
func (r *request) urgency() int { return r.g.config.Load().Urgency(r.route, r.team) }

// timeout returns how long the request may take.
func (r *request) timeout() time.Duration {
	d := defaultTimeout
	if r.route.Timeout > 0 {
		d = r.route.Timeout
	}
	if r.meta.Deadline > 0 {
		d = min(d, r.meta.Deadline)
	}
	return d
}

// respond sends a response of the node itself. A positive retryAfter is sent as
// Retry-After.
func (r *request) respond(status int, cause Reason, retryAfter time.Duration) {
	r.outcome = outcome{status: status, reason: cause}
	h := http.Header{}
	platform.SetRequestID(h, r.meta.ID)
	if status == http.StatusUnauthorized {
		platform.SetChallenge(h)
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	if err := r.x.Respond(status, h, nil); err != nil {
		r.outcome.err = err
	}
}

// creditRetryBudget adds the share of one request to the retry budget of a service.
func (g *Gateway) creditRetryBudget(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(service).Success()
}

// takeRetry takes one retry out of the budget of the service and reports whether it could.
func (g *Gateway) takeRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(service).Take(time.Now())
}

// retryBudget returns the retry budget of a service; g.mu is held.
func (g *Gateway) retryBudget(service string) *retry.Budget {
	b := g.retryBudgets[service]
	if b == nil {
		b = &retry.Budget{}
		g.RetryBudget.Apply(b, g.nodes)
		g.retryBudgets[service] = b
	}
	return b
}

// Report returns this node's requests at the servers and the demand since the last
// report, for the current granter.
func (g *Gateway) Report(node string, granter int64) hub.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := hub.Report{Node: node, Counts: g.picker.LocalCounts(granter), Limits: g.limits()}
	g.addCrashReport(time.Now(), &r)
	r.Speeds = g.picker.SpeedReports(time.Now(), granter, maxSpeedReports)
	for k, d := range g.demand {
		if d.Tokens > 0 || d.Waiting > 0 || d.Ran != (hub.StreamTotals{}) {
			r.Demand = append(r.Demand, *d)
			d.Tokens, d.Ran = 0, hub.StreamTotals{}
		} else {
			delete(g.demand, k)
		}
	}
	return r
}

// Limits returns the rate limits that servers announced.
func (g *Gateway) Limits() []hub.Limit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits()
}

// limits returns the rate limits that servers announced; g.mu is held.
func (g *Gateway) limits() []hub.Limit {
	now := time.Now()
	return hub.EncodeLimits(now, g.picker.KnownLimits(now.Add(-hub.LimitTTL)))
}

// Counts returns this node's requests at each server, and how many of them a granter counts.
func (g *Gateway) Counts(granter int64) map[string]balance.Count {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.picker.LocalCounts(granter)
}

// ApplyReply applies the leader's reply to a report, with the data of the other nodes.
func (g *Gateway) ApplyReply(reply hub.ReportReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.setNodes(reply.Nodes)
	g.picker.SetRemoteCounts(now, reply.Counts)
	for _, l := range reply.Limits {
		g.picker.LearnLimit(l.Server, l.Local(now))
	}
	for _, n := range reply.Notes {
		g.picker.SetResidency(now, n.Server, n.Model, n.Adapter, n.Held)
	}
	g.applyCrashReply(now, reply)
}

// setNodes sets the number of nodes; g.mu is held.
func (g *Gateway) setNodes(nodes int) {
	if nodes == g.nodes {
		return
	}
	g.nodes = nodes
	g.picker.SetNodes(nodes)
	for _, b := range g.retryBudgets {
		g.RetryBudget.Apply(b, nodes)
	}
}

// addDemand adds demand for a model and adapter.
func (g *Gateway) addDemand(item hub.Item, tokens, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.demandFor(item)
	d.Tokens += tokens
	d.Waiting += waiting
}

// recordStream counts a stream that succeeded.
func (g *Gateway) recordStream(item hub.Item, tokens int, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.demandFor(item)
	d.Ran.Tokens += tokens
	d.Ran.Time += took
}

// demandFor returns the demand for an item since the last report; g.mu is held.
func (g *Gateway) demandFor(item hub.Item) *hub.Demand {
	d := g.demand[item]
	if d == nil {
		d = &hub.Demand{Item: item}
		g.demand[item] = d
	}
	return d
}

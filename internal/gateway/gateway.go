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

	"guavapaddle/core/apikey"
	"guavapaddle/core/balance"
	"guavapaddle/core/departure"
	"guavapaddle/core/fleet"
	"guavapaddle/core/quota"
	"guavapaddle/core/retry"
	"guavapaddle/internal/hub"
	"guavapaddle/io/http1"
	"guavapaddle/platform"
)

const (
	// unconfigured is when a client may come back to a node that has no
	// configuration yet: one is read within a fraction of a second.
	unconfigured = 500 * time.Millisecond
	// answerMargin is kept of the time that is left, so that a server's own
	// answer at the deadline still reaches the client.
	answerMargin = 20 * time.Millisecond
	// noDeadline bounds requests whose client and route name no deadline.
	noDeadline = 60 * time.Second
	// crashesMost is how many servers a request may end before it is refused.
	crashesMost = 3
)

type (
	// Gateway serves requests. Its exported fields are set before the first one.
	Gateway struct {
		Pool    *http1.Pool
		Log     *zap.Logger
		Zone    string
		Metrics *Metrics
		// Want asks for a model or adapter that no server holds. It returns when
		// that may have changed.
		Want func(ctx context.Context, w hub.Want) hub.Offer
		// Place asks the holder of the lease when and where a request to a model
		// engine may begin. An error means that the holder can't be reached.
		Place func(ctx context.Context, p hub.Place) (hub.Placed, hub.Grant, error)
		// Tolerance is how far the use of a quota may go over.
		Tolerance quota.Tolerance
		// Refresh asks another node for a newer configuration, and returns when it is in
		// force or none is known of; nil for nobody to ask.
		Refresh func(ctx context.Context)
		// ConfigAge returns how long ago the configuration in force was the newest for
		// certain, and KeyAge the age from which on keys aren't relied on; zero for never.
		ConfigAge func() time.Duration
		KeyAge    time.Duration
		Rand      *rand.Rand
		// OnDeparture takes in that a server has said that it leaves, and returns whether that is
		// new; nil for nobody.
		OnDeparture func(departure.Incarnation) bool
		// Repeats is what a service bears of sends beyond the first of each request.
		Repeats retry.ServiceBudget

		configuring sync.Mutex // held while a configuration comes into force
		config      atomic.Pointer[fleet.Config]

		mu      sync.Mutex // guards what follows, and Rand
		picture *balance.Picker
		budgets map[string]*retry.Budget // by service
		purse   quota.Account
		led     bool // a granter has answered the last report
		nodes   int  // that share what a service bears, 0 if unknown
		demand  map[hub.Item]*hub.Demand
		marks   map[uint64]map[string]bool
		news    []hub.Mark
		changed chan struct{} // closed when the picture changes
		stopped chan struct{}
	}

	// request is one request on its way.
	request struct {
		g        *Gateway
		x        *http1.Exchange
		meta     platform.Request
		route    fleet.Route
		service  string
		version  int64 // of the configuration that chose the route
		team     fleet.Team
		key      apikey.Digest
		keyed    bool   // the request has a key that is valid
		problem  string // with the credentials
		charged  bool   // of its team's quota
		alone    bool   // no granter was reached when it was charged
		ran      bool   // a server may have run it
		deadline time.Time
		header   http.Header
		exclude  map[string]bool
		lacks    []string      // servers that don't hold the model or adapter
		runs     int           // servers that may have run it
		after    time.Duration // when a refused client may come back
		place    hub.Grant     // that the request has
		granter  int64         // who granted it
		sends    int
		queued   time.Duration // until the first send
		print    uint64
		last     string // last whole event that was passed on
		begun    bool
		rule     string            // who chose the server: "granted" by the holder, "picked" by this node
		choice   balance.Selection // the last one
		gap      time.Duration     // longest pause between events
		outcome  outcome
	}
)

// Run prepares the gateway. It must be called before the first request.
func (g *Gateway) Run(p *balance.Picker) {
	g.picture = p
	g.picture.SetNodes(retry.UnknownNodes)
	g.budgets = map[string]*retry.Budget{}
	g.purse = quota.Account{Tolerance: g.Tolerance, Rand: g.Rand}
	g.demand = map[hub.Item]*hub.Demand{}
	g.marks = map[uint64]map[string]bool{}
	g.changed = make(chan struct{})
	g.stopped = make(chan struct{})
}

// SetConfig puts a configuration in force. An older one is ignored. The line comes first, so
// that no line of a request has a version that the log doesn't have yet.
func (g *Gateway) SetConfig(c *fleet.Config) {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	old := g.config.Load()
	if old != nil && old.Version() >= c.Version() {
		return
	}
	if old != nil {
		c = c.WithRevokedSince(old)
	}
	g.Log.Info("config-in-force", zap.Int64("version", c.Version()))
	g.config.Store(c)
	g.wake()
}

// Stop refuses the requests that wait for a server, now and from now on: the
// node ends before their turn would come, and another one can take them.
func (g *Gateway) Stop() { close(g.stopped) }

// Config returns the configuration in force, nil if there is none yet.
func (g *Gateway) Config() *fleet.Config { return g.config.Load() }

// SetServers replaces the list of backend servers.
func (g *Gateway) SetServers(list []fleet.Server) {
	g.mu.Lock()
	g.picture.Update(list)
	g.mu.Unlock()
	g.wake()
}

// wake lets requests that wait look at the picture again.
func (g *Gateway) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

// Handle serves one request.
func (g *Gateway) Handle(x *http1.Exchange) {
	r := &request{g: g, x: x, meta: platform.ParseRequest(x.Request.Header)}
	defer r.finish()
	defer r.refund()
	if r.meta.ID == "" {
		r.answer(http.StatusBadRequest, NoID, 0)
		return
	}
	c := g.config.Load()
	if c == nil {
		r.answer(http.StatusServiceUnavailable, NoConfig, unconfigured)
		return
	}
	r.version = c.Version()
	route, ok := c.Match(x.Request.Host, x.Request.URL.EscapedPath())
	if !ok {
		r.answer(http.StatusNotFound, NoRoute, 0)
		return
	}
	r.route = route
	g.mu.Lock()
	r.service = route.Service(g.Rand.Float64())
	g.mu.Unlock()
	r.deadline = x.Received.Add(r.patience())
	if !r.authenticate(c) {
		return
	}
	r.print = fingerprint(x)
	if g.crashed(r.print) >= crashesMost {
		r.answer(http.StatusServiceUnavailable, Crashes, 0)
		return
	}
	g.earn(r.service)
	r.serve()
}

// urgency returns the rank of the request, 0 for the most urgent.
func (r *request) urgency() int { return r.g.config.Load().Urgency(r.route, r.team) }

// patience returns how long the request may take.
func (r *request) patience() time.Duration {
	d := noDeadline
	if r.route.Timeout > 0 {
		d = r.route.Timeout
	}
	if r.meta.Deadline > 0 {
		d = min(d, r.meta.Deadline)
	}
	return d
}

// answer sends an answer of the node's own. A positive retryAfter tells when
// to come back.
func (r *request) answer(status int, why Reason, retryAfter time.Duration) {
	r.outcome = outcome{status: status, reason: why}
	h := http.Header{}
	platform.Echo(h, r.meta.ID)
	if status == http.StatusUnauthorized {
		platform.Challenge(h)
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	if err := r.x.Respond(status, h, nil); err != nil {
		r.outcome.err = err
	}
}

// earn lets the budget for repeats of a service grow by one request.
func (g *Gateway) earn(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).Success()
}

// spend takes one repeat out of the budget of the service.
func (g *Gateway) spend(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(service).Take(time.Now())
}

// budget returns the budget for repeats of a service; g.mu is held.
func (g *Gateway) budget(service string) *retry.Budget {
	b := g.budgets[service]
	if b == nil {
		b = &retry.Budget{}
		g.Repeats.Apply(b, g.nodes)
		g.budgets[service] = b
	}
	return b
}

// crashed returns how many servers ended while they ran the request.
func (g *Gateway) crashed(print uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.marks[print])
}

// mark notes that a server ended while it ran the request.
func (g *Gateway) mark(print uint64, server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.news = append(g.news, hub.Mark{Fingerprint: print, Server: server})
	g.setMark(print, server)
}

// setMark enters a mark; g.mu is held.
func (g *Gateway) setMark(print uint64, server string) {
	m := g.marks[print]
	if m == nil {
		if len(g.marks) >= marksMost {
			clear(g.marks)
		}
		m = map[string]bool{}
		g.marks[print] = m
	}
	m[server] = true
}

// marksMost bounds the marks of requests kept at a node.
const marksMost = 4096

// Report returns what this node has at the servers and was asked for since the
// last report, for the granter in office.
func (g *Gateway) Report(node string, granter int64) hub.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := hub.Report{Node: node, Counts: g.picture.LocalCounts(granter), Marks: g.news, Limits: g.limits()}
	g.news = nil
	for k, d := range g.demand {
		if d.Tokens > 0 || d.Waiting > 0 || d.Ran != (hub.Ran{}) {
			r.Demand = append(r.Demand, *d)
			d.Tokens, d.Ran = 0, hub.Ran{}
		} else {
			delete(g.demand, k)
		}
	}
	return r
}

// Limits returns what servers said of the rates that they take.
func (g *Gateway) Limits() []hub.Limit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits()
}

// limits returns what servers said of the rates that they take; g.mu is held.
func (g *Gateway) limits() []hub.Limit {
	now := time.Now()
	return hub.Limits(now, g.picture.KnownLimits(now.Add(-hub.LimitLife)))
}

// Counts returns what this node has at each server, and what of it a granter counts.
func (g *Gateway) Counts(granter int64) map[string]balance.Count {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.picture.LocalCounts(granter)
}

// Keep puts marks back that could not be reported.
func (g *Gateway) Keep(marks []hub.Mark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.news = append(g.news, marks...)
}

// Take takes in what the other nodes have.
func (g *Gateway) Take(p hub.Picture) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.share(p.Nodes)
	g.picture.SetRemoteCounts(now, p.Counts)
	for _, l := range p.Limits {
		g.picture.LearnLimit(l.Server, l.Said(now))
	}
	for _, n := range p.Notes {
		g.picture.SetResidency(now, n.Server, n.Model, n.Adapter, n.Held)
	}
	for _, m := range p.Marks {
		g.setMark(m.Fingerprint, m.Server)
	}
}

// share takes in how many nodes there are; g.mu is held.
func (g *Gateway) share(nodes int) {
	if nodes == g.nodes {
		return
	}
	g.nodes = nodes
	g.picture.SetNodes(nodes)
	for _, b := range g.budgets {
		g.Repeats.Apply(b, nodes)
	}
}

// ask counts demand for a model and adapter.
func (g *Gateway) ask(w hub.Item, tokens, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.asked(w)
	d.Tokens += tokens
	d.Waiting += waiting
}

// ran counts a stream that ended well.
func (g *Gateway) ran(w hub.Item, tokens int, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.asked(w)
	d.Ran.Tokens += tokens
	d.Ran.Time += took
}

// asked returns the demand for an item since the last report; g.mu is held.
func (g *Gateway) asked(w hub.Item) *hub.Demand {
	d := g.demand[w]
	if d == nil {
		d = &hub.Demand{Item: w}
		g.demand[w] = d
	}
	return d
}

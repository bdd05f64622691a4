package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"guavapaddle/core/config"
	"guavapaddle/core/forward"
	"guavapaddle/core/member"
	"guavapaddle/core/outcome"
	"guavapaddle/core/place"
	"guavapaddle/core/queue"
	"guavapaddle/core/retry"
	"guavapaddle/core/route"
	"guavapaddle/core/view"
	"guavapaddle/internal/call"
	"guavapaddle/internal/claims"
	"guavapaddle/internal/cluster"
	"guavapaddle/internal/configsync"
	"guavapaddle/internal/dispatch"
	"guavapaddle/internal/engines"
	"guavapaddle/internal/entry"
	"guavapaddle/internal/generate"
	"guavapaddle/internal/keys"
	"guavapaddle/internal/metrics"
	"guavapaddle/internal/owner"
	"guavapaddle/internal/planner"
	"guavapaddle/internal/suspects"
	"guavapaddle/internal/trace"
	"guavapaddle/internal/views"
	"guavapaddle/io/caller"
	"guavapaddle/io/engine"
	"guavapaddle/io/object"
	"guavapaddle/io/operator"
	"guavapaddle/io/peer"
	"guavapaddle/io/table"
	"guavapaddle/io/vmlist"
)

const (
	idBytes        = 12
	firstTimeout   = 15 * time.Second // for an engine's first token, once a slot is free
	progressWindow = 2 * time.Second  // between two tokens of an engine
	drainRetry     = time.Second
)

type (
	// Node is one node. It is made by New.
	Node struct {
		settings Settings
		log      *zap.Logger
		keys     *keys.Files
		registry *prometheus.Registry

		table    *table.Client
		objects  *object.Client
		vms      *vmlist.Client
		views    *views.Store
		cluster  *cluster.Cluster
		follower *configsync.Follower
		owner    *owner.Owner
		dispatch *dispatch.Dispatcher
		router   *generate.Router
		claims   *claims.Store
		pool     *call.Pool
		services *call.Services
		callers  *caller.Server
		trace    *trace.Recorder
		requests *metrics.Requests
		control  *metrics.Control
		platform platformTraffic
		demand   *planner.Demand
		limits   *limits
		guard    *suspects.Guard
		crashes  *crashes
		planner  *planner.Planner
		publish  publisher

		operators net.Listener
		draining  atomic.Bool // new requests are refused
		leaving   atomic.Bool // not ready
		mu        sync.Mutex
		engines   map[string]*engine.Client // by address
		vmSeeds   []string                  // nodes by the VM list
		listedVMs int                       // count of the VM list

		vmsLeaving []string // by the own reading of the VM list
	}

	// Addresses are where a node listens.
	Addresses struct {
		Callers, Peers, Operators string
	}

	// NotReady tells why a node takes no requests.
	NotReady struct{ Reason outcome.Reason }
)

// Error names the reason.
func (e *NotReady) Error() string { return string(e.Reason) }

// New returns a node that has not begun to listen. The settings must have
// passed Check.
func New(s Settings, log *zap.Logger) (*Node, error) {
	files := &keys.Files{CA: s.CA, Cert: s.Cert, Key: s.Key}
	if err := files.Load(); err != nil {
		return nil, eris.Wrap(err, "node keys")
	}
	if files.Name() != s.Name {
		return nil, &SettingsError{Name: "cert", Reason: fmt.Sprintf("names %q, not %q", files.Name(), s.Name)}
	}
	if s.Seed == 0 {
		s.Seed = mathrand.Uint64()
	}
	n := &Node{
		settings: s,
		log:      log.With(zap.String("node", s.Name)),
		keys:     files,
		registry: prometheus.NewRegistry(),
		views:    views.New(),
		trace:    &trace.Recorder{Node: s.Name},
		requests: metrics.New(),
		control:  metrics.NewControl(),
		engines:  map[string]*engine.Client{},
	}
	n.table = &table.Client{Address: s.Table, Traffic: &n.platform.table}
	n.objects = &object.Client{Address: s.Objects, Traffic: &n.platform.objects}
	if s.VMList != "" {
		n.vms = &vmlist.Client{Address: s.VMList, Traffic: &n.platform.vms}
	}
	n.build()
	return n, nil
}

// build makes the parts and ties them together.
func (n *Node) build() {
	incarnation := uint64(time.Now().UnixNano())
	n.demand = planner.NewDemand()
	n.buildFollower()
	n.buildOwner(incarnation)
	n.buildCluster(incarnation)
	n.buildGuard()
	n.buildRouter()
	n.buildClaims(incarnation)
	n.buildEntry()
	n.buildPlanner()
	n.registry.MustRegister(n.requests.Collectors()...)
	n.registerControl()
}

func (n *Node) buildFollower() {
	n.follower = &configsync.Follower{
		Table:    n.table,
		Store:    n.objects,
		Peers:    n.configPeers,
		Nodes:    func() int { return len(n.cluster.Working()) },
		OnChange: n.configured,
		Log:      n.log,
		Metrics:  configsync.NewMetrics(n.registry),
	}
}

func (n *Node) buildOwner(incarnation uint64) {
	m := owner.NewMetrics()
	n.registry.MustRegister(m.Collectors()...)
	n.dispatch = &dispatch.Dispatcher{
		Engine:   n.engineOf,
		Settings: n.queueSettings,
		OnLost:   func(server string, running []string) { n.crashes.lost(server, running) },
	}
	n.owner = &owner.Owner{
		Node:        n.settings.Name,
		Incarnation: strconv.FormatUint(incarnation, 36),
		Table:       n.table,
		Engine:      func(address string) owner.Engine { return n.engineAt(address) },
		Live:        func() []string { return n.cluster.Working() },
		Known:       n.views.All,
		Occupancy:   n.occupancy,
		Log:         n.log,
		Metrics:     m,
	}
}

func (n *Node) buildCluster(incarnation uint64) {
	n.cluster = &cluster.Cluster{
		Self: member.Node{
			Name:        n.settings.Name,
			DataCentre:  n.settings.DataCentre,
			Incarnation: incarnation,
		},
		Endpoint:   &peer.Endpoint{Address: n.settings.Peers, TLS: n.keys},
		Seeds:      n.seeds,
		Local:      &forwarded{Dispatcher: n.dispatch, node: n},
		OnView:     n.viewed,
		OnLoad:     n.loaded,
		OnMessage:  n.message,
		Config:     n.follower.Packed,
		ConfigHead: n.follower.Head,
		Spent:      n.control.Time,
		Log:        n.log,
		Seed:       n.settings.Seed,
	}
}

func (n *Node) buildRouter() {
	policy, err := route.New(n.settings.Policy)
	if err != nil {
		panic(err) // Check has seen it
	}
	n.router = &generate.Router{
		Self:       n.settings.Name,
		DataCentre: n.settings.DataCentre,
		Views:      n.views,
		Local:      &forwarded{Dispatcher: n.dispatch, node: n},
		Owners:     n.cluster,
		Engine:     n.engineOf,
		Place:      n.dataCentreOf,
		Policy:     policy,
		Forward:    policy.Name() == route.NameHome,
		Guard:      n.guard,
		Boot:       n.boot,
		Note:       n.decided,
		Wanted:     n.demand.Wanted,
	}
	n.router.Init(n.settings.Seed, &retry.Budget{})
}

func (n *Node) buildGuard() {
	n.guard = &suspects.Guard{
		Table:   n.table,
		Spread:  n.spreadMarks,
		Log:     n.log,
		Metrics: suspects.NewMetrics(n.registry),
	}
	n.crashes = &crashes{node: n}
}

func (n *Node) buildClaims(incarnation uint64) {
	n.claims = &claims.Store{
		Table:       n.table,
		Objects:     n.objects,
		Node:        n.settings.Name,
		Incarnation: incarnation,
		Dead:        n.died,
		Log:         n.log,
		Metrics:     claims.NewMetrics(n.registry),
	}
}

// died tells whether an incarnation of a node is known to have ended.
func (n *Node) died(name string, incarnation uint64) bool {
	m, ok := n.cluster.Node(name)
	return ok && (m.Incarnation > incarnation || m.Incarnation == incarnation && m.Status >= member.Dead)
}

func (n *Node) buildPlanner() {
	n.planner = &planner.Planner{
		Self:    n.settings.Name,
		Policy:  mustPlanner(n.settings.Planner),
		Demand:  n.demand,
		Index:   n.follower.Index,
		Working: n.cluster.Working,
		Views:   n.views,
		Tell:    n.cluster.Tell,
		Follow:  n.owner.SetPlan,
		Time:    n.control.Time,
		Log:     n.log,
	}
}

func (n *Node) buildEntry() {
	n.limits = newLimits(n.settings.Limit)
	n.pool = &call.Pool{}
	n.services = &call.Services{}
	e := &entry.Entry{
		Index:  n.follower.Index,
		Fresh:  n.follower.Fresh,
		Router: n.router,
		Calls: &call.Caller{
			Servers:  n.pool,
			Backend:  n.services,
			Claims:   n.claims,
			Suspects: n.guard,
			Prober:   n.services,
			Seed:     n.settings.Seed,
			Log:      n.log,
			Metrics:  call.NewMetrics(n.registry),
			Note:     n.note,
		},
		Claims:  n.claims,
		Limits:  n.limits,
		Demand:  n.demand,
		Metrics: n.requests,
		Log:     n.log,
		Note:    n.note,
	}
	n.callers = &caller.Server{
		Address: n.settings.Callers,
		Handler: e,
		BodyBytes: func() int64 {
			if x := n.follower.Index(); x != nil {
				return x.Limits().BodyBytes
			}
			return config.DefaultLimits().BodyBytes
		},
		Headers: func() int {
			if x := n.follower.Index(); x != nil {
				return x.Limits().HeaderBytes
			}
			return config.DefaultLimits().HeaderBytes
		},
		Streams: func() int {
			if x := n.follower.Index(); x != nil {
				return x.Limits().StreamsPerNode
			}
			return config.DefaultLimits().StreamsPerNode
		},
		NewID: newID,
		Panicked: func(id string, value any, stack []byte) {
			n.log.Error("panic", zap.String("request-id", id), zap.Any("value", value), zap.ByteString("stack", stack))
		},
		Draining: func() (time.Duration, bool) { return drainRetry, n.draining.Load() },
	}
}

// Listen opens all addresses.
func (n *Node) Listen() (Addresses, error) {
	var a Addresses
	var err error
	if n.operators, err = net.Listen("tcp", n.settings.Operators); err != nil {
		return a, &caller.ListenError{Address: n.settings.Operators, Err: err}
	}
	a.Operators = n.operators.Addr().String()
	n.cluster.Self.Operator = a.Operators
	if a.Peers, err = n.cluster.Listen(); err != nil {
		return a, err
	}
	if a.Callers, err = n.callers.Listen(); err != nil {
		return a, err
	}
	return a, nil
}

// Run runs the node until ctx ends and then stops it gracefully: no request in
// flight is cut off.
func (n *Node) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	owning, disown := context.WithCancel(run)
	defer disown()
	var wg sync.WaitGroup
	failed := make(chan error, 1)
	start := func(name string, f func() error) {
		wg.Go(func() {
			if err := f(); err != nil && run.Err() == nil {
				n.log.Error("part failed", zap.String("part", name), zap.Error(err))
				select {
				case failed <- eris.Wrap(err, name):
				default:
				}
			}
		})
	}
	web := &http.Server{Handler: n.operatorHandler(), ReadHeaderTimeout: time.Second}
	start("operators", func() error { return ignoreClosed(web.Serve(n.operators)) })
	start("cluster", func() error { return n.cluster.Run(run) })
	start("follower", func() error { _ = n.follower.Run(run); return nil })
	start("claims", func() error { n.claims.Run(run); return nil })
	start("callers", func() error { return n.callers.Run(run) })
	start("housekeeping", func() error { n.housekeeping(run); return nil })
	start("planner", func() error { n.planner.Run(run); return nil })
	owned := make(chan struct{})
	start("owner", func() error { defer close(owned); n.owner.Run(owning); return nil })
	var err error
	select {
	case <-ctx.Done():
		n.shutdown(run, func() { disown(); <-owned })
	case err = <-failed:
	}
	stop()
	_ = web.Close()
	wg.Wait()
	return err
}

// Ready implements operator.Readiness.
func (n *Node) Ready() error {
	switch {
	case n.leaving.Load():
		return &NotReady{Reason: outcome.Draining}
	case n.follower.Index() == nil || !n.follower.Fresh():
		return &NotReady{Reason: outcome.NoConfig}
	}
	return nil
}

// operatorHandler returns the handler of the operators' endpoint.
func (n *Node) operatorHandler() http.Handler {
	return &operator.Handler{Readiness: n, Reporter: n, Explainer: n.trace, Bodies: n.follower, Gatherer: n.registry}
}

// engineAt returns the client of the engine at an address.
func (n *Node) engineAt(address string) *engine.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.engines[address]
	if c == nil {
		c = &engine.Client{Address: address, Traffic: &n.platform.engines}
		n.engines[address] = c
	}
	return c
}

// engineOf returns the engine of a server by name, nil if unknown.
func (n *Node) engineOf(server string) engines.Engine {
	x := n.follower.Index()
	if x == nil {
		return nil
	}
	s, ok := x.Server(server)
	if !ok || s.Type != config.Engine {
		return nil
	}
	return &engines.Client{
		Engine:  n.engineAt(s.Address),
		Options: engine.StreamOptions{FirstTimeout: firstTimeout, ProgressTimeout: progressWindow},
	}
}

// dataCentreOf returns the data centre of a server, empty if unknown.
func (n *Node) dataCentreOf(server string) string {
	if x := n.follower.Index(); x != nil {
		s, _ := x.Server(server)
		return s.DataCentre
	}
	return ""
}

// queueSettings returns the queue settings of a server.
func (n *Node) queueSettings(server string) queue.Settings {
	set := queue.Settings{}
	if x := n.follower.Index(); x != nil {
		s, _ := x.Server(server)
		set.Limit = x.Limits().QueuePerServer
		set.StepSeconds = s.StepMS / 1000
	}
	return set
}

// occupancy tells the owner what the dispatcher has on a server.
func (n *Node) occupancy(server string) (running, queued, slots int, waitMS int64) {
	l, _ := n.dispatch.Load(server)
	return l.Running, l.Queued, l.Slots, l.WaitMS
}

// viewed takes a view in that is newer than the known.
func (n *Node) viewed(v view.Server) {
	if n.views.Put(v) {
		n.router.Seen(v.Server)
	}
}

// loaded takes the load of a server in that its owner spread.
func (n *Node) loaded(server string, l forward.Load) {
	n.views.Heard(server, l)
	n.router.Seen(server)
}

// message takes in what other nodes tell besides membership.
func (n *Node) message(from string, f peer.Frame) {
	if f.Kind == cluster.KindSuspect {
		n.marked(f)
		return
	}
	n.planner.Receive(from, f)
}

// decided notes a decision of the router.
func (n *Node) decided(e generate.Event) {
	n.note(e.RequestID, e.Event, zap.String("server", e.Server), zap.String("owner", e.Owner),
		zap.Uint64("epoch", e.Epoch), zap.String("reason", e.Reason))
	if e.Event != "pick" {
		n.requests.Retry(e.Event, e.Reason)
	}
}

func newID() string {
	b := make([]byte, idBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err) // the system's random source never fails
	}
	return hex.EncodeToString(b)
}

func mustPlanner(name string) place.Planner {
	p, err := place.New(name)
	if err != nil {
		panic(err) // Check has seen it
	}
	return p
}

var (
	_ entry.Demand   = (*planner.Demand)(nil)
	_ entry.Limits   = (*limits)(nil)
	_ generate.Views = (*views.Store)(nil)
)

package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"guavapaddle/core/balance"
	"guavapaddle/core/departure"
	"guavapaddle/core/fleet"
	"guavapaddle/core/leader"
	"guavapaddle/core/pause"
	"guavapaddle/core/poison"
	"guavapaddle/core/retry"
	"guavapaddle/core/revision"
	"guavapaddle/internal/calls"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/follow"
	"guavapaddle/internal/gateway"
	"guavapaddle/internal/granter"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/keys"
	"guavapaddle/internal/lag"
	"guavapaddle/internal/parts"
	"guavapaddle/internal/placer"
	"guavapaddle/internal/tunnel"
	"guavapaddle/io/http1"
	"guavapaddle/io/jsonhttp"
	"guavapaddle/io/peer"
	"guavapaddle/platform"
)

const (
	// DrainTime is how long a stopping node goes on serving: the balancer probes each second
	// and removes a node after two failed probes. It is shorter than LastTaken by the time that a request may be on its way.
	DrainTime = LastTaken - 200*time.Millisecond
	// LastTaken is how long after SIGTERM a stopping node may take on a stream that it breaks off when its grace ends.
	LastTaken = 3 * time.Second
	// killMargin is the time kept in reserve before the platform kills the process.
	killMargin = 500 * time.Millisecond
	// taskMargin is the part of killMargin in which tasks that don't serve clients may still
	// end; the rest is for the last log lines.
	taskMargin = 300 * time.Millisecond
	// crashReportTime bounds how long a stopping node tries to report the crashes that it noticed with its last requests: several reports,
	// as the first one may have been under way, or may get no reply.
	crashReportTime = 2 * time.Second
	// reservedDescriptors is the number of descriptors reserved for files and connections to
	// servers.
	reservedDescriptors = 200
	// clientShare is the share of the other descriptors that clients may use.
	clientShare = 0.6
	// memoryShare is the share of the process's memory limit that is set as the garbage
	// collector's limit; the rest is for stacks, kernel buffers and code.
	memoryShare = 0.75
	// bufferFraction is the fraction of the memory limit, as its denominator, that responses which are forwarded whole may take, as may bodies of requests, and
	// storeFraction that of one reply of the store.
	bufferFraction = 8
	storeFraction  = 16
	// maxEngineReply bounds a reply of an engine to an order or a query, in bytes. It lists what the engine holds, some dozens of models and adapters.
	maxEngineReply = 1 << 20
	sweepInterval  = time.Second
	// peerIdleTimeout is how long another node may be silent before its connection is closed
	// and its slots are released. Nodes report every 0.8 s or more often.
	peerIdleTimeout = 5 * time.Second
)

// Node is one process of the service, created by New. Its exported fields may be set before Run.
type Node struct {
	// DialServer opens a connection to a backend server from this node; the default is http1.Dial.
	DialServer func(ctx context.Context, address string) (net.Conn, error)
	// SharesProcess states that other nodes, clients or servers run in this process. The node then sets no memory limit, takes on all requests,
	// and doesn't extend its timeouts, however late the process is.
	SharesProcess bool

	settings        Settings
	log             *zap.Logger
	store           *platform.Store
	gateway         *gateway.Gateway
	placer          *placer.Placer
	hub             *hub.Hub
	granter         *granter.Granter
	follower        *follow.Follower
	endpoint        *peer.Endpoint
	key             *keys.SelfSigned
	startedAt       time.Duration // boot time
	clients         *http1.Server
	probes          *http1.Server
	lag             *lag.Monitor
	admission       admissionControl
	traffic         linkTraffic
	contact         contact
	registry        *prometheus.Registry
	stopping        atomic.Bool
	servers         servers
	engineIDs       atomic.Pointer[map[string]bool]   // IDs of the servers that are model engines
	leaderReplyAt   atomic.Int64                      // boot time of the leader's last reply to a report
	confirmedAt     atomic.Int64                      // boot time at which the report was sent that another node, the leader and not a relay, last replied to
	leaderMessageAt atomic.Int64                      // boot time of the leader's last message of any kind
	leaderSuspect   atomic.Bool                       // the leader left a slot request without a reply
	feedAt          atomic.Int64                      // boot time of the last update from the leader that was not outdated
	nodeCount       atomic.Int64                      // number of nodes that recently reported to the leader
	leaderServers   atomic.Pointer[revision.Revision] // revision of the leader's copy of the server table
	leaderOperator  atomic.Pointer[revision.Revision] // revision of the leader's copy of the operator's table
	leaderConfig    atomic.Int64                      // version of the configuration in force at the leader
	isDeputy        atomic.Bool                       // this node follows the store on behalf of all nodes
	deputy          atomic.Pointer[hub.Contact]       // address and key of the deputy
	deputyReplyAt   atomic.Int64                      // boot time of the deputy's last reply to a report
	deputyRefusedAt atomic.Int64                      // boot time of the deputy's last refusal
	acting          atomic.Bool                       // this node is the deputy and grants slots
	ack             hub.Ack                           // acknowledges the updates in the leader's last reply; used by runExchange only
	keyRoster       uint64                            // version of the leader's list of keys that a deputy has; likewise
	sentRoster      sentRoster                        // in this relay's last report; likewise
	reportedRoster  sentRoster                        // in the last one that a leader replied to; likewise
	clockEcho       hub.ClockEcho                     // clock echo of the last reply to a report; likewise
	clockEchoAt     time.Duration                     // boot time of the arrival of that reply; likewise
	relayRefusals   int                               // reports in a row that the relay refused; likewise
	lastUpstream    upstream                          // that last replied to a report; likewise
	leaseQueriedAt  time.Duration                     // boot time of the last query of the seeds for the lease; likewise
	directNodes     atomic.Int64                      // number of nodes that recently reported to this node's upstream itself
	relayGranter    atomic.Int64                      // granter that this node's relay reaches, 0 for none
	relays          relayChoice
	relayLosses     prometheus.Counter
	refresher       refresher
	peerKeys        trustedKeys
	origins         origins
	waitingCalls    calls.Groups // slot requests at other nodes
	dialer          *tunnel.Dialer
	roster          peerRoster
	seeds           clientCache
	storeRestored   chan struct{} // holds a value after a restore of the store until register has seen it
	listeners       []net.Listener
}

// New returns a node that hasn't opened any listener or connection yet.
func New(s Settings, log *zap.Logger) (*Node, error) {
	key, err := keys.NewSelfSigned(s.Node)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, log: log, key: key, startedAt: clock.SinceBoot(), hub: &hub.Hub{Self: s.Node}, DialServer: http1.Dial, registry: prometheus.NewRegistry(), storeRestored: make(chan struct{}, 1),
		contact: contact{detector: pause.Detector{MaxGap: maxPause}}}
	key.Trusted = n.isTrusted
	n.seeds.maxBody = s.memoryBytes() / storeFraction
	n.relayLosses = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "guavapaddle", Subsystem: "relay",
		Name: "losses_total", Help: "Relays of this node that didn't reply, so that it uses another."})
	n.registry.MustRegister(n.relayLosses)
	n.store = n.newStore()
	m := gateway.NewMetrics()
	n.registry.MustRegister(m.Collectors()...)
	n.gateway = &gateway.Gateway{Pool: &http1.Pool{MaxIdle: s.MaxIdleConns()}, Buffers: &http1.Buffers{Max: s.memoryBytes() / bufferFraction}, Log: log, Zone: s.DataCentre, Metrics: m, RequestLoad: n.requestLoad, AcquireSlot: n.acquireSlot,
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		RetryBudget: n.retryBudget(), Refresh: n.refresh, DeferrableTarget: time.Duration(s.DeferMS) * time.Millisecond,
		OnLeaving: func(i departure.Incarnation) bool { return n.addLeaving(i) }, KeyAge: s.keyAge(), RefusalAge: time.Duration(s.ApplyMS) * time.Millisecond, Tolerance: s.tolerance()}
	n.lag = &lag.Monitor{Log: log, OnSample: n.observeLag, Probe: n.probeLink}
	n.admission.log = log
	n.registry.MustRegister(n.lag.Collectors()...)
	n.registry.MustRegister(n.admission.collectors()...)
	n.gateway.RecordOrigin, n.gateway.FindOrigin = n.recordOrigin, n.findOrigin
	n.gateway.Run(balance.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	n.endpoint = &peer.Endpoint{Address: s.Peers, TLS: key, DialTimeout: exchangeTimeout, IdleTimeout: peerIdleTimeout,
		Accept: n.acceptsPeer, OnMessage: func(string, peer.Frame) {},
		OnCall: n.handleCall}
	n.dialer = n.newDialer()
	n.gateway.Pool.Dial, n.gateway.PathSuspect, n.gateway.CheckServer = n.dialer.Dial, n.dialer.Suspect, n.dialer.Check
	n.hub.HasGranter, n.hub.OnBlock = n.isGranted, n.logBlock
	n.granter = &granter.Granter{Log: log, Counts: n.hub.Counts, Limits: n.gateway.Limits, Tolerance: s.tolerance()}
	n.registry.MustRegister(n.granter)
	n.registry.MustRegister(n.trafficCollectors()...)
	n.registry.MustRegister(poolCollectors(n.gateway.Pool)...)
	n.placer = n.newPlacer()
	n.granter.LoadAdapter = n.placer.RequestLoad
	n.follower = &follow.Follower{Store: n.store, Log: log, OnConfig: n.onConfig, OnServers: n.onServers, OnGone: n.gateway.ServerGone, HasFeed: n.hasFeed, HasLeader: n.hasLeader,
		Role: n.role, Omit: n.isGranted, HoldsWhole: n.holdsWhole, ExpectsFeed: n.expectsRelay, OnRestore: n.onRestore(), FetchSnapshot: n.join, Heartbeat: time.Duration(s.HeartbeatMS) * time.Millisecond, MaxConfigAge: n.gateway.KeyAge}
	n.store.OnEra = n.follower.ObserveEra
	n.gateway.ConfigAge = n.follower.ConfigAge
	n.gateway.Saturated = n.admission.saturated
	n.gateway.Delayed = n.configDelayed
	n.clients = &http1.Server{Handler: n.gateway, Limits: n.limits, OnBadRequest: n.badRequest, AcceptFailed: n.acceptFailed,
		MaxConns: int(float64(s.Descriptors-reservedDescriptors) * clientShare)}
	n.clients.Bodies = &http1.Buffers{Max: s.memoryBytes() / bufferFraction}
	n.clients.Admit, n.clients.Traffic = n.admission.decide, &n.traffic.clients
	n.probes = &http1.Server{Handler: readiness{n}, AcceptFailed: n.acceptFailed}
	return n, nil
}

// retryBudget returns the retry budget of a service from the settings, where zero means no
// retries.
func (n *Node) retryBudget() retry.ServiceBudget {
	s := n.settings
	budget := retry.ServiceBudget{Ratio: s.RepeatRatio, Extra: s.RepeatExtra, Window: time.Duration(s.RepeatSpanS * float64(time.Second))}
	if budget.Ratio == 0 {
		budget.Ratio = -1
	}
	if budget.Extra == 0 {
		budget.Extra = -1
	}
	return budget
}

// logBlock logs that a block of requests that crash servers came in force at this node as the leader or its deputy, or was lifted.
func (n *Node) logBlock(b poison.Block, lifted bool) {
	event := "prompt-blocked"
	if lifted {
		event = "prompt-released"
	}
	n.log.Warn(event, zap.String("parts", b.Name()), zap.String("service", b.Service), zap.Int("crashes", b.Crashes),
		zap.Bool("provisional", b.Provisional), zap.Duration("age", b.Age))
}

// handleCall serves a call of another node.
func (n *Node) handleCall(ctx context.Context, from string, f peer.Frame, s *peer.Stream) {
	n.hear(from)
	if f.Kind == tunnel.Kind {
		n.dialer.Serve(ctx, f, s)
		return
	}
	hub.Serve(ctx, n, f, s)
}

func (n *Node) newStore() *platform.Store {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "guavapaddle", Subsystem: "store",
		Name: "calls_total", Help: "Calls to the platform's store, by their answer; 0 where none came."}, []string{"call", "status"})
	n.registry.MustRegister(calls)
	return &platform.Store{
		Client: &jsonhttp.Client{Address: n.settings.Store, ConnectTimeout: 500 * time.Millisecond, MaxBody: n.settings.memoryBytes() / storeFraction, Traffic: &n.traffic.store},
		OnCall: func(call string, status int) { calls.WithLabelValues(call, strconv.Itoa(status)).Inc() },
	}
}

// configDelayed reports whether this node probably lacks a newer configuration because it has been overloaded: since the one in force was
// confirmed it was, its own call to the store failed, and neither the leader nor its deputy replies, which would show an outage of the store.
func (n *Node) configDelayed() bool {
	return n.follower.ConfigUnreachable() && !n.hasLeader() && !n.deputyReached() &&
		n.admission.overloadedSince(time.Now().Add(-n.follower.ConfigAge()))
}

// onRestore returns the function that counts restores of the store from a copy, and has the node's row
// written again.
func (n *Node) onRestore() func(table string, era int64) {
	restores := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "guavapaddle", Subsystem: "store",
		Name: "restores_total", Help: "Restores of the platform's store from a copy that this node has seen, by table."}, []string{"table"})
	n.registry.MustRegister(restores)
	return func(table string, _ int64) {
		restores.WithLabelValues(table).Inc()
		select {
		case n.storeRestored <- struct{}{}:
		default: // the other table's follower was first
		}
	}
}

func (n *Node) newPlacer() *placer.Placer {
	orders := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "guavapaddle", Subsystem: "placer",
		Name: "orders_total", Help: "Orders to model engines, by their answer."}, []string{"verdict"})
	n.registry.MustRegister(orders)
	engines := &clientCache{maxBody: maxEngineReply}
	return &placer.Placer{
		Store: n.store, Engines: &platform.Engines{Client: engines.get}, Hub: n.hub, Log: n.log, Clock: clock.SinceBoot,
		Elector: &leader.Elector{
			Self: leader.Lease{Node: n.settings.Node, Incarnation: n.key.Fingerprint()[:16],
				Address: n.settings.Peers, Key: n.key.Fingerprint(), Cores: n.settings.Cores},
			TTL: time.Duration(n.settings.LeaseMS) * time.Millisecond,
		},
		Fencing:            n.settings.CheckEpochs,
		Window:             time.Duration(n.settings.LoadWindowS * float64(time.Second)),
		LeaderReachable:    n.hasCoordinator,
		UsesRelay:          n.isFedByRelay,
		Isolated:           func() bool { return n.dialer.Isolated() },
		OnVerdict:          func(v string) { orders.WithLabelValues(v).Inc() },
		OnElected:          n.granter.Reset,
		WaitingWithoutCopy: n.granter.Waiting,
		OnUnplaceable:      n.granter.SetUnplaceable,
		LimitedModels:      n.granter.LimitedModels,
		OnResidency:        n.granter.SetResidency,
		Software:           n.softwareAges,
		OnSoftware:         n.inheritSoftware,
		Blocks: func() ([]poison.Block, []poison.Crash) {
			now := time.Now()
			return n.hub.Blocks(now), n.hub.Evidence(now)
		},
		OnBlocks: func(list []poison.Block, crashes []poison.Crash) {
			now := time.Now()
			n.hub.SetBlocks(now, list)
			n.hub.AddEvidence(now, crashes)
			n.gateway.AddBlocks(list)
		},
	}
}

// Run serves until ctx ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	if err := n.listen(); err != nil {
		return err
	}
	n.log.Info("start", zap.String("node", n.settings.Node), zap.String("data-centre", n.settings.DataCentre),
		zap.String("clients", n.settings.Clients), zap.String("key", n.key.Fingerprint()[:16]))
	taskCtx, endTasks := context.WithCancel(context.Background())
	tasks := parts.Group{Log: n.log}
	for name, task := range map[string]func(context.Context){
		"follower": n.follower.Run, "placer": n.placer.Run, "granter": n.granter.Run, "register": n.register, "tidy": n.cleanUpRows,
		"exchange": n.runExchange, "sweep": n.sweep, "reload": n.reload, "peers": n.servePeers, "relays": n.assignRelays,
		"silence": n.gateway.WatchSilence, "traffic": n.logTraffic,
	} {
		tasks.Go(name, func() { task(taskCtx) })
	}
	if !n.SharesProcess { // without the monitor's samples all requests are admitted
		before := debug.SetMemoryLimit(int64(memoryShare * float64(n.settings.memoryBytes())))
		defer debug.SetMemoryLimit(before)
		tasks.Go("lag", func() { n.lag.Run(taskCtx) })
	}
	<-ctx.Done()
	deadline := time.Now().Add(n.grace() + taskMargin)
	n.stop()
	endTasks()
	err := tasks.Wait(time.Until(deadline))
	n.log.Info("stopped", zap.Int("connections", n.clients.ConnCount()))
	return err
}

// grace returns how long a stop may take to complete requests of clients.
func (n *Node) grace() time.Duration {
	return time.Duration(n.settings.GraceS*float64(time.Second)) - killMargin
}

func (n *Node) servePeers(ctx context.Context) {
	if err := n.endpoint.Run(ctx); err != nil {
		n.log.Error("peers-failed", zap.Error(err))
	}
}

// listen opens all listeners.
func (n *Node) listen() error {
	if _, err := n.endpoint.Listen(); err != nil {
		return err
	}
	for _, x := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{n.settings.Clients, serveUntilClosed(n.clients)},
		{n.settings.Ready, serveUntilClosed(n.probes)},
		{n.settings.Metrics, n.serveMetrics},
		{n.settings.Control, n.serveControl},
	} {
		l, err := net.Listen("tcp4", x.address)
		if err != nil {
			return eris.Wrap(err, "listen on "+x.address)
		}
		n.listeners = append(n.listeners, l)
		go func() {
			if err := x.serve(l); err != nil {
				n.log.Error("listener-failed", zap.String("address", x.address), zap.Error(err))
			}
		}()
	}
	return nil
}

// serveUntilClosed returns a function that serves on a listener until the listener is
// closed.
func serveUntilClosed(s *http1.Server) func(net.Listener) error {
	return func(l net.Listener) error {
		s.Serve(l)
		return nil
	}
}

func (n *Node) serveMetrics(l net.Listener) error {
	s := &http.Server{Handler: promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}), ReadHeaderTimeout: time.Second}
	if err := s.Serve(l); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// stop ends the service for clients without cutting any request off before the grace period
// has passed.
func (n *Node) stop() {
	started := time.Now()
	n.stopping.Store(true)
	n.clients.Drain()
	n.log.Info("stopping", zap.Int("connections", n.clients.ConnCount()))
	grace := n.grace()
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace))
	defer cancel()
	n.placer.Release(ctx)
	drainCtx, cancelDrain := context.WithDeadline(ctx, started.Add(min(DrainTime, grace/2)))
	defer cancelDrain()
	<-drainCtx.Done()
	n.gateway.Stop(started.Add(grace))
	_ = n.listeners[0].Close()
	n.clients.Shutdown(ctx)
	n.reportCrashes(ctx)
	for _, l := range n.listeners[1:] {
		_ = l.Close()
	}
}

// reportCrashes reports the crashes that the node noticed with its last requests, of which no other node may know, until a hub has acknowledged
// them, for crashReportTime and half of the time that is left at most: without a leader no hub acknowledges them, and the tasks have to end as well.
func (n *Node) reportCrashes(ctx context.Context) {
	left := crashReportTime
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	for n.gateway.HasUnreportedCrash() && ctx.Err() == nil {
		if !n.refresher.request(ctx) { // the next report is due soon
			clock.Sleep(ctx, refreshPoll)
		}
	}
}

// ready reports whether the node can serve.
func (n *Node) ready() bool {
	return !n.stopping.Load() && n.gateway.Serves() && n.hasServers() && !n.admission.saturated() && !n.gateway.Outdated()
}

func (n *Node) onConfig(c *fleet.Config) {
	n.gateway.SetConfig(c)
	n.placer.SetConfig(n.gateway.Config())
	n.granter.SetTeams(n.gateway.Config().Teams())
	n.servers.mu.Lock()
	defer n.servers.mu.Unlock()
	n.updateEngines(n.servers.all())
}

// limits returns the limits for clients in the current configuration.
func (n *Node) limits() http1.Limits {
	c := n.gateway.Config()
	if c == nil {
		return http1.Limits{}
	}
	l := c.Limits()
	return http1.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}

// acceptFailed logs a connection that couldn't be accepted.
func (n *Node) acceptFailed(err error) {
	n.log.Error("accept-failed", zap.Error(err))
}

// badRequest logs a request that couldn't be read.
func (n *Node) badRequest(err error) {
	n.log.Info("request-unreadable", zap.Error(err))
}

// sweep closes connections to servers that have been idle for too long.
func (n *Node) sweep(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			n.gateway.Pool.Sweep()
		case <-ctx.Done():
			return
		}
	}
}

// reload logs the signal that the settings file has changed. Addresses are fixed for the
// life of the process, so no setting is applied while it runs.
func (n *Node) reload(ctx context.Context) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	for {
		select {
		case <-c:
			n.log.Info("reload", zap.String("node", n.settings.Node))
		case <-ctx.Done():
			return
		}
	}
}

// readiness responds to probes.
type readiness struct{ n *Node }

// Handle responds with 200 if the node is ready and with 503 otherwise.
func (r readiness) Handle(x *http1.Exchange) {
	status := http.StatusServiceUnavailable
	if r.n.ready() {
		status = http.StatusOK
	}
	if err := x.Respond(status, http.Header{}, []byte(strconv.Itoa(status))); err != nil {
		r.n.log.Debug("probe-unanswered", zap.Error(err))
	}
}

package node

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/config"
	"guavapaddle/core/member"
	"guavapaddle/core/place"
	"guavapaddle/core/retry"
	"guavapaddle/core/route"
	"guavapaddle/internal/call"
	"guavapaddle/internal/claims"
	"guavapaddle/internal/cluster"
	"guavapaddle/internal/configsync"
	"guavapaddle/internal/dispatch"
	"guavapaddle/internal/entry"
	"guavapaddle/internal/generate"
	"guavapaddle/internal/owner"
	"guavapaddle/internal/planner"
	"guavapaddle/internal/suspects"
	"guavapaddle/io/caller"
	"guavapaddle/io/peer"
)

// build creates the components and connects them.
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
		Nodes:    func() int { return len(n.cluster.ActiveNodes()) },
		OnChange: n.onConfigChange,
		Log:      n.log,
		Metrics:  configsync.NewMetrics(n.registry),
	}
}

func (n *Node) buildOwner(incarnation uint64) {
	m := owner.NewMetrics()
	n.registry.MustRegister(m.Collectors()...)
	n.dispatch = &dispatch.Dispatcher{
		Engine:       n.engineOf,
		Settings:     n.queueSettings,
		OnEngineLost: func(server string, running []string) { n.crashes.connectionLost(server, running) },
	}
	n.owner = &owner.Owner{
		Node:        n.settings.Name,
		Incarnation: strconv.FormatUint(incarnation, 36),
		Table:       n.table,
		Engine:      func(address string) owner.Engine { return n.engineAt(address) },
		Live:        func() []string { return n.cluster.ActiveNodes() },
		Known:       n.views.All,
		Load:        n.serverLoad,
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
		OnView:     n.updateView,
		OnLoad:     n.updateLoad,
		OnMessage:  n.handleMessage,
		Config:     n.follower.PackedBody,
		ConfigHead: n.follower.Head,
		TimeWork:   n.control.Measure,
		Log:        n.log,
		Seed:       n.settings.Seed,
	}
}

func (n *Node) buildRouter() {
	policy, err := route.New(n.settings.Policy)
	if err != nil {
		panic(err) // Settings.Check rejects unknown names
	}
	n.router = &generate.Router{
		Self:         n.settings.Name,
		DataCentre:   n.settings.DataCentre,
		Views:        n.views,
		Local:        &forwarded{Dispatcher: n.dispatch, node: n},
		Owners:       n.cluster,
		Engine:       n.engineOf,
		DataCentreOf: n.dataCentreOf,
		Policy:       policy,
		Forward:      policy.Name() == route.NameHome,
		Guard:        n.guard,
		BootID:       n.bootID,
		Trace:        n.traceDecision,
		AddWaiting:   n.demand.AddWaiting,
	}
	n.router.Init(n.settings.Seed, &retry.Budget{})
}

func (n *Node) buildGuard() {
	n.guard = &suspects.Guard{
		Table:     n.table,
		Broadcast: n.broadcastMarks,
		Log:       n.log,
		Metrics:   suspects.NewMetrics(n.registry),
	}
	n.crashes = &crashes{node: n}
}

func (n *Node) buildClaims(incarnation uint64) {
	n.claims = &claims.Store{
		Table:       n.table,
		Objects:     n.objects,
		Node:        n.settings.Name,
		Incarnation: incarnation,
		Dead:        n.isDead,
		Log:         n.log,
		Metrics:     claims.NewMetrics(n.registry),
	}
}

func (n *Node) buildPlanner() {
	n.planner = &planner.Planner{
		Self:        n.settings.Name,
		Policy:      newPlanner(n.settings.Planner),
		Demand:      n.demand,
		Index:       n.follower.Index,
		ActiveNodes: n.cluster.ActiveNodes,
		Views:       n.views,
		Send:        n.cluster.Send,
		SetPlan:     n.owner.SetPlan,
		Measure:     n.control.Measure,
		Log:         n.log,
	}
}

func (n *Node) buildEntry() {
	n.limits = newLimits(n.settings.Limit)
	n.pool = &call.Pool{}
	n.services = &call.Services{}
	n.calls = &call.Caller{
		Servers:  n.pool,
		Backend:  n.services,
		Claims:   n.claims,
		Suspects: n.guard,
		Prober:   n.services,
		Seed:     n.settings.Seed,
		Log:      n.log,
		Metrics:  call.NewMetrics(n.registry),
		Trace:    n.traceEvent,
	}
	e := &entry.Entry{
		Index:   n.follower.Index,
		Fresh:   n.follower.Fresh,
		Router:  n.router,
		Calls:   n.calls,
		Claims:  n.claims,
		Limits:  n.limits,
		Demand:  n.demand,
		Metrics: n.requests,
		Log:     n.log,
		Trace:   n.traceEvent,
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
		HeaderBytes: func() int {
			if x := n.follower.Index(); x != nil {
				return x.Limits().HeaderBytes
			}
			return config.DefaultLimits().HeaderBytes
		},
		MaxOpenRequests: func() int {
			if x := n.follower.Index(); x != nil {
				return x.Limits().StreamsPerNode
			}
			return config.DefaultLimits().StreamsPerNode
		},
		NewID: newID,
		Panicked: func(id string, value any, stack []byte) {
			n.log.Error("panic", zap.String("request-id", id), zap.Any("value", value), zap.ByteString("stack", stack))
		},
		AcceptFailed: func(err error) { n.log.Error("accept-failed", zap.Error(err)) },
		Draining:     func() (time.Duration, bool) { return drainRetry, n.draining.Load() },
	}
}

func newID() string {
	b := make([]byte, idBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err) // crypto/rand never returns an error
	}
	return hex.EncodeToString(b)
}

func newPlanner(name string) place.Planner {
	p, err := place.New(name)
	if err != nil {
		panic(err) // Settings.Check rejects unknown names
	}
	return p
}

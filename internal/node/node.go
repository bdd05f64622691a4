package node

import (
	"context"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"guavapaddle/core/member"
	"guavapaddle/core/outcome"
	"guavapaddle/internal/call"
	"guavapaddle/internal/claims"
	"guavapaddle/internal/cluster"
	"guavapaddle/internal/configsync"
	"guavapaddle/internal/dispatch"
	"guavapaddle/internal/entry"
	"guavapaddle/internal/generate"
	"guavapaddle/internal/keys"
	"guavapaddle/internal/metrics"
	"guavapaddle/internal/owner"
	"guavapaddle/internal/parts"
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
	idBytes           = 12
	firstEventTimeout = 15 * time.Second // until an engine's first token, once a slot is free
	progressTimeout   = 2 * time.Second  // maximum time between two tokens of an engine
	drainRetry        = time.Second
	tasksTimeout      = 5 * time.Second // for the tasks to end, once no request is open
)

type (
	// Node is one guavapaddle node. It is created by New.
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
		calls    *call.Caller
		callers  *caller.Server
		trace    *trace.Recorder
		requests *metrics.Requests
		control  *metrics.ControlWork
		platform platformTraffic
		demand   *planner.Demand
		limits   *limits
		guard    *suspects.Guard
		crashes  *crashes
		planner  *planner.Planner
		publish  publisher

		operators net.Listener
		draining  atomic.Bool // new requests are refused
		leaving   atomic.Bool // the node reports that it is not ready
		mu        sync.Mutex
		engines   map[string]*engine.Client // by address
		vmSeeds   []string                  // addresses of nodes in the VM list
		listedVMs int                       // length of the VM list

		vmsLeaving []string // leaving VMs in this node's last read of the VM list
	}

	// Addresses are the addresses on which a node listens.
	Addresses struct {
		Callers, Peers, Operators string
	}

	// NotReadyError reports why a node does not accept requests.
	NotReadyError struct{ Reason outcome.Reason }
)

// Error returns the reason.
func (e *NotReadyError) Error() string { return string(e.Reason) }

// New returns a node that does not listen yet. The settings must have passed Check.
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
		control:  metrics.NewControlWork(),
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

// isDead reports whether an incarnation of a node is known to have ended.
func (n *Node) isDead(name string, incarnation uint64) bool {
	m, ok := n.cluster.Node(name)
	return ok && (m.Incarnation > incarnation || m.Incarnation == incarnation && m.Status >= member.Dead)
}

// Listen opens all listeners and returns their addresses.
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

// Run runs the node until ctx ends or a task fails. When ctx ends, it stops
// gracefully: requests in flight are completed.
func (n *Node) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ownerCtx, stopOwner := context.WithCancel(runCtx)
	defer stopOwner()
	tasks := parts.Group{Log: n.log}
	failed := make(chan error, 1)
	start := func(name string, f func() error) {
		tasks.Go(name, func() {
			if err := f(); err != nil && runCtx.Err() == nil {
				n.log.Error("task failed", zap.String("part", name), zap.Error(err))
				select {
				case failed <- eris.Wrap(err, name):
				default:
				}
			}
		})
	}
	operatorServer := &http.Server{Handler: n.operatorHandler(), ReadHeaderTimeout: time.Second}
	start("operators", func() error { return ignoreClosed(operatorServer.Serve(n.operators)) })
	start("cluster", func() error { return n.cluster.Run(runCtx) })
	start("follower", func() error { _ = n.follower.Run(runCtx); return nil })
	start("claims", func() error { n.claims.Run(runCtx); return nil })
	start("callers", func() error { return n.callers.Run(runCtx) })
	start("housekeeping", func() error { n.housekeeping(runCtx); return nil })
	start("planner", func() error { n.planner.Run(runCtx); return nil })
	ownerStopped := make(chan struct{})
	start("owner", func() error { defer close(ownerStopped); n.owner.Run(ownerCtx); return nil })
	var err error
	select {
	case <-ctx.Done():
		n.shutdown(runCtx, func() { stopOwner(); <-ownerStopped })
	case err = <-failed:
	}
	stop()
	_ = operatorServer.Close()
	return errors.Join(err, tasks.Wait(tasksTimeout))
}

// Ready implements operator.Readiness.
func (n *Node) Ready() error {
	switch {
	case n.leaving.Load():
		return &NotReadyError{Reason: outcome.Draining}
	case n.follower.Index() == nil || !n.follower.Fresh():
		return &NotReadyError{Reason: outcome.NoConfig}
	}
	return nil
}

// operatorHandler returns the handler of the operators' endpoint.
func (n *Node) operatorHandler() http.Handler {
	return &operator.Handler{Readiness: n, Reporter: n, Explainer: n.trace, Bodies: n.follower, Gatherer: n.registry}
}

// handleMessage handles the messages of other nodes, except membership messages.
func (n *Node) handleMessage(from string, f peer.Frame) {
	if f.Kind == cluster.KindSuspect {
		n.mergeMarks(f)
		return
	}
	n.planner.Receive(from, f)
}

// traceDecision records a decision of the router.
func (n *Node) traceDecision(e generate.Event) {
	n.traceEvent(e.RequestID, e.Event, zap.String("server", e.Server), zap.String("owner", e.Owner),
		zap.Uint64("epoch", e.Epoch), zap.String("reason", e.Reason))
	if e.Event != "pick" {
		n.requests.CountRetryDecision(e.Event, e.Reason)
	}
}

var (
	_ entry.Demand   = (*planner.Demand)(nil)
	_ entry.Limits   = (*limits)(nil)
	_ generate.Views = (*views.Store)(nil)
)

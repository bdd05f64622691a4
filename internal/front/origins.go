package front

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/core/leader"
	"guavapaddle/core/software"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/lag"
	"guavapaddle/io/peer"
)

const (
	// recordTimeout bounds how long the first event of a stream waits until another node knows the version that began it. A
	// leader that takes longer is suspected to be unreachable.
	recordTimeout = hub.AckTimeout
	// originTimeout bounds the wait for one node's reply about the version that began a stream.
	originTimeout = 150 * time.Millisecond
	// originWait bounds the time for which a client that takes a stream up waits until a node that can tell its version replies. A deputy
	// acts half a second after its leader has ended.
	originWait = 1500 * time.Millisecond
	// originRetryDelay is the time between the first two tries to find such a node; it doubles after each.
	originRetryDelay = 100 * time.Millisecond
	// peerOriginTimeout bounds the wait for the replies of nodes that aren't coordinators. They may ask the leader and its deputy.
	peerOriginTimeout = 400 * time.Millisecond
	// maxOriginPeers bounds the nodes that are asked beside the leader and its deputy, and maxOriginFleet the fleets in which they are: in
	// larger ones the one that knows is rarely among them, and all nodes ask when all have started again.
	maxOriginPeers = 8
	maxOriginFleet = 32
	// maxReportedOrigins bounds the origins in one report or reply.
	maxReportedOrigins = 256
)

type (
	// NotCoordinatorError reports that a node neither leads nor passes calls on to the leader, or that there is no
	// node that does.
	NotCoordinatorError struct{}

	// origins is what this node knows of the versions of the servers' software and of the streams that they began. The
	// leader has the origins of all nodes, and its deputy has the leader's.
	origins struct {
		mu      sync.Mutex
		history software.History
		known   software.Origins

		// The remaining fields are used by runExchange only.
		reportedTo string // node and services for which reported counts
		reported   uint64 // number of the last origin that was reported
		pending    uint64 // the same once the report under way has been replied to
		received   uint64 // number of the last origin in the leader's reply to its deputy
	}
)

// Error implements error.
func (*NotCoordinatorError) Error() string { return "front: no leader, and no node that reaches it" }

// observeSoftware records the versions of the servers in the list.
func (n *Node) observeSoftware(list []fleet.Server) {
	n.origins.mu.Lock()
	defer n.origins.mu.Unlock()
	n.origins.history.Observe(time.Now(), list)
}

// inheritSoftware records the versions that another node's lease names.
func (n *Node) inheritSoftware(a software.Ages) {
	n.origins.mu.Lock()
	defer n.origins.mu.Unlock()
	n.origins.history.Inherit(time.Now(), a)
}

// softwareAges returns the versions for the lease. Servers in the list are in service until it changes.
func (n *Node) softwareAges() software.Ages {
	n.origins.mu.Lock()
	defer n.origins.mu.Unlock()
	return n.origins.history.Ages(time.Now())
}

// recordOrigin records the version that began a stream of this node. While several versions serve, it returns once another
// node knows it too, or none can be reached.
func (n *Node) recordOrigin(ctx context.Context, o software.Origin) {
	n.origins.mu.Lock()
	now := time.Now()
	n.origins.known.Add(now, o)
	_, only := n.origins.history.Only(now, o.Service)
	n.origins.mu.Unlock()
	if only {
		return
	}
	ctx, cancel := lag.WithTimeout(ctx, recordTimeout)
	defer cancel()
	n.placer.AwaitSoftware(ctx, o.Service, o.Version)
	if err := n.sendOrigin(ctx, o); err != nil { // it is in the next report
		n.log.Info("origin-unsent", zap.String("request-id", o.Stream), zap.String("software", o.Version), zap.Error(err))
	}
}

// sendOrigin sends an origin to the leader, or to its deputy if this node leads.
func (n *Node) sendOrigin(ctx context.Context, o software.Origin) error {
	return n.callCoordinator(ctx, recordTimeout, func(ctx context.Context, address string) error {
		return n.leaderClient().RecordOrigin(ctx, address, o)
	})
}

// callCoordinator calls the leader, or a relay of it, and then its deputy, until one replies. timeout bounds each call. If this
// node leads, only the deputy is called.
func (n *Node) callCoordinator(ctx context.Context, timeout time.Duration, call func(ctx context.Context, address string) error) error {
	var err error = &NotCoordinatorError{}
	for _, address := range n.coordinators() {
		callCtx, cancel := lag.WithTimeout(ctx, timeout)
		err = call(callCtx, address)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// coordinators returns the addresses of the nodes that know the origins of all streams, in the order in which they are called.
func (n *Node) coordinators() []string {
	var list []string
	l, ok := n.placer.Leader()
	if u := n.upstreamOf(l); ok && u.address != "" && u.key != n.key.Fingerprint() && (u.isRelay || !n.leaderSuspected()) {
		list = append(list, u.address)
	}
	deputy := n.deputy.Load()
	if at := n.hub.Deputy(); n.placer.IsLeading() && at.Address != "" {
		deputy = &at // before the first reports, it is that of the leader before
	}
	if deputy != nil && deputy.Address != "" && deputy.Key != n.key.Fingerprint() {
		list = append(list, deputy.Address)
	}
	return list
}

// RecordOrigin records the origin of a stream of another node. The leader replies once its lease names the version.
func (n *Node) RecordOrigin(ctx context.Context, o software.Origin) error {
	n.addOrigins([]software.Origin{o})
	if n.passesOn() && !n.isActing() {
		return n.sendOrigin(ctx, o)
	}
	ctx, cancel := lag.WithTimeout(ctx, recordTimeout)
	defer cancel()
	n.placer.AwaitSoftware(ctx, o.Service, o.Version)
	return nil
}

// addOrigins adds origins that other nodes have recorded.
func (n *Node) addOrigins(list []software.Origin) {
	n.origins.mu.Lock()
	defer n.origins.mu.Unlock()
	now := time.Now()
	for _, o := range list {
		n.origins.known.Add(now, o)
	}
}

// FindOrigin returns the version that began a stream, as far as this node can tell it or reaches a node that can.
func (n *Node) FindOrigin(ctx context.Context, q hub.OriginQuery) (hub.OriginReply, error) {
	if reply := n.knownOrigin(q); reply.Known {
		return reply, nil
	}
	switch {
	case n.placer.IsLeading(), n.isActing():
		if !n.knowsVersions() {
			return hub.OriginReply{}, &StaleVersionsError{}
		}
		return n.onlyOrigin(q), nil
	case n.passesOn():
		return n.queryOrigin(ctx, q)
	case !q.PassedOn:
		q.PassedOn = true
		return n.queryOrigin(ctx, q)
	}
	return hub.OriginReply{}, &NotCoordinatorError{}
}

// findOrigin returns the version that began a stream which a client of this node takes up. While no node that can tell it replies, it
// tries again: another node takes the place of a lost leader.
func (n *Node) findOrigin(ctx context.Context, q hub.OriginQuery) hub.OriginReply {
	ctx, cancel := lag.WithTimeout(ctx, originWait)
	defer cancel()
	began := clock.SinceBoot()
	for delay := originRetryDelay; ; delay *= 2 {
		reply, err := n.lookUpOrigin(ctx, q, began)
		if err == nil {
			return reply
		}
		if clock.Sleep(ctx, delay); ctx.Err() != nil {
			n.log.Info("origin-unread", zap.String("resumes", q.Stream), zap.Duration("age", n.follower.Age(time.Now())), zap.Error(err))
			return reply
		}
	}
}

// lookUpOrigin asks the leader or its deputy which version began a stream that a client takes up, whose request came at the boot time began. If
// neither knows, it asks other nodes: the one that forwarded its first event does. A node that reaches neither relies on its own list of servers if that has
// been confirmed since, or shortly before while other nodes are in its reach.
func (n *Node) lookUpOrigin(ctx context.Context, q hub.OriginQuery, began time.Duration) (hub.OriginReply, error) {
	reply, err := n.FindOrigin(ctx, q)
	if reply.Known || err == nil && q.Stream == "" {
		return reply, err
	}
	if err != nil && n.isListConfirmed(began) {
		if own := n.onlyOrigin(q); own.Known {
			return own, nil
		}
	}
	if nodes := n.nodeCount.Load(); nodes > 0 && nodes <= maxOriginFleet {
		q.PassedOn = err == nil
		if other, otherErr := n.queryPeers(ctx, q); otherErr == nil {
			return other, nil
		}
	}
	if err != nil && n.isListConfirmed(began-n.maxFeedAge()) && (n.isHeardSince(began) || n.reachesPeers(ctx, q)) {
		if own := n.onlyOrigin(q); own.Known {
			return own, nil
		}
	}
	return reply, err
}

// queryOrigin asks the leader or its deputy which version began a stream.
func (n *Node) queryOrigin(ctx context.Context, q hub.OriginQuery) (reply hub.OriginReply, err error) {
	err = n.callCoordinator(ctx, originTimeout, func(ctx context.Context, address string) error {
		reply, err = n.leaderClient().FindOrigin(ctx, address, q)
		return err
	})
	return reply, err
}

// originResult is the reply of another node about the version that began a stream, or why there is none.
type originResult struct {
	reply hub.OriginReply
	err   error
}

// startQueries asks several nodes at once which version began a stream, and returns their number and where the results arrive.
func (n *Node) startQueries(ctx context.Context, q hub.OriginQuery) (int, <-chan originResult) {
	peers := n.tunnelPeers(ctx)
	peers = peers[:min(len(peers), maxOriginPeers)]
	results := make(chan originResult, len(peers))
	for _, p := range peers {
		go func() {
			reply, err := n.leaderClient().FindOrigin(ctx, p.Address, q)
			results <- originResult{reply, err}
		}()
	}
	return len(peers), results
}

// queryPeers returns the first reply of other nodes that tells which version began a stream, or else one that says that the leader doesn't know.
func (n *Node) queryPeers(ctx context.Context, q hub.OriginQuery) (hub.OriginReply, error) {
	ctx, cancel := lag.WithTimeout(ctx, peerOriginTimeout)
	defer cancel()
	unknown := originResult{err: &NotCoordinatorError{}}
	count, results := n.startQueries(ctx, q)
	for range count {
		r := <-results
		if r.err == nil && r.reply.Known {
			return r.reply, nil
		}
		if r.err == nil {
			unknown = r
		}
	}
	return unknown.reply, unknown.err
}

// reachesPeers reports whether another node is in reach, so that this one isn't cut off. They are asked for what they know themselves.
func (n *Node) reachesPeers(ctx context.Context, q hub.OriginQuery) bool {
	ctx, cancel := lag.WithTimeout(ctx, originTimeout)
	defer cancel()
	q.PassedOn = true
	count, results := n.startQueries(ctx, q)
	for range count {
		if r := <-results; r.err == nil || peer.IsDeclined(r.err) {
			return true
		}
	}
	return false
}

// knownOrigin returns the origin that this node has of a stream.
func (n *Node) knownOrigin(q hub.OriginQuery) hub.OriginReply {
	n.origins.mu.Lock()
	defer n.origins.mu.Unlock()
	o, ok := n.origins.known.Find(time.Now(), q.Stream)
	return hub.OriginReply{Known: ok, Service: o.Service, Version: o.Version}
}

// onlyOrigin returns the only version of the service that a stream can have begun at.
func (n *Node) onlyOrigin(q hub.OriginQuery) hub.OriginReply {
	n.origins.mu.Lock()
	defer n.origins.mu.Unlock()
	v, ok := n.origins.history.Only(time.Now(), q.Service)
	return hub.OriginReply{Known: ok, Service: q.Service, Version: v}
}

// unreportedOrigins returns the origins that the node to which this one reports may lack: those of services of which several
// versions serve.
func (n *Node) unreportedOrigins(l leader.Lease) []software.Origin {
	o := &n.origins
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	mixed := o.history.Mixed(now)
	if to := n.upstreamOf(l).key + " " + strings.Join(mixed, " "); to != o.reportedTo {
		o.reportedTo, o.reported = to, 0
	}
	if len(mixed) == 0 {
		o.pending = o.reported
		return nil
	}
	list, number := o.known.After(now, o.reported, mixed, maxReportedOrigins)
	o.pending = number
	return list
}

// originsForDeputy returns the origins that the deputy lacks after the one with a number, while several versions of a service serve.
func (n *Node) originsForDeputy(after uint64) ([]software.Origin, uint64) {
	n.origins.mu.Lock()
	defer n.origins.mu.Unlock()
	now := time.Now()
	if len(n.origins.history.Mixed(now)) == 0 {
		return nil, after
	}
	return n.origins.known.After(now, after, nil, maxReportedOrigins)
}

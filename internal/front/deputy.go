package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/leader"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/lag"
	"guavapaddle/platform"
)

// deputyBackoff is how long the deputy isn't queried after it didn't reply, or refused
// because it reaches the leader.
const deputyBackoff = 500 * time.Millisecond

// isActing reports whether this node is the deputy of a leader that it can't reach, and
// therefore grants slots. Unlike orders, slots may be granted by two nodes at the same time,
// which costs only time. Without an acting deputy, nodes would select engines by themselves
// until the lease has expired, their selections would collide at engines with few slots, and
// all nodes would follow the store.
func (n *Node) isActing() bool {
	acting := n.isDeputy.Load() && !n.placer.IsLeading() && n.leaderSuspected()
	if n.acting.Swap(acting) == acting {
		return acting
	}
	n.log.Info("deputy-acting", zap.Bool("acting", acting))
	if acting {
		n.granter.ResetAsDeputy()
	}
	return acting
}

// replyAsDeputy replies to another node's report while the leader can't be reached.
func (n *Node) replyAsDeputy(r hub.Report, lease platform.Row) hub.ReportReply {
	reply := n.hub.Merge(time.Now(), r)
	reply.Leading, reply.Acting, reply.Deputy, reply.Lease = false, true, false, lease
	reply.Nodes = max(reply.Nodes, int(n.nodeCount.Load())) // some nodes haven't reported yet
	reply.Direct = max(reply.Direct, int(n.directNodes.Load()))
	return reply
}

// actingEpoch returns the negated term of the lease, which identifies the leader's deputy
// among the nodes that grant slots.
func actingEpoch(l leader.Lease) int64 { return -l.TermID() }

// availableDeputy returns the deputy if it may be queried in place of the leader.
func (n *Node) availableDeputy() (hub.Contact, bool) {
	at := n.deputy.Load()
	if at == nil || at.Address == "" || at.Key == n.key.Fingerprint() {
		return hub.Contact{}, false
	}
	refusedAt := n.deputyRefusedAt.Load()
	return *at, refusedAt == 0 || clock.SinceBoot()-time.Duration(refusedAt) > deputyBackoff
}

// reportToDeputy reports to the deputy and returns whether the deputy accepted the report.
func (n *Node) reportToDeputy(ctx context.Context, l leader.Lease, r hub.Report) bool {
	if n.isActing() {
		n.applyOwnReport(l, r)
		return true
	}
	at, ok := n.availableDeputy()
	if !ok || !n.leaderSuspected() {
		return false
	}
	ctx, cancel := lag.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r.Counts = n.gateway.Counts(actingEpoch(l))
	if r.Nodes > 0 {
		r.Counts = n.hub.WithCounts(r.Counts)
	}
	sentAt := clock.SinceBoot()
	reply, err := (&hub.Client{Endpoint: n.endpoint}).Exchange(ctx, at.Address, r)
	if err != nil || !reply.Acting {
		n.recordRefusal(at, err)
		return false
	}
	n.deputyReplyAt.Store(int64(clock.SinceBoot()))
	n.applyReply(r, reply)
	n.onFeed(reply.Update, sentAt)
	n.placer.ObserveLease(reply.Lease)
	return true
}

// applyOwnReport merges this node's report while it is the acting deputy. The reports of the nodes that use
// it as their relay are merged one by one.
func (n *Node) applyOwnReport(l leader.Lease, r hub.Report) {
	r.Counts, r.Nodes = n.gateway.Counts(actingEpoch(l)), 0
	n.applyReply(r, n.HandleReport(r))
}

// deputyReached reports whether the deputy recently replied to a report.
func (n *Node) deputyReached() bool {
	repliedAt := n.deputyReplyAt.Load()
	return repliedAt != 0 && clock.SinceBoot()-time.Duration(repliedAt) < n.leaderTimeout()
}

// hasCoordinator reports whether this node need not look for a new leader in the store:
// either the leader replies, or its deputy does, which looks for the next leader itself and
// passes on the lease. Nodes with at least as many cores as the deputy look too, and may
// acquire the lease.
func (n *Node) hasCoordinator() bool {
	if n.leaderReached() {
		return true
	}
	at := n.deputy.Load()
	return at != nil && n.settings.Cores < at.Cores && n.deputyReached()
}

// acquireFromDeputy requests a slot at an engine from the deputy.
func (n *Node) acquireFromDeputy(ctx context.Context, q hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
	if n.isActing() {
		return n.AcquireSlot(ctx, q, func() {})
	}
	at, ok := n.availableDeputy()
	if !ok {
		return hub.SlotReply{}, nil, context.Canceled
	}
	reply, grant, err := (&hub.Client{Endpoint: n.endpoint}).AcquireSlot(ctx, at.Address, q)
	n.addGranted(reply)
	if err != nil && ctx.Err() == nil {
		n.recordRefusal(at, err)
	}
	return reply, grant, err
}

// recordRefusal records that the deputy didn't reply, or refused because it reaches the
// leader.
func (n *Node) recordRefusal(at hub.Contact, err error) {
	n.deputyRefusedAt.Store(int64(clock.SinceBoot()))
	n.log.Info("deputy-refused", zap.String("deputy", at.Address), zap.Error(err))
}

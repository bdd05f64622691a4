package front

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/balance"
	"guavapaddle/core/fleet"
	"guavapaddle/core/leader"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/gateway"
	"guavapaddle/internal/hub"
)

// AcquireSlot waits until a request of a node, which may be this one, is granted a slot at an
// engine or refused.
func (n *Node) AcquireSlot(ctx context.Context, q hub.SlotRequest, queued func()) (hub.SlotReply, hub.SlotGrant, error) {
	l, _ := n.placer.Leader()
	granter := l.TermID()
	if !n.placer.IsLeading() {
		switch {
		case n.isActing():
			granter = actingEpoch(l)
		case n.passesOn():
			queued() // this node notices by itself if the leader doesn't reply
			return n.acquireForNode(ctx, q)
		default:
			return hub.SlotReply{}, nil, context.Canceled
		}
	}
	b, blocked, trial := n.hub.Admit(time.Now(), q.Service, q.SharedParts())
	if blocked { // the node may not know of the block yet
		why := string(gateway.BlockReason(b))
		n.log.Info("place", zap.String("request-id", q.Request), zap.Bool("granted", false), zap.String("why", why), zap.String("parts", b.Name()))
		return hub.SlotReply{Granter: granter, Why: why}, uncounted{}, nil
	}
	if trial {
		n.log.Warn("prompt-trial", zap.String("request-id", q.Request), zap.String("parts", b.Name()), zap.Int("trials", b.Trials+1), zap.Duration("age", b.Age))
	}
	d, grant, err := n.granter.AcquireSlot(ctx, q, queued)
	reply := hub.SlotReply{Granted: d.Granted, Trial: trial, Granter: granter, Server: d.Selection.Server.ID, Wait: d.Selection.Wait, Why: string(d.Reason), After: d.RetryAfter}
	if q.Entry && d.Granted {
		reply.Entry = entryOf(d.Selection.Server)
	}
	return reply, grant, err
}

// acquireForNode requests a slot for a node that uses this one as its relay. If no granter replies, this node
// selects an engine by itself, since the other one doesn't know the engines; but not from a copy that may
// lack departures, nor for a request that a granter has to charge to a quota.
func (n *Node) acquireForNode(ctx context.Context, q hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
	reply, grant, err := n.acquireSlot(ctx, q)
	if err == nil || ctx.Err() != nil || q.Charge.Team != "" || !n.isCopyFresh() {
		return reply, grant, err
	}
	c, reason := n.gateway.Pick(q.PickRequest())
	if reason != balance.Picked {
		return hub.SlotReply{}, nil, err
	}
	n.log.Info("picked-for-node", zap.String("request-id", q.Request), zap.String("server", c.Server.ID), zap.Duration("age", c.Age), zap.Error(err))
	return hub.SlotReply{Granted: true, Server: c.Server.ID, Entry: entryOf(c.Server), Wait: c.Wait}, uncounted{}, nil
}

// uncounted is a slot that no granter counts.
type uncounted struct{}

// SetRate implements hub.SlotGrant.
func (uncounted) SetRate(*float64) {}

// SetLoad implements hub.SlotGrant.
func (uncounted) SetLoad(balance.LoadReport) {}

// PrefillDone implements hub.SlotGrant.
func (uncounted) PrefillDone() {}

// Done implements hub.SlotGrant.
func (uncounted) Done(balance.Result) {}

// entryOf returns what a node needs to know of a server to send it a granted request.
func entryOf(s fleet.Server) *fleet.Server {
	s.Resident, s.OnDisk, s.InMemory, s.GrantOnly = nil, nil, nil, true
	return &s
}

// acquireSlot requests a slot at an engine from the leader, or from its deputy if the leader
// is suspected to be unreachable.
func (n *Node) acquireSlot(ctx context.Context, q hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
	l, ok := n.placer.Leader()
	if !ok || l.Node == "" && !n.usesRelays(l) {
		return hub.SlotReply{}, nil, context.Canceled
	}
	if l.Key == n.key.Fingerprint() {
		return n.AcquireSlot(ctx, q, func() {})
	}
	if n.usesRelays(l) {
		q.Entry = true
		return n.acquireThroughRelays(ctx, l, q)
	}
	if n.leaderSuspected() {
		return n.acquireFromDeputy(ctx, q)
	}
	return n.acquireFromLeader(ctx, l, q)
}

// acquireThroughRelays requests a slot from the first relay that replies, and from the leader and its deputy if two
// fail.
func (n *Node) acquireThroughRelays(ctx context.Context, l leader.Lease, q hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
	for range 2 {
		u := n.upstreamOf(l)
		if !u.isRelay {
			break
		}
		if reply, grant, retry, err := n.acquireThroughRelay(ctx, u, q); !retry {
			return reply, grant, err
		}
	}
	if l.Node == "" {
		return hub.SlotReply{}, nil, context.Canceled
	}
	reply, grant, err := n.acquireFromLeader(ctx, l, q)
	if err != nil && ctx.Err() == nil {
		return n.acquireFromDeputy(ctx, q)
	}
	return reply, grant, err
}

// acquireFromLeader requests a slot from the leader itself.
func (n *Node) acquireFromLeader(ctx context.Context, l leader.Lease, q hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
	waitCtx, cancel := n.waitingCalls.WithCancel(ctx, l.Key)
	defer cancel()
	sentAt := clock.SinceBoot()
	reply, grant, err := n.leaderClient().AcquireSlot(waitCtx, l.Address, q)
	n.suspectLeader(l, sentAt, err)
	n.addGranted(reply)
	return reply, grant, err
}

// acquireThroughRelay requests a slot from a relay. If that fails the relay isn't used for a while, and the
// request is to be repeated: what the leader may have granted is released with the relay's stream.
func (n *Node) acquireThroughRelay(ctx context.Context, u upstream, q hub.SlotRequest) (reply hub.SlotReply, grant hub.SlotGrant, retry bool, err error) {
	waitCtx, cancel := n.waitingCalls.WithCancel(ctx, u.key)
	defer cancel()
	reply, grant, err = n.leaderClient().AcquireSlot(waitCtx, u.address, q)
	n.addGranted(reply)
	if retry = err != nil && ctx.Err() == nil; retry {
		n.avoidRelay(u, err)
	}
	return reply, grant, retry, err
}

// leaderClient returns a client that records each message from the leader.
func (n *Node) leaderClient() *hub.Client {
	return &hub.Client{Endpoint: n.endpoint, OnReply: n.onLeaderMessage}
}

// onLeaderMessage records a message from the leader.
func (n *Node) onLeaderMessage() {
	n.leaderMessageAt.Store(int64(clock.SinceBoot()))
	n.leaderSuspect.Store(false)
}

// suspectLeader cancels the calls that wait for the leader if it has sent nothing since a
// slot request that it should have replied to. Until its next message, slots are requested
// from the deputy, or this node selects servers by itself.
func (n *Node) suspectLeader(l leader.Lease, sentAt time.Duration, err error) {
	var silent *hub.AckTimeoutError
	if !errors.As(err, &silent) || time.Duration(n.leaderMessageAt.Load()) >= sentAt || n.leaderSuspect.Swap(true) {
		return
	}
	n.waitingCalls.CancelAll(l.Key)
	n.log.Warn("leader-suspect", zap.String("leader", l.Node), zap.Duration("waited", clock.SinceBoot()-sentAt))
}

package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/leader"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
)

// callGroup cancels the calls that wait for the leader when the leader stops replying.
type callGroup struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// AcquireSlot waits until a request of a node, which may be this one, is granted a slot at an
// engine or refused.
func (n *Node) AcquireSlot(ctx context.Context, q hub.SlotRequest, queued func()) (hub.SlotReply, hub.SlotGrant, error) {
	l, _ := n.placer.Leader()
	granter := l.TermID()
	if !n.placer.IsLeading() {
		if !n.isActing() {
			return hub.SlotReply{}, nil, context.Canceled
		}
		granter = actingEpoch(l)
	}
	d, grant, err := n.granter.AcquireSlot(ctx, q, queued)
	return hub.SlotReply{Granted: d.Granted, Granter: granter, Server: d.Selection.Server.ID, Wait: d.Selection.Wait, Why: string(d.Reason), After: d.RetryAfter}, grant, err
}

// acquireSlot requests a slot at an engine from the leader, or from its deputy if the leader
// is suspected to be unreachable.
func (n *Node) acquireSlot(ctx context.Context, q hub.SlotRequest) (hub.SlotReply, hub.SlotGrant, error) {
	l, ok := n.placer.Leader()
	if !ok || l.Node == "" {
		return hub.SlotReply{}, nil, context.Canceled
	}
	if l.Key == n.key.Fingerprint() {
		return n.AcquireSlot(ctx, q, func() {})
	}
	if n.leaderSuspected() {
		return n.acquireFromDeputy(ctx, q)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.leaderCalls.context(), cancel)()
	sentAt := clock.SinceBoot()
	reply, grant, err := n.leaderClient().AcquireSlot(ctx, l.Address, q)
	n.suspectLeader(l, sentAt, err)
	return reply, grant, err
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
	n.leaderCalls.cancelAll()
	n.log.Warn("leader-suspect", zap.String("leader", l.Node), zap.Duration("waited", clock.SinceBoot()-sentAt))
}

// context returns a context that lasts until the waiting calls are canceled.
func (c *callGroup) context() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		c.ctx, c.cancel = context.WithCancel(context.Background())
	}
	return c.ctx
}

// cancelAll cancels the waiting calls.
func (c *callGroup) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx != nil {
		c.cancel()
		c.ctx = nil
	}
}

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

// contact ends the calls that wait for a holder that has fallen silent.
type contact struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// Place answers a request for a place at an engine.
func (n *Node) Place(ctx context.Context, p hub.Place, queued func()) (hub.Placed, hub.Grant, error) {
	l, _ := n.placer.Leader()
	by := l.Epoch
	if !n.placer.Holding() {
		if !n.isActing() {
			return hub.Placed{}, nil, context.Canceled
		}
		by = actingEpoch(l)
	}
	d, grant, err := n.granter.Place(ctx, p, queued)
	return hub.Placed{Granted: d.Granted, Granter: by, Server: d.Selection.Server.ID, Wait: d.Selection.Wait, Why: string(d.Reason), After: d.RetryAfter}, grant, err
}

// place asks the holder of the lease for a place at an engine.
func (n *Node) place(ctx context.Context, p hub.Place) (hub.Placed, hub.Grant, error) {
	l, ok := n.placer.Leader()
	if !ok || l.Node == "" {
		return hub.Placed{}, nil, context.Canceled
	}
	if l.Key == n.key.Fingerprint() {
		return n.Place(ctx, p, func() {})
	}
	if n.leaderDoubted() {
		return n.placeByDeputy(ctx, p)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.contact.context(), cancel)()
	sent := clock.Boot()
	placed, grant, err := n.holder().Place(ctx, l.Address, p)
	n.doubt(l, sent, err)
	return placed, grant, err
}

// holder returns a client that notes each sign of life of the holder.
func (n *Node) holder() *hub.Client { return &hub.Client{Endpoint: n.endpoint, Heard: n.hear} }

// hear notes a sign of life of the holder.
func (n *Node) hear() {
	n.heardAt.Store(int64(clock.Boot()))
	n.suspect.Store(false)
}

// doubt ends the waits for a holder from which nothing was heard since a request
// for a place that it should have answered. Until it is heard of
// again, the deputy is asked, or this node picks servers by itself.
func (n *Node) doubt(l leader.Lease, sent time.Duration, err error) {
	var silent *hub.SilentError
	if !errors.As(err, &silent) || time.Duration(n.heardAt.Load()) >= sent || n.suspect.Swap(true) {
		return
	}
	n.contact.lose()
	n.log.Warn("leader-suspect", zap.String("leader", l.Node), zap.Duration("waited", clock.Boot()-sent))
}

// context returns a context that lasts until the holder is lost.
func (c *contact) context() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		c.ctx, c.cancel = context.WithCancel(context.Background())
	}
	return c.ctx
}

// lose ends the calls that wait.
func (c *contact) lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx != nil {
		c.cancel()
		c.ctx = nil
	}
}

package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/leader"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
	"guavapaddle/platform"
)

// deputyPause is how long a deputy that didn't answer, or reaches the holder, isn't
// asked again.
const deputyPause = 500 * time.Millisecond

// isActing tells whether this node is the deputy of a holder that it can't reach, and so
// says where requests begin. Places are no orders: two nodes that grant them cost time
// and nothing else. Without it nodes pick engines by themselves until the lease has lapsed,
// so that their picks collide at engines with few slots, and all of them follow the store.
func (n *Node) isActing() bool {
	acting := n.isDeputy.Load() && !n.placer.Holding() && n.leaderDoubted()
	if n.acting.Swap(acting) == acting {
		return acting
	}
	n.log.Info("deputy-acting", zap.Bool("acting", acting))
	if acting {
		n.granter.ResetAsDeputy()
	}
	return acting
}

// act answers another node's report while nobody holds the lease.
func (n *Node) act(r hub.Report, lease platform.Row) hub.Picture {
	p := n.hub.Take(time.Now(), r)
	p.Leading, p.Acting, p.Deputy, p.Lease = false, true, false, lease
	p.Nodes = max(p.Nodes, int(n.nodes.Load())) // not all have reported yet
	return p
}

// actingEpoch returns what names the deputy of a holder among those that grant places.
func actingEpoch(l leader.Lease) int64 { return -l.Epoch }

// deputyToAsk returns the deputy if it may be asked in place of the holder.
func (n *Node) deputyToAsk() (hub.Contact, bool) {
	at := n.deputyAt.Load()
	if at == nil || at.Address == "" || at.Key == n.key.Fingerprint() {
		return hub.Contact{}, false
	}
	no := n.deputyRefused.Load()
	return *at, no == 0 || clock.Boot()-time.Duration(no) > deputyPause
}

// tellDeputy reports to the deputy, and tells whether it took the report.
func (n *Node) tellDeputy(ctx context.Context, l leader.Lease, r hub.Report) bool {
	if n.isActing() {
		n.take(r, n.Report(r))
		return true
	}
	at, ok := n.deputyToAsk()
	if !ok || !n.leaderDoubted() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r.Counts = n.gateway.Counts(actingEpoch(l))
	asked := clock.Boot()
	p, err := (&hub.Client{Endpoint: n.endpoint}).Exchange(ctx, at.Address, r)
	if err != nil || !p.Acting {
		n.refusedBy(at, err)
		return false
	}
	n.deputyHeard.Store(int64(clock.Boot()))
	n.take(r, p)
	n.fed(p.Update, asked)
	n.placer.Learn(p.Lease)
	return true
}

// isCovered tells whether this node needn't look for the holder of the lease in the
// store: the holder answers, or its deputy does, which looks for the next one itself and
// tells of it. Nodes as large as the deputy look too, and may take the lease.
func (n *Node) isCovered() bool {
	if n.leaderReached() {
		return true
	}
	at, answered := n.deputyAt.Load(), n.deputyHeard.Load()
	return at != nil && n.settings.Cores < at.Cores && answered != 0 && clock.Boot()-time.Duration(answered) < n.silence()
}

// placeByDeputy asks the deputy for a place at an engine.
func (n *Node) placeByDeputy(ctx context.Context, p hub.Place) (hub.Placed, hub.Grant, error) {
	if n.isActing() {
		return n.Place(ctx, p, func() {})
	}
	at, ok := n.deputyToAsk()
	if !ok {
		return hub.Placed{}, nil, context.Canceled
	}
	placed, grant, err := (&hub.Client{Endpoint: n.endpoint}).Place(ctx, at.Address, p)
	if err != nil && ctx.Err() == nil {
		n.refusedBy(at, err)
	}
	return placed, grant, err
}

// refusedBy notes that the deputy didn't answer, or reaches the holder.
func (n *Node) refusedBy(at hub.Contact, err error) {
	n.deputyRefused.Store(int64(clock.Boot()))
	n.log.Info("deputy-refused", zap.String("deputy", at.Address), zap.Error(err))
}

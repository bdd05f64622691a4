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

// secondPause is how long a deputy that didn't answer, or reaches the holder, isn't
// asked again.
const secondPause = 500 * time.Millisecond

// isActing tells whether this node is the deputy of a holder that it can't reach, and so
// says where requests begin. Places are no orders: two nodes that grant them cost time
// and nothing else. A fleet whose nodes picked engines by themselves until the lease had
// lapsed had a third of its sends refused by full engines, and all of its nodes followed
// the store.
func (n *Node) isActing() bool {
	acting := n.deputy.Load() && !n.placer.Holding() && (!n.leaderReached() || n.suspect.Load())
	if n.acting.Swap(acting) == acting {
		return acting
	}
	n.log.Info("deputy-acting", zap.Bool("acting", acting))
	if acting {
		n.granter.Reset()
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

// asked returns the deputy if it may be asked in place of the holder.
func (n *Node) asked() (hub.Contact, bool) {
	at := n.second.Load()
	if at == nil || at.Address == "" || at.Key == n.key.Fingerprint() {
		return hub.Contact{}, false
	}
	no := n.secondNo.Load()
	return *at, no == 0 || clock.Boot()-time.Duration(no) > secondPause
}

// tellSecond reports to the deputy, and tells whether it took the report.
func (n *Node) tellSecond(ctx context.Context, l leader.Lease, r hub.Report) bool {
	if n.isActing() {
		n.take(n.Report(r))
		return true
	}
	at, ok := n.asked()
	if !ok || n.leaderReached() && !n.suspect.Load() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r.Counts = n.gateway.Counts(actingEpoch(l))
	p, err := (&hub.Client{Endpoint: n.endpoint}).Exchange(ctx, at.Address, r)
	if err != nil || !p.Acting {
		n.refusedBy(at, err)
		return false
	}
	n.secondAt.Store(int64(clock.Boot()))
	n.take(p)
	n.fed(p.Update)
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
	at, answered := n.second.Load(), n.secondAt.Load()
	return at != nil && n.settings.Cores < at.Cores && answered != 0 && clock.Boot()-time.Duration(answered) < n.silence()
}

// placeBySecond asks the deputy for a place at an engine.
func (n *Node) placeBySecond(ctx context.Context, p hub.Place) (hub.Placed, hub.Grant, error) {
	if n.isActing() {
		return n.Place(ctx, p, func() {})
	}
	at, ok := n.asked()
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
	n.secondNo.Store(int64(clock.Boot()))
	n.log.Info("deputy-refused", zap.String("deputy", at.Address), zap.Error(err))
}

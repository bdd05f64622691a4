package front

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"guavapaddle/core/leader"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/follow"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/lag"
	"guavapaddle/io/jsonhttp"
)

const (
	// minReportInterval is the time between two reports of a node to the leader in a small
	// deployment. With more than minIntervalNodes nodes the interval grows with their
	// number, so that the leader replies to at most 80 reports per second.
	minReportInterval = 200 * time.Millisecond
	minIntervalNodes  = 16
	maxReportInterval = 800 * time.Millisecond
	// maxBackoff limits the delay after failed exchanges. Each may cost the leader a
	// handshake, and a slow leader must get the chance to reply.
	maxBackoff = 2 * time.Second
	// redialAfter is how long the leader must have been silent before the connection is
	// considered lost rather than slow.
	redialAfter = 1500 * time.Millisecond
	// exchangeTimeout limits one exchange and the opening of a connection.
	exchangeTimeout = 400 * time.Millisecond
	// leaderGrace is how long the leader may be silent, in addition to a report interval,
	// before the node looks for a new leader in the store.
	leaderGrace  = 500 * time.Millisecond
	storeTimeout = time.Second
	// ownConfirmPercent is the configuration age, in percent of the maximum age at which API
	// keys are accepted, from which on a node queries the store itself. Nodes that get
	// replies from the leader stay below it.
	ownConfirmPercent = 60
)

type (
	// clientCache keeps one client per address.
	clientCache struct {
		maxBody int64 // limit of a reply in bytes

		mu      sync.Mutex
		clients map[string]*jsonhttp.Client
	}
)

// runExchange reports to the leader, or to its deputy while the leader is silent, until ctx
// ends.
func (n *Node) runExchange(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minReportInterval, maxBackoff
	for wait := minReportInterval; n.refresher.sleep(ctx, wait); n.refresher.finish() {
		wait = n.reportInterval()
		l, ok := n.placer.Leader()
		u := n.upstreamOf(l)
		if !ok || l.Node == "" && !u.isRelay {
			n.queryLease(ctx)
			continue
		}
		r := n.newReport(l)
		sentAt := clock.SinceBoot()
		reply, err := n.sendReport(ctx, u, r)
		if err == nil && (reply.Leading || reply.Relaying) {
			b.Reset()
			n.onLeaderReply(u, l, r, reply, sentAt)
			continue
		}
		if err == nil && n.placer.ObserveLease(reply.Lease) {
			n.log.Info("leader-left", zap.String("leader", l.Node), zap.Int64("epoch", l.Epoch))
			continue
		}
		if u.isRelay {
			wait = n.onRelayFailure(u, err)
			continue
		}
		n.onLeaderFailure(l, err)
		if n.reportToDeputy(ctx, l, r) {
			continue
		}
		n.gateway.LeaderLost()
		n.queryLease(ctx)
		wait = b.NextBackOff()
	}
}

// newReport returns the report of this node to the leader.
func (n *Node) newReport(l leader.Lease) hub.Report {
	r := n.gateway.Report(n.settings.Node, n.granterOf(l))
	if n.passesOn() {
		r = n.hub.WithNodes(time.Now(), r)
		r.Keys = n.unreportedKeys(l)
	}
	r.At = hub.Contact{Address: n.settings.Peers, Key: n.key.Fingerprint(), Cores: n.settings.Cores}
	r.Known = n.follower.Versions()
	r.Contact = n.follower.StoreAge(time.Now())
	r.Heard, r.Roster, r.Lease = n.ack, n.keyRoster, n.placer.LeaseRevision()
	r.Update = n.recentUpdate(r)
	if r.Update != nil {
		u := n.follower.WithConfig(*r.Update, follow.Versions{Operator: *n.leaderOperator.Load()})
		r.Update = &u
	}
	r.Echo = n.clockEcho
	r.Quotas = n.gateway.QuotaUsage()
	r.Departed = n.undeclaredLeaving()
	r.Origins, r.KnownOrigins = n.unreportedOrigins(l), n.origins.received
	r.Echo.After = clock.SinceBoot() - n.follower.ConfigAge() - n.clockEchoAt
	return r
}

// confirmConfig records that the reporting node's configuration was the newest when the
// store replied to that node. The time is known on this node's clock through the last reply
// that the reporting node got from here.
func (n *Node) confirmConfig(r hub.Report, id uint64) {
	if r.Update == nil || r.Echo.Hub == 0 || r.Echo.Hub != id {
		return
	}
	n.follower.ConfirmConfig(r.Update.Operator, r.Echo.Stamp+r.Echo.After)
}

// sendReport reports to the upstream. A silent leader gets a shorter timeout, because the
// report must reach its deputy in time too.
func (n *Node) sendReport(ctx context.Context, u upstream, r hub.Report) (hub.ReportReply, error) {
	if u.key == n.key.Fingerprint() {
		return n.HandleReport(r), nil
	}
	timeout := exchangeTimeout
	if n.leaderReached() {
		timeout += n.reportInterval()
	}
	ctx, cancel := lag.WithTimeout(ctx, timeout)
	defer cancel()
	return n.leaderClient().Exchange(ctx, u.address, r)
}

// onLeaderReply processes the reply of the leader, or of a relay, to a report. sentAt is the boot time
// at which the report was sent.
func (n *Node) onLeaderReply(u upstream, l leader.Lease, r hub.Report, reply hub.ReportReply, sentAt time.Duration) {
	n.nodeCount.Store(int64(reply.Nodes))
	n.directNodes.Store(int64(reply.Direct))
	n.relayGranter.Store(reply.Granter)
	n.relayRefusals = 0
	n.reportedRoster = n.sentRoster
	if u != n.lastUpstream {
		n.lastUpstream = u
		n.log.Info("upstream", zap.String("upstream", u.node), zap.Bool("relay", u.isRelay), zap.String("leader", l.Node), zap.Int64("epoch", l.Epoch))
	}
	if was := n.leaderReplyAt.Swap(int64(clock.SinceBoot())); was == 0 || time.Duration(int64(clock.SinceBoot())-was) > n.leaderTimeout() {
		n.log.Info("leader-reached", zap.String("leader", l.Node), zap.Int64("epoch", l.Epoch), zap.Int("nodes", reply.Nodes))
	}
	n.deputy.Store(&reply.DeputyAt)
	if was := n.isDeputy.Swap(reply.Deputy); was != reply.Deputy {
		n.log.Info("deputy", zap.Bool("following", reply.Deputy), zap.String("leader", l.Node))
	}
	if reply.Deputy && len(reply.Keys) > 0 {
		n.peerKeys.add(reply.Keys) // the nodes that may query the deputy
		n.keyRoster = reply.Roster
	}
	n.applyReply(r, reply)
	if u.key != n.key.Fingerprint() {
		n.hear(u.node)
		if reply.Leading {
			n.confirmedAt.Store(int64(sentAt))
		}
		n.onFeed(reply.Update, sentAt)
		n.placer.ObserveLease(reply.Lease)
	}
}

// applyReply processes the part of a reply to a report that the leader and its deputy have
// in common.
func (n *Node) applyReply(r hub.Report, reply hub.ReportReply) {
	n.ack = reply.Heard
	n.origins.reported, n.origins.received = n.origins.pending, reply.KnownOrigins
	n.addOrigins(reply.Origins)
	n.clockEcho, n.clockEchoAt = hub.ClockEcho{Hub: reply.Heard.Hub, Stamp: reply.Stamp}, clock.SinceBoot()
	if r.Nodes > 0 {
		reply = n.hub.ApplyAsRelay(time.Now(), n.gateway.Counts(reply.Granter), reply)
	}
	n.gateway.ApplyReply(reply)
	n.addLeaving(reply.Departed...)
	n.applyQuotas(reply)
	n.leaderOperator.Store(&reply.Update.Operator)
	n.leaderServers.Store(&reply.Update.Version)
	n.leaderConfig.Store(reply.Update.ConfigVersion)
}

// applyQuotas applies the state of the quotas in a reply to a report. A relay that has not passed the usage
// of this node on yet replies without any, and one that reaches no granter with the last one.
func (n *Node) applyQuotas(reply hub.ReportReply) {
	if !reply.Relaying || reply.UsageNumber != 0 {
		n.gateway.UpdateQuotas(reply.UsageNumber, reply.Quotas, reply.Nodes)
	}
	if reply.Relaying && reply.Granter == 0 {
		n.gateway.LeaderLost()
	}
}

// recentUpdate returns what this node has recently read of the store's tables, since the store may
// serve this node and reject the leader, and a configuration that the store has lost.
func (n *Node) recentUpdate(r hub.Report) *follow.Update {
	at := n.leaderServers.Load()
	if at == nil || at.IsZero() {
		return nil
	}
	leader := follow.Versions{Operator: r.Known.Operator, Servers: *at, Config: n.leaderConfig.Load()}
	if r.Contact > n.maxFeedAge() && !at.Before(r.Known.Servers) && !n.follower.HasLostConfig(leader.Config) {
		return nil
	}
	u := n.follower.ChangesSince(time.Now(), leader)
	return &u
}

// maxFeedAge returns the age from which on the leader's copy of the store's tables is
// considered outdated.
func (n *Node) maxFeedAge() time.Duration {
	return follow.StaleAfter(time.Duration(n.settings.NoticeMS)*time.Millisecond, n.leaderTimeout())
}

// onFeed applies the leader's copy of the store's tables. A copy that is outdated, or of an earlier
// era of the store, doesn't keep this node from following the store. sentAt is the boot time at which this node
// sent the report that the copy answers.
func (n *Node) onFeed(u follow.Update, sentAt time.Duration) {
	if !n.follower.ApplyUpdate(time.Now(), u) {
		n.log.Info("update-of-earlier-era", zap.Stringer("revision", u.Version))
		return
	}
	n.follower.ConfirmConfig(u.Operator, sentAt-u.ConfigAge)
	if u.Age <= n.maxFeedAge() {
		n.feedAt.Store(int64(clock.SinceBoot()))
	}
}

// hasFeed reports whether the leader passes on the changes of the store, so that this node
// need not follow the store.
func (n *Node) hasFeed() bool {
	at := n.feedAt.Load()
	return n.role() == follow.Standalone && at != 0 && clock.SinceBoot()-time.Duration(at) < n.leaderTimeout() && !n.confirmationDue()
}

// confirmationDue reports whether this node should query the store itself for the newest
// configuration, before its own is too old for accepting API keys.
func (n *Node) confirmationDue() bool {
	maxAge := n.gateway.KeyAge
	return maxAge > 0 && n.follower.ConfigAge() > maxAge*ownConfirmPercent/100
}

// hasLeader reports whether another node is the leader and replies.
func (n *Node) hasLeader() bool { return n.role() == follow.Standalone && n.leaderReached() }

// role returns the role in which this node follows the store.
func (n *Node) role() follow.Role {
	l, ok := n.placer.Leader()
	switch {
	case ok && l.Key == n.key.Fingerprint(), n.isActing():
		return follow.Leader
	case n.isDeputy.Load() && n.leaderReached():
		return follow.Deputy
	default:
		return follow.Standalone
	}
}

// reportInterval returns the time between two reports of this node. A deputy reports at the
// shortest interval, since all nodes depend on the changes that it reads from the store.
func (n *Node) reportInterval() time.Duration {
	if n.isDeputy.Load() {
		return minReportInterval
	}
	return min(max(minReportInterval, minReportInterval*time.Duration(n.directNodes.Load())/minIntervalNodes), maxReportInterval)
}

// leaderTimeout returns for how long the leader may be silent.
func (n *Node) leaderTimeout() time.Duration {
	return n.reportInterval() + lag.Extend(leaderGrace)
}

// onLeaderFailure logs a failed exchange, and redials if the connection has been silent for
// long.
func (n *Node) onLeaderFailure(l leader.Lease, err error) {
	if at := n.leaderReplyAt.Load(); clock.SinceBoot()-time.Duration(at) > redialAfter {
		n.endpoint.Redial(l.Address)
	}
	if !n.leaderReached() {
		n.waitingCalls.CancelAll(l.Key)
	}
	n.log.Warn("leader-silent", zap.String("leader", l.Node), zap.Error(err))
}

// leaderReached reports whether the leader replied to a report recently.
func (n *Node) leaderReached() bool {
	at := n.leaderReplyAt.Load()
	return at != 0 && clock.SinceBoot()-time.Duration(at) < n.leaderTimeout()
}

// leaderSuspected reports whether the leader hasn't replied to a report recently, or has sent
// nothing since a slot request that it left without a reply.
func (n *Node) leaderSuspected() bool { return !n.leaderReached() || n.leaderSuspect.Load() }

// requestLoad asks the leader to load a model or adapter.
func (n *Node) requestLoad(ctx context.Context, q hub.LoadRequest) hub.LoadReply {
	l, ok := n.placer.Leader()
	if !ok || l.Node == "" {
		return hub.LoadReply{Why: "no-leader"}
	}
	if l.Key == n.key.Fingerprint() {
		return n.RequestLoad(ctx, q)
	}
	reply, err := n.leaderClient().RequestLoad(ctx, n.upstreamOf(l).address, q)
	if err != nil {
		n.log.Info("want-failed", zap.String("leader", l.Node), zap.String("model", q.Model), zap.String("adapter", q.Adapter), zap.Error(err))
	}
	return reply
}

// HandleReport processes the report of a node, which may be this one, and returns the reply.
func (n *Node) HandleReport(r hub.Report) hub.ReportReply {
	reply := n.placer.Report(r)
	if n.placer.LeaseRevision() != r.Lease {
		reply.Lease = n.placer.LeaseRow() // even if the lease was released
	}
	if !reply.Leading && n.isActing() {
		reply = n.replyAsDeputy(r, reply.Lease)
	}
	if !reply.Leading && !reply.Acting && n.passesOn() && (n.reachedGranter() != 0 || n.isCopyFresh()) {
		reply = n.replyAsRelay(r, reply.Lease)
	}
	if !reply.Leading && !reply.Acting && !reply.Relaying {
		return reply
	}
	if !reply.Relaying {
		n.granter.MergeLimits(r.Limits)
		n.granter.MergeSpeeds(r.Speeds)
		reply.Quotas = n.granter.ReportUsage(r.Node, r.At.Key, r.Quotas)
		for _, u := range r.Usage {
			reply.Usage = append(reply.Usage, hub.NodeQuotas{Node: u.Node, Number: u.Report.Number, States: n.granter.ReportUsage(u.Node, u.Key, u.Report)})
		}
	}
	if len(r.Keys) > 0 {
		n.peerKeys.add(r.Keys) // nodes that lose their relay call this node
	}
	n.addOrigins(r.Origins)
	if reply.Deputy {
		known := r.KnownOrigins
		if r.Heard.Hub != reply.Heard.Hub {
			known = 0
		}
		reply.Origins, reply.KnownOrigins = n.originsForDeputy(known)
	}
	n.addLeaving(r.Departed...)
	reply.Departed = n.undeclaredLeaving()
	if r.Update != nil {
		if !r.Update.Partial {
			n.follower.ApplyUpdate(time.Now(), *r.Update)
		}
		n.confirmConfig(r, reply.Heard.Hub)
	}
	reply.Update = n.updateFor(r, reply)
	reply.Stamp = clock.SinceBoot()
	return reply
}

// updateFor returns the changes of the store's tables that a reporting node lacks.
func (n *Node) updateFor(r hub.Report, reply hub.ReportReply) follow.Update {
	now := time.Now()
	l, _ := n.placer.Leader()
	switch {
	case len(l.Relays) == 0:
		return n.follower.WithConfig(n.follower.ChangesSince(now, r.Known), r.Known)
	case n.holdsEngines(l, r.Node, reply):
		return n.follower.WithOwnConfig(n.follower.ChangesSince(now, r.Known), r.Known)
	default:
		return n.follower.WithOwnConfig(n.follower.PartialChangesSince(now, r.Known), r.Known)
	}
}

// RequestLoad serves the load request of a node, which may be this one.
func (n *Node) RequestLoad(ctx context.Context, q hub.LoadRequest) hub.LoadReply {
	if n.passesOn() && !n.isActing() {
		return n.requestLoad(ctx, q)
	}
	return n.placer.RequestLoad(ctx, q)
}

// get returns the client for an address.
func (c *clientCache) get(address string) *jsonhttp.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients == nil {
		c.clients = map[string]*jsonhttp.Client{}
	}
	client := c.clients[address]
	if client == nil {
		client = &jsonhttp.Client{Address: address, ConnectTimeout: 300 * time.Millisecond, MaxBody: c.maxBody}
		c.clients[address] = client
	}
	return client
}

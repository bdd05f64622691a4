package front

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/leader"
	"guavapaddle/core/relay"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/follow"
	"guavapaddle/internal/hub"
)

const (
	// silentBackoff and refusalBackoff are how long a relay isn't used again that didn't reply in time, or
	// refused.
	silentBackoff  = 5 * time.Second
	refusalBackoff = 500 * time.Millisecond
	// maxRefusals is how often in a row a relay may refuse a report before another one is used: it may
	// have to read this node's row first, or not know yet that it is a relay.
	maxRefusals = 5
	// relayRetryDelay and refusalRetryDelay are the delays before a report is repeated that a relay left
	// without a reply, or refused.
	relayRetryDelay   = 50 * time.Millisecond
	refusalRetryDelay = 100 * time.Millisecond
	// maxRelayTries is how many relays are tried before a node reports to the leader itself.
	maxRelayTries = 4
	// leaseReadTime is how long a node that starts may wait for its first read of the lease.
	leaseReadTime = time.Second
	// maxPeerConns is the number of connections that a node accepts from nodes other than relays. After a
	// restart of all nodes of a fleet without relays, each has an old one beside its new one.
	maxPeerConns = 2 * relay.DefaultMaxDirect
)

type (
	// upstream is the node to which this node reports and from which it requests slots: the leader, or
	// a relay.
	upstream struct {
		node, address, key string
		isRelay            bool
	}

	// relayChoice is the relay that this node uses. The zero value has chosen none.
	relayChoice struct {
		mu           sync.Mutex
		list         []relay.Relay            // as assigned
		order        []relay.Relay            // in which this node uses them
		avoidedUntil map[string]time.Duration // boot time by key, of relays that didn't reply
	}
)

// usesRelays reports whether this node is one that uses relays under a lease, even if none replies now.
func (n *Node) usesRelays(l leader.Lease) bool {
	return len(l.Relays) > 0 && l.Key != n.key.Fingerprint() && !n.isDeputy.Load() && !l.HasRelay(n.settings.Node)
}

// upstreamOf returns the upstream of this node under a lease.
func (n *Node) upstreamOf(l leader.Lease) upstream {
	direct := upstream{node: l.Node, address: l.Address, key: l.Key}
	if !n.usesRelays(l) {
		return direct
	}
	r, ok := n.relays.choose(clock.SinceBoot(), l.Relays, n.settings.Node, n.settings.DataCentre)
	if !ok {
		return direct
	}
	return upstream{node: r.Node, address: r.Address, key: r.Key, isRelay: true}
}

// holdsEngines reports whether a reporting node gets the entries of engines: in a fleet with relays those and
// the deputy do. The others learn of an engine when they are granted a slot there.
func (n *Node) holdsEngines(l leader.Lease, node string, reply hub.ReportReply) bool {
	return !reply.Relaying && (reply.Deputy || node == n.settings.Node || l.HasRelay(node))
}

// holdsWhole reports whether other nodes rely on this node's copy of the servers.
func (n *Node) holdsWhole() bool { return n.role() != follow.Standalone || n.passesOn() }

// expectsRelay reports whether this node, which has just started, may expect both tables from a relay.
func (n *Node) expectsRelay() bool {
	if !n.placer.LeaseObserved() {
		return clock.SinceBoot()-n.startedAt < leaseReadTime
	}
	l, ok := n.placer.Leader()
	return ok && n.upstreamOf(l).isRelay
}

// isFedByRelay reports whether a relay replies to this node. It passes on who the leader is.
func (n *Node) isFedByRelay() bool {
	l, ok := n.placer.Leader()
	return ok && n.upstreamOf(l).isRelay && n.leaderReached()
}

// passesOn reports whether this node is a relay now, and not the leader.
func (n *Node) passesOn() bool {
	l, ok := n.placer.Leader()
	return ok && l.Key != n.key.Fingerprint() && l.HasRelay(n.settings.Node)
}

// isCopyFresh reports whether this node's copy of the store is young enough for other nodes to rely on it.
func (n *Node) isCopyFresh() bool { return n.follower.Age(time.Now()) <= n.maxFeedAge() }

// avoidRelay keeps a relay that failed to reply from being used for a while.
func (n *Node) avoidRelay(u upstream, err error) {
	backoff := refusalBackoff
	if isTimeout(err) {
		backoff = silentBackoff
	}
	if !n.relays.avoid(u.key, clock.SinceBoot(), backoff) {
		return
	}
	n.relayLosses.Inc()
	n.leaderSuspect.Store(false)
	n.waitingCalls.CancelAll(u.key)
	n.endpoint.Redial(u.address)
	n.log.Warn("relay-silent", zap.String("relay", u.node), zap.Duration("backoff", backoff), zap.Error(err))
}

// onRelayFailure processes a failed report to a relay, and returns the delay before the next report.
func (n *Node) onRelayFailure(u upstream, err error) time.Duration {
	if n.relayRefusals++; !isTimeout(err) && n.relayRefusals <= maxRefusals {
		return refusalRetryDelay
	}
	n.relayRefusals = 0
	n.avoidRelay(u, err)
	return relayRetryDelay
}

// isTimeout reports whether a call failed because there was no reply in time.
func isTimeout(err error) bool {
	var silent *hub.AckTimeoutError
	var timeout net.Error
	return errors.As(err, &silent) || errors.As(err, &timeout) && timeout.Timeout()
}

// acceptsPeer reports whether this node accepts another connection from a node at an address. Without a
// limit the handshakes of a large fleet, whose nodes all start at once, kept a leader from replying to any
// of them in time.
func (n *Node) acceptsPeer(address string, open int) bool {
	l, _ := n.placer.Leader()
	return open < maxPeerConns || slices.ContainsFunc(l.Relays, func(r relay.Relay) bool { return r.Address == address })
}

// choose returns the first relay that isn't avoided, and false if there is none among the first
// maxRelayTries.
func (c *relayChoice) choose(now time.Duration, list []relay.Relay, node, dataCentre string) (relay.Relay, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Equal(c.list, list) {
		c.list, c.order = list, relay.Order(list, node, dataCentre)
		c.avoidedUntil = map[string]time.Duration{}
	}
	for _, r := range c.order[:min(maxRelayTries, len(c.order))] {
		if now >= c.avoidedUntil[r.Key] {
			return r, true
		}
	}
	return relay.Relay{}, false
}

// avoid keeps the relay with a key from being chosen for a while, and reports whether it wasn't avoided before.
func (c *relayChoice) avoid(key string, now, backoff time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now < c.avoidedUntil[key] || c.avoidedUntil == nil {
		return false
	}
	c.avoidedUntil[key] = now + backoff
	return true
}

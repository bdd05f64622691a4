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
	"guavapaddle/io/jsonhttp"
)

const (
	// exchangeEvery is how often a node reports to the holder of the lease while
	// there are few; with more nodes than periodNodes the period grows with
	// them, so that the holder answers no more than 80 reports a second.
	exchangeEvery = 200 * time.Millisecond
	periodNodes   = 16
	periodMost    = 800 * time.Millisecond
	// backoffMost bounds the pause after exchanges that failed. Each may cost the
	// holder a handshake, and a slow one must get the chance to answer.
	backoffMost = 2 * time.Second
	// redialAfter is how long the holder must have been silent before the
	// connection is thought to be lost rather than slow.
	redialAfter = 1500 * time.Millisecond
	// exchangeTimeout bounds one exchange and the opening of a connection.
	exchangeTimeout = 400 * time.Millisecond
	// leaderSilent is how long the holder may be silent, beyond a period, before
	// the node looks for another one in the store.
	leaderSilent = 500 * time.Millisecond
	storeTimeout = time.Second
	// ownProofPart is the part, in percent, of the age up to which keys are relied on from
	// which on a node asks the store itself. Nodes that the holder answers stay below it.
	ownProofPart = 60
)

type (
	// clientCache keeps one client for each address.
	clientCache struct {
		mu      sync.Mutex
		clients map[string]*jsonhttp.Client
	}
)

// exchange reports to the holder of the lease, or to its deputy while it is silent,
// until ctx ends.
func (n *Node) exchange(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = exchangeEvery, backoffMost
	for wait := exchangeEvery; n.refresher.sleep(ctx, wait); n.refresher.done() {
		wait = n.period()
		l, ok := n.placer.Leader()
		if !ok || l.Node == "" {
			continue
		}
		r := n.report(l)
		asked := clock.Boot()
		p, err := n.tell(ctx, l, r)
		if err == nil && p.Leading {
			b.Reset()
			n.led(l, r, p, asked)
			continue
		}
		if err == nil && n.placer.Learn(p.Lease) {
			n.gateway.Keep(r.Marks)
			n.log.Info("leader-left", zap.String("leader", l.Node), zap.Int64("epoch", l.Epoch))
			continue
		}
		n.lost(l, err)
		if n.tellDeputy(ctx, l, r) {
			continue
		}
		n.gateway.Keep(r.Marks)
		n.gateway.Unled()
		wait = b.NextBackOff()
	}
}

// report returns what this node tells the holder.
func (n *Node) report(l leader.Lease) hub.Report {
	r := n.gateway.Report(n.settings.Node, l.Epoch)
	r.At = hub.Contact{Address: n.settings.Peers, Key: n.key.Fingerprint(), Cores: n.settings.Cores}
	r.Known = n.follower.Known()
	r.Contact = n.follower.Contact(time.Now())
	r.Heard, r.Roster, r.Lease = n.heard, n.roster, n.placer.LeaseVersion()
	r.Update = n.read(r)
	r.Echo = n.echo
	r.Quotas = n.gateway.Spent()
	r.Departed = n.departing()
	r.Echo.After = clock.Boot() - n.follower.ConfigAge() - n.echoAt
	return r
}

// proved takes in that the configuration was the newest when the store answered another
// node: at a time of this node's clock that is known by the last answer it got from here.
func (n *Node) proved(r hub.Report, id uint64) {
	if r.Update == nil || r.Echo.Hub == 0 || r.Echo.Hub != id {
		return
	}
	n.follower.Proved(r.Update.Operator, r.Echo.Stamp+r.Echo.After)
}

// tell reports to the holder of the lease. One that has fallen silent is given less time,
// since its deputy has to hear of this node too.
func (n *Node) tell(ctx context.Context, l leader.Lease, r hub.Report) (hub.Picture, error) {
	if l.Key == n.key.Fingerprint() {
		return n.Report(r), nil
	}
	timeout := exchangeTimeout
	if n.leaderReached() {
		timeout += n.period()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.holder().Exchange(ctx, l.Address, r)
}

// led takes in the answer of the holder of the lease.
// It was asked for at a boot time.
func (n *Node) led(l leader.Lease, r hub.Report, p hub.Picture, asked time.Duration) {
	n.nodes.Store(int64(p.Nodes))
	if was := n.reached.Swap(int64(clock.Boot())); was == 0 || time.Duration(int64(clock.Boot())-was) > n.silence() {
		n.log.Info("leader-reached", zap.String("leader", l.Node), zap.Int64("epoch", l.Epoch), zap.Int("nodes", p.Nodes))
	}
	n.deputyAt.Store(&p.DeputyAt)
	if was := n.isDeputy.Swap(p.Deputy); was != p.Deputy {
		n.log.Info("deputy", zap.Bool("following", p.Deputy), zap.String("leader", l.Node))
	}
	if p.Deputy && len(p.Keys) > 0 {
		n.peers.add(p.Keys) // who may all ask it
		n.roster = p.Roster
	}
	n.take(r, p)
	if l.Key != n.key.Fingerprint() {
		n.fed(p.Update, asked)
		n.placer.Learn(p.Lease)
	}
}

// take takes in what the holder, or its deputy, answers to a report.
func (n *Node) take(r hub.Report, p hub.Picture) {
	n.heard = p.Heard
	n.echo, n.echoAt = hub.Echo{Hub: p.Heard.Hub, Stamp: p.Stamp}, clock.Boot()
	n.gateway.Take(p)
	n.departs(p.Departed...)
	n.gateway.Told(r.Quotas.Number, p.Quotas, p.Nodes)
	n.holderHas.Store(p.Update.Version)
}

// read returns what this node has read of the store's tables of late: the store
// may serve this node and turn the holder of the lease away.
func (n *Node) read(r hub.Report) *follow.Update {
	has := n.holderHas.Load()
	if has == 0 || r.Contact > n.staleFeed() && r.Known.Servers <= has {
		return nil
	}
	u := n.follower.Since(time.Now(), follow.Known{Operator: r.Known.Operator, Servers: has})
	return &u
}

// staleFeed returns the age from which on the holder's copy of the store's tables isn't
// trusted.
func (n *Node) staleFeed() time.Duration {
	return follow.StaleAfter(time.Duration(n.settings.NoticeMS)*time.Millisecond, n.silence())
}

// fed takes in the holder's copy of the store's tables. A copy that is old
// doesn't keep this node from following the store.
// It was asked for at a boot time.
func (n *Node) fed(u follow.Update, asked time.Duration) {
	n.follower.Take(time.Now(), u)
	n.follower.Proved(u.Operator, asked-u.ConfigAge)
	if u.Age <= n.staleFeed() {
		n.fedAt.Store(int64(clock.Boot()))
	}
}

// beingFed tells whether the holder passes the store's changes on, so that this
// node needn't follow them.
func (n *Node) beingFed() bool {
	at := n.fedAt.Load()
	return n.role() == follow.Alone && at != 0 && clock.Boot()-time.Duration(at) < n.silence() && !n.proofDue()
}

// proofDue tells whether this node should ask the store itself whether its configuration
// is the newest, before it is too old for keys.
func (n *Node) proofDue() bool {
	bound := n.gateway.KeyAge
	return bound > 0 && n.follower.ConfigAge() > bound*ownProofPart/100
}

// isLed tells whether another node holds the lease and answers.
func (n *Node) isLed() bool { return n.role() == follow.Alone && n.leaderReached() }

// role tells for whom this node follows the store.
func (n *Node) role() follow.Role {
	l, ok := n.placer.Leader()
	switch {
	case ok && l.Key == n.key.Fingerprint(), n.isActing():
		return follow.Holder
	case n.isDeputy.Load() && n.leaderReached():
		return follow.Deputy
	default:
		return follow.Alone
	}
}

// period returns how often this node reports. What a deputy has read is news for all.
func (n *Node) period() time.Duration {
	if n.isDeputy.Load() {
		return exchangeEvery
	}
	return min(max(exchangeEvery, exchangeEvery*time.Duration(n.nodes.Load())/periodNodes), periodMost)
}

// silence returns for how long the holder may be silent.
func (n *Node) silence() time.Duration { return n.period() + leaderSilent }

// lost logs a failed exchange, and gives a connection up that was silent for
// long.
func (n *Node) lost(l leader.Lease, err error) {
	if at := n.reached.Load(); clock.Boot()-time.Duration(at) > redialAfter {
		n.endpoint.Renew(l.Address)
	}
	if !n.leaderReached() {
		n.contact.lose()
	}
	n.log.Warn("leader-silent", zap.String("leader", l.Node), zap.Error(err))
}

// leaderReached tells whether the holder answered of late.
func (n *Node) leaderReached() bool {
	at := n.reached.Load()
	return at != 0 && clock.Boot()-time.Duration(at) < n.silence()
}

// leaderDoubted tells whether the holder didn't answer of late, or left a request for a
// place without a sign of life.
func (n *Node) leaderDoubted() bool { return !n.leaderReached() || n.suspect.Load() }

// want asks the holder for a model or adapter.
func (n *Node) want(ctx context.Context, w hub.Want) hub.Offer {
	l, ok := n.placer.Leader()
	if !ok || l.Node == "" {
		return hub.Offer{Why: "no-leader"}
	}
	if l.Key == n.key.Fingerprint() {
		return n.Want(ctx, w)
	}
	o, err := n.holder().Want(ctx, l.Address, w)
	if err != nil {
		n.log.Info("want-failed", zap.String("leader", l.Node), zap.String("model", w.Model), zap.String("adapter", w.Adapter), zap.Error(err))
	}
	return o
}

// Report takes in another node's report.
func (n *Node) Report(r hub.Report) hub.Picture {
	p := n.placer.Report(r)
	if n.placer.LeaseVersion() != r.Lease {
		p.Lease = n.placer.LeaseRow() // also that it was given up
	}
	if !p.Leading && n.isActing() {
		p = n.act(r, p.Lease)
	}
	if !p.Leading && !p.Acting {
		return p
	}
	p.Quotas = n.granter.Spent(r)
	n.granter.LearnLimits(r.Limits)
	n.departs(r.Departed...)
	p.Departed = n.departing()
	if r.Update != nil {
		n.follower.Take(time.Now(), *r.Update)
		n.proved(r, p.Heard.Hub)
	}
	p.Update = n.follower.Since(time.Now(), r.Known)
	p.Stamp = clock.Boot()
	return p
}

// Want answers another node's request for an adapter.
func (n *Node) Want(ctx context.Context, w hub.Want) hub.Offer { return n.placer.Want(ctx, w) }

// get returns the client for an address.
func (c *clientCache) get(address string) *jsonhttp.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients == nil {
		c.clients = map[string]*jsonhttp.Client{}
	}
	k := c.clients[address]
	if k == nil {
		k = &jsonhttp.Client{Address: address, ConnectTimeout: 300 * time.Millisecond}
		c.clients[address] = k
	}
	return k
}

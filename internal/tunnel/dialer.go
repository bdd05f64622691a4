package tunnel

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"guavapaddle/core/path"
	"guavapaddle/core/relay"
	"guavapaddle/internal/lag"
	"guavapaddle/io/peer"
)

const (
	// maxPeerTries is how many nodes are asked to open one connection.
	maxPeerTries = 4
	// totalTimeout bounds the opening of a tunnel by all nodes together.
	totalTimeout = 700 * time.Millisecond
	// spread is the number of usable nodes among which the one with the fewest tunnels of this node is chosen.
	spread = 3
	// openTimeout bounds the opening of a tunnel by one node, which may dial the server for 300 ms.
	openTimeout = 450 * time.Millisecond
	// checkDelay is how long a connection for another node may take before this node's path to another server is checked at the
	// same time. Both may time out after 300 ms, within openTimeout.
	checkDelay = 100 * time.Millisecond
	// minSilentBackoff and maxSilentBackoff bound how long a node isn't asked again that didn't respond. It may
	// only have been slow to accept its first connection from this node, so the time doubles with each failure.
	minSilentBackoff = 250 * time.Millisecond
	maxSilentBackoff = 4 * time.Second
	// maxCallees bounds the nodes that are remembered. A node that restarts has another key.
	maxCallees = 4096
)

// backoffs is how long a node isn't asked again that refused, by reason.
var backoffs = map[Reason]time.Duration{NoPath: time.Second, Busy: 250 * time.Millisecond}

type (
	// Dialer opens connections to backend servers, itself or through other nodes, and serves the tunnels of other
	// nodes. Its exported fields are set before the first use. It is safe for concurrent use.
	Dialer struct {
		Node string // name of this node
		// Own opens a connection from this node.
		Own      func(ctx context.Context, address string) (net.Conn, error)
		Endpoint *peer.Endpoint
		// Peers returns the other nodes in the order in which this node should use them.
		Peers func(ctx context.Context) []relay.Relay
		// MaxServed is the number of tunnels that this node serves at a time.
		MaxServed int
		// Serves reports whether this node serves tunnels at all; nil for always.
		Serves func() bool
		// OnHanging is called with the address of a server to which open connections may deliver nothing
		// any more, and OnAllHanging when that applies to all servers. They may be nil.
		OnHanging    func(address string)
		OnAllHanging func()
		Log          *zap.Logger
		Metrics      *Metrics

		mu      sync.Mutex
		tracker path.Tracker
		callees map[string]*callee // by key
		served  int
	}

	// callee is what is known of a node that was asked for tunnels.
	callee struct {
		avoidUntil time.Time
		silent     int  // requests in a row that it left without a reply
		opened     bool // it opened a tunnel at the last request
		tunnels    int  // of this node
	}

	// Metrics holds the counters of a Dialer.
	Metrics struct {
		opened   *prometheus.CounterVec // by result
		served   *prometheus.CounterVec // likewise
		isolated prometheus.Gauge
	}
)

// NewMetrics returns metrics that are not registered yet.
func NewMetrics() *Metrics {
	counter := func(name, help string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "guavapaddle", Subsystem: "tunnel", Name: name, Help: help}, []string{"result"})
	}
	return &Metrics{
		opened:   counter("opened_total", "Connections to servers requested from other nodes, by result."),
		served:   counter("served_total", "Connections to servers that other nodes requested, by result."),
		isolated: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "guavapaddle", Subsystem: "tunnel", Name: "isolated", Help: "1 while this node has lost its path to all servers."}),
	}
}

// Collectors returns all metrics to register.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.opened, m.served, m.isolated}
}

// Dial opens a connection to the server with an address. A connection through another node is a *Conn.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	plan := d.tracker.Plan(time.Now(), address)
	d.mu.Unlock()
	if plan.Probe {
		go d.probe(address)
	}
	var ownErr error
	if !plan.ThroughPeer {
		nc, err := d.dialOwn(ctx, address)
		if err == nil || ctx.Err() != nil {
			return nc, err
		}
		if ownErr = err; d.missedByPeers(address) {
			return nil, err
		}
	}
	c, err := d.dialThroughPeers(ctx, address)
	switch {
	case err == nil:
		return c, nil
	case ownErr != nil:
		return nil, ownErr
	case ctx.Err() != nil:
		return nil, err
	}
	return d.dialOwn(ctx, address)
}

// missedByPeers reports whether other nodes recently failed to reach a server too.
func (d *Dialer) missedByPeers(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.MissedByPeers(time.Now(), address)
}

// dialOwn opens a connection from this node and records the outcome.
func (d *Dialer) dialOwn(ctx context.Context, address string) (net.Conn, error) {
	nc, err := d.Own(ctx, address)
	if err != nil && ctx.Err() != nil {
		return nil, err // abandoned, which says nothing of the path
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	was, failed := d.tracker.Isolated(), d.tracker.Failed()
	d.tracker.RecordOwn(time.Now(), address, outcomeOf(err))
	if was && !d.tracker.Isolated() {
		d.Metrics.isolated.Set(0)
		d.Log.Info("servers-reached", zap.String("address", address), zap.Int("failed", failed))
	}
	return nc, err
}

// outcomeOf returns the outcome of an attempt that ended with an error or nil.
func outcomeOf(err error) path.Outcome {
	var n net.Error
	switch {
	case err == nil:
		return path.Opened
	case errors.As(err, &n) && n.Timeout():
		return path.TimedOut
	default:
		return path.Refused
	}
}

// probe tries whether this node reaches a lost server itself again.
func (d *Dialer) probe(address string) {
	ctx, cancel := lag.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	if nc, err := d.dialOwn(ctx, address); err == nil {
		_ = nc.Close()
	}
}

// Check finds out whether this node reaches a server, and if it doesn't, whether another one does.
func (d *Dialer) Check(ctx context.Context, address string) {
	if d.Isolated() {
		return
	}
	nc, err := d.dialOwn(ctx, address)
	if err == nil {
		_ = nc.Close()
		return
	}
	c, throughErr := d.dialThroughPeers(ctx, address)
	d.Log.Info("server-checked", zap.String("address", address), zap.NamedError("own", err), zap.NamedError("through", throughErr))
	if throughErr == nil {
		_ = c.Close()
	}
}

// Suspect reports whether this node may have lost its path to all servers.
func (d *Dialer) Suspect() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Suspect()
}

// Isolated reports whether this node has lost its path to all servers, while another node reaches them.
func (d *Dialer) Isolated() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Isolated()
}

// dialThroughPeers opens a connection through another node.
func (d *Dialer) dialThroughPeers(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := lag.WithTimeout(ctx, totalTimeout)
	defer cancel()
	var last error = &NoPeerError{Address: address}
	peers := d.Peers(ctx)
	d.mu.Lock()
	maxMisses := d.tracker.MaxMisses(address)
	d.mu.Unlock()
	var tried []relay.Relay
	for misses := 0; len(tried) < maxPeerTries && misses < maxMisses; {
		p, ok := d.choose(peers, tried)
		if !ok {
			break
		}
		tried = append(tried, p)
		c, err := d.dialThrough(ctx, p, address)
		if err != nil && ctx.Err() != nil {
			return nil, err
		}
		result := d.recordReply(p, address, err)
		if err == nil {
			d.recordOpened(p, address)
			return c, nil
		}
		if last = err; result == Unreachable {
			misses++
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.RecordThroughPeer(time.Now(), address, false)
	return nil, last
}

// choose returns the node to ask next. Nodes that opened the last tunnel requested from them go before others, and those
// of data centres where none has been tried before the rest, since all nodes of a data centre may be cut off.
func (d *Dialer) choose(peers, tried []relay.Relay) (relay.Relay, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	isUsable := func(p relay.Relay) bool {
		return p.Node != d.Node && !now.Before(d.callee(p.Key).avoidUntil) &&
			!slices.ContainsFunc(tried, func(t relay.Relay) bool { return t.Key == p.Key })
	}
	for _, isPreferred := range []func(p relay.Relay) bool{
		func(p relay.Relay) bool { return d.callee(p.Key).opened },
		func(p relay.Relay) bool {
			return !slices.ContainsFunc(tried, func(t relay.Relay) bool { return t.DataCentre == p.DataCentre })
		},
		func(relay.Relay) bool { return true },
	} {
		if p, ok := d.leastUsed(peers, func(p relay.Relay) bool { return isUsable(p) && isPreferred(p) }); ok {
			return p, true
		}
	}
	return relay.Relay{}, false
}

// leastUsed returns, of the first nodes that match, the one with the fewest tunnels of this node; d.mu is held.
func (d *Dialer) leastUsed(peers []relay.Relay, matches func(relay.Relay) bool) (relay.Relay, bool) {
	var best relay.Relay
	matching := 0
	for _, p := range peers {
		if !matches(p) {
			continue
		}
		if matching == 0 || d.callee(p.Key).tunnels < d.callee(best.Key).tunnels {
			best = p
		}
		if matching++; matching == spread {
			break
		}
	}
	return best, matching > 0
}

// callee returns what is known of the node with a key; d.mu is held.
func (d *Dialer) callee(key string) *callee {
	if d.callees == nil {
		d.callees = map[string]*callee{}
	}
	c := d.callees[key]
	if c == nil && len(d.callees) >= maxCallees {
		maps.DeleteFunc(d.callees, func(_ string, c *callee) bool { return c.tunnels == 0 })
	}
	if c == nil {
		c = &callee{}
		d.callees[key] = c
	}
	return c
}

// recordReply records a node's reply to a request, and returns why it refused, or an empty reason.
func (d *Dialer) recordReply(p relay.Relay, address string, err error) Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.callee(p.Key)
	if err == nil {
		d.Metrics.opened.WithLabelValues("opened").Inc()
		c.opened, c.silent = true, 0
		return ""
	}
	now := time.Now()
	reason, backoff := Silent, min(minSilentBackoff<<min(c.silent, 8), maxSilentBackoff)
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		reason, backoff, c.silent = refused.Reason, backoffs[refused.Reason], 0
	case now.Before(c.avoidUntil):
		backoff = 0 // another request has found so at the same time
	default:
		c.silent++
	}
	c.opened = c.opened && reason == Unreachable
	if until := now.Add(backoff); until.After(c.avoidUntil) {
		c.avoidUntil = until
	}
	d.Metrics.opened.WithLabelValues(string(reason)).Inc()
	d.Log.Info("tunnel-refused", zap.String("node", p.Node), zap.String("address", address), zap.String("reason", string(reason)), zap.Duration("backoff", backoff), zap.Error(err))
	return reason
}

// recordOpened records that another node has opened a connection to a server.
func (d *Dialer) recordOpened(p relay.Relay, address string) {
	d.mu.Lock()
	isolated := d.tracker.RecordThroughPeer(time.Now(), address, true)
	failed, hanging, all := d.tracker.Failed(), d.tracker.Hanging(address), isolated && d.tracker.AllHanging()
	d.mu.Unlock()
	if isolated {
		d.Metrics.isolated.Set(1)
		d.Log.Warn("servers-lost", zap.Int("failed", failed), zap.String("address", address), zap.String("through", p.Node))
	}
	if hanging && d.OnHanging != nil {
		d.OnHanging(address)
	}
	if all && d.OnAllHanging != nil {
		d.OnAllHanging()
	}
}

// dialThrough opens a connection through one node.
func (d *Dialer) dialThrough(ctx context.Context, p relay.Relay, address string) (*Conn, error) {
	ctx, cancel := lag.WithTimeout(ctx, openTimeout)
	defer cancel()
	f, err := peer.Encode(Kind, openRequest{Address: address})
	if err != nil {
		return nil, err
	}
	s, err := d.Endpoint.Open(ctx, p.Address, f)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	s.SetReadDeadline(deadline)
	stop := context.AfterFunc(ctx, s.Cancel)
	err = readOpenReply(s)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		s.Cancel()
		return nil, err
	}
	s.SetReadDeadline(time.Time{})
	d.countTunnel(p.Key, 1)
	var once sync.Once
	return &Conn{stream: s, node: p.Node, address: address, onClose: func() { once.Do(func() { d.countTunnel(p.Key, -1) }) }}, nil
}

// countTunnel adds to the number of this node's tunnels through a node.
func (d *Dialer) countTunnel(key string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callee(key).tunnels += n
}

// readOpenReply reads the reply to an openRequest. It returns a *RefusedError if the connection wasn't opened.
func readOpenReply(s *peer.Stream) error {
	f, err := s.Read()
	if err != nil {
		return err
	}
	var reply openReply
	if err := f.Decode(&reply); err != nil {
		return err
	}
	if reply.Refused != "" {
		return &RefusedError{Reason: reply.Refused, Detail: reply.Detail}
	}
	return nil
}

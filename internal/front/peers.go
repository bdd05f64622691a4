package front

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/relay"
	"guavapaddle/internal/lag"
	"guavapaddle/internal/tunnel"
)

const (
	// rosterTTL is how old the list of nodes may be through which this node reaches servers before it is read again.
	rosterTTL = 10 * time.Second
	// tunnelsPerCore is the number of tunnels that a node serves for each of its processor cores. A node has
	// about as many requests of its own at a time, so that tunnels at most double its load.
	tunnelsPerCore = 100
	// minTunnels is the number of tunnels that a node with few cores serves.
	minTunnels = 8
)

// peerRoster holds the nodes as last read from the store, in the order in which this node asks them for tunnels.
type peerRoster struct {
	mu      sync.Mutex
	list    []relay.Relay
	readAt  time.Time
	reading chan struct{} // closed after the read under way, nil if there is none
}

// newDialer returns the dialer for connections to backend servers.
func (n *Node) newDialer() *tunnel.Dialer {
	m := tunnel.NewMetrics()
	n.registry.MustRegister(m.Collectors()...)
	return &tunnel.Dialer{
		Node: n.settings.Node, Endpoint: n.endpoint, Peers: n.tunnelPeers, Log: n.log, Metrics: m,
		Own: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := n.DialServer(ctx, address)
			if err != nil {
				return nil, err
			}
			return n.traffic.servers.Count(c), nil
		},
		MaxServed: max(minTunnels, int(tunnelsPerCore*n.settings.Cores)),
		Serves:    func() bool { return !n.stopping.Load() },
		OnHanging: n.gateway.Pool.Drop, OnAllHanging: n.gateway.Pool.DropAll,
	}
}

// tunnelPeers returns the nodes through which this node may reach servers. It reads their rows at the first use
// and again when they are old, and waits for the first read only.
func (n *Node) tunnelPeers(ctx context.Context) []relay.Relay {
	r := &n.roster
	r.mu.Lock()
	if time.Since(r.readAt) > rosterTTL && r.reading == nil {
		r.reading = make(chan struct{})
		go n.readRoster()
	}
	list, reading := r.list, r.reading
	r.mu.Unlock()
	if len(list) > 0 || reading == nil {
		return list
	}
	timeout := time.NewTimer(maxKeyWait)
	defer timeout.Stop()
	select {
	case <-reading:
	case <-timeout.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) > 0 {
		return r.list
	}
	return n.knownContacts()
}

// readRoster reads the rows of all nodes.
func (n *Node) readRoster() {
	ctx, cancel := lag.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	rows, ok := n.readNodeRows(ctx)
	var list []relay.Relay
	var keys []string
	for _, row := range rows {
		if v, ok := n.decodeNodeRow(row); ok && row.Key != n.settings.Node {
			list = append(list, v.candidate(row.Key).Relay)
			keys = append(keys, v.Key)
		}
	}
	n.peerKeys.add(keys)
	n.log.Info("nodes-read", zap.Int("nodes", len(list)), zap.Bool("read", ok))
	r := &n.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.reading)
	r.reading = nil
	if ok {
		r.list, r.readAt = relay.Order(list, n.settings.Node, n.settings.DataCentre), time.Now()
	}
}

// knownContacts returns the nodes that this node knows without the rows of the store: the leader, its deputy and the
// relays.
func (n *Node) knownContacts() []relay.Relay {
	var list []relay.Relay
	l, ok := n.placer.Leader()
	if ok && l.Node != "" {
		list = append(list, relay.Relay{Node: l.Node, Address: l.Address, Key: l.Key})
	}
	if at := n.deputy.Load(); at != nil && at.Address != "" {
		list = append(list, relay.Relay{Node: at.Address, Address: at.Address, Key: at.Key})
	}
	list = append(list, l.Relays...)
	return slices.DeleteFunc(list, func(r relay.Relay) bool { return r.Key == n.key.Fingerprint() })
}

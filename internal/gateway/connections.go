package gateway

import (
	"cmp"
	"time"

	"guavapaddle/core/keepalive"
	"guavapaddle/core/retry"
	"guavapaddle/io/http1"
)

const (
	// maxOfferedIdle bounds the servers that a slot request names as those to which the node has an idle connection. Few hold an
	// item, and the most recently used connections last longest.
	maxOfferedIdle = 8
	// keptShare is the share of the connections that a server accepts from all nodes that they may keep idle together; the rest is
	// for those that carry requests.
	keptShare = 0.5
)

// connectionNeed returns the requirements on the connection of the next send.
func (r *request) connectionNeed() http1.Need {
	n := http1.Need{RequestID: r.meta.ID, IdleShare: keepalive.OnceShare, New: r.connBroke}
	if r.route.Repeatable() {
		n.IdleShare = 1
	}
	return n
}

// idleServers returns the servers that may run the request and to which this node has an idle connection that the request may use,
// the most recently used ones first. There are none in deployments that aren't contended.
func (r *request) idleServers() []string {
	if r.connBroke || !r.g.config.Load().IsContended() {
		return nil
	}
	b := r.balanceRequest()
	r.g.mu.Lock()
	candidates := r.g.picker.Candidates(time.Now(), b)
	r.g.mu.Unlock()
	ids := make(map[string]string, len(candidates)) // by address
	addresses := make([]string, 0, len(candidates))
	for _, c := range candidates {
		ids[c.Address] = c.ID
		addresses = append(addresses, c.Address)
	}
	idle := r.g.Pool.Idle(addresses, r.connectionNeed(), maxOfferedIdle)
	for i, a := range idle {
		idle[i] = ids[a]
	}
	return idle
}

// maxIdlePerServer returns how many idle connections to one server of a service this node keeps, zero for no limit: its part of
// those that all nodes may keep, and one at least.
func (g *Gateway) maxIdlePerServer(service string) int {
	s, ok := g.config.Load().Service(service)
	if !ok || s.MaxConns == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(1, int(keptShare*float64(s.MaxConns))/cmp.Or(g.nodes, retry.UnknownNodes))
}

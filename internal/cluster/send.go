package cluster

import (
	"context"
	"math/rand/v2"
	"sync"

	"go.uber.org/zap"

	"guavapaddle/core/member"
	"guavapaddle/io/peer"
)

// Send sends v to a node by name, best effort.
func (c *Cluster) Send(ctx context.Context, node string, k peer.Kind, v any) {
	if n, ok := c.Node(node); ok {
		c.send(ctx, n.Address, k, v)
	}
}

// Gossip gossips v to k random other live nodes, best effort.
func (c *Cluster) Gossip(ctx context.Context, k int, kind peer.Kind, v any) {
	for _, n := range c.randomPeers(k) {
		go c.send(ctx, n.Address, kind, v)
	}
}

// CallSome sends v as a call to at most limit other live nodes and returns when
// each has processed it or ctx ends.
func (c *Cluster) CallSome(ctx context.Context, limit int, kind peer.Kind, v any) {
	f, err := peer.Encode(kind, v)
	if err != nil {
		c.Log.Error("encode", zap.Error(err))
		return
	}
	var wg sync.WaitGroup
	for _, n := range c.randomPeers(limit) {
		wg.Go(func() { c.callNode(ctx, n.Address, f) })
	}
	wg.Wait()
}

// callNode sends one call and waits until the other node closes it.
func (c *Cluster) callNode(ctx context.Context, address string, f peer.Frame) {
	s, err := c.Endpoint.Open(ctx, address, f)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	_ = s.Close()
	_, _ = s.Read() // returns when the other node has processed the call
}

// randomPeers returns at most limit random other live nodes.
func (c *Cluster) randomPeers(limit int) []member.Node {
	var out []member.Node
	for _, n := range c.Nodes() {
		if n.Name != c.Self.Name && n.Status <= member.Suspect {
			out = append(out, n)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(limit, len(out))]
}

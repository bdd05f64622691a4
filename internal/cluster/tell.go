package cluster

import (
	"context"
	"math/rand/v2"
	"sync"

	"go.uber.org/zap"

	"guavapaddle/core/member"
	"guavapaddle/io/peer"
)

// Tell sends v to a node by name, best effort.
func (c *Cluster) Tell(ctx context.Context, node string, k peer.Kind, v any) {
	if n, ok := c.Node(node); ok {
		c.send(ctx, n.Address, k, v)
	}
}

// TellSome sends v to k random other live nodes, best effort.
func (c *Cluster) TellSome(ctx context.Context, k int, kind peer.Kind, v any) {
	for _, n := range c.others(k) {
		go c.send(ctx, n.Address, kind, v)
	}
}

// AskAll sends v as a call to up to most other live nodes and returns when each
// has taken it in or ctx ends.
func (c *Cluster) AskAll(ctx context.Context, most int, kind peer.Kind, v any) {
	f, err := peer.Encode(kind, v)
	if err != nil {
		c.Log.Error("encode", zap.Error(err))
		return
	}
	var wg sync.WaitGroup
	for _, n := range c.others(most) {
		wg.Go(func() { c.ask(ctx, n.Address, f) })
	}
	wg.Wait()
}

// ask sends one call and waits until the other node closes it.
func (c *Cluster) ask(ctx context.Context, address string, f peer.Frame) {
	s, err := c.Endpoint.Open(ctx, address, f)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	_ = s.Close()
	_, _ = s.Read() // ends when the other node has taken it in
}

// others returns up to most random other live nodes.
func (c *Cluster) others(most int) []member.Node {
	var out []member.Node
	for _, n := range c.Nodes() {
		if n.Name != c.Self.Name && n.Status <= member.Suspect {
			out = append(out, n)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(most, len(out))]
}

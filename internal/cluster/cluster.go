// Package cluster joins this node with the others: it carries the digests of
// core/member over io/peer, runs jobs that other nodes forward, and reaches the
// owners of backend servers on other nodes.
//
// # Method
//
// One goroutine drives the membership state under a lock; messages are sent by
// goroutines of their own, so that a silent peer delays nobody. A call tells
// that it is alive every HeartbeatPeriod while it waits, so connections need no
// keep-alive of their own and a call whose owner is silent for ProgressTimeout
// is lost.
//
// # Usage
//
//	c := &cluster.Cluster{Self: self, Endpoint: endpoint, Local: dispatcher}
//	address, err := c.Listen()
//	err = c.Run(ctx)
package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/config/head"
	"guavapaddle/core/forward"
	"guavapaddle/core/member"
	"guavapaddle/core/view"
	"guavapaddle/internal/engines"
	"guavapaddle/internal/metrics"
	"guavapaddle/io/peer"
)

// Kinds of frames between nodes.
const (
	KindMember peer.Kind = iota + 1
	KindJob
	KindReply
	KindCancel
	KindConfig
	KindDemand
	KindPlan
	KindSuspect
)

const (
	// ArrivalTimeout is the longest silence of a call that was just sent: the
	// owner answers at once that it has it.
	ArrivalTimeout = 500 * time.Millisecond
	// HeartbeatPeriod is the longest silence of a call that waits.
	HeartbeatPeriod = time.Second
	// ProgressTimeout is the silence after which a call is lost.
	ProgressTimeout = 3 * time.Second

	tickPeriod   = 50 * time.Millisecond
	sendTimeout  = 2 * time.Second
	seedPeriod   = time.Second
	serverPrefix = "server/"
	loadPrefix   = "load/"
)

type (
	// Local runs jobs on servers that this node owns.
	Local interface {
		Do(ctx context.Context, job forward.Job, sink engines.Sink) error
		Load(server string) (forward.Load, bool)
	}

	// Cluster is this node's part in the whole. Its fields are set before
	// Listen.
	Cluster struct {
		Self     member.Node // Address is filled in by Listen if its port is zero
		Endpoint *peer.Endpoint
		Settings member.Settings
		Seeds    func() []string // addresses of nodes, from settings and VM list
		Local    Local
		// OnView is told each newer view of a server.
		OnView func(v view.Server)
		// OnLoad is told each newer load of a server that its owner spread
		// without a view.
		OnLoad func(server string, l forward.Load)
		// OnMessage is told the messages that are not the cluster's own.
		OnMessage func(from string, f peer.Frame)
		// Config returns the body of the configuration with a hash.
		Config func(hash string) ([]byte, bool)
		// ConfigHead returns the configuration in force, and whether this node
		// is sure that there is none newer.
		ConfigHead func() (ref head.Ref, fresh bool)
		// Spent returns a function that counts the time since as control
		// work of a kind; may be nil.
		Spent func(w metrics.Work) func()
		Log   *zap.Logger
		Seed  uint64

		viewsOut, viewsIn atomic.Uint64 // bytes of views in messages

		mu    sync.Mutex
		state *member.State
		known map[string]uint64 // incarnation of each node when last seen
	}
)

// Listen opens the endpoint and returns its address.
func (c *Cluster) Listen() (string, error) {
	address, err := c.Endpoint.Listen()
	if err != nil {
		return "", err
	}
	c.Self.Address = address
	c.Endpoint.OnMessage = c.message
	c.Endpoint.OnCall = c.call
	c.state = member.New(c.Self, c.Settings, rand.New(rand.NewPCG(c.Seed, c.Self.Incarnation)))
	c.known = map[string]uint64{}
	return address, nil
}

// Run takes part until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- c.Endpoint.Run(ctx) }()
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	var joined time.Time
	for {
		c.sendAll(ctx, c.step(time.Now(), &joined))
		select {
		case <-t.C:
		case err := <-done:
			return err
		case <-ctx.Done():
			return <-done
		}
	}
}

// step advances the membership state.
func (c *Cluster) step(now time.Time, joined *time.Time) []member.Envelope {
	defer c.spent(metrics.Membership)()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []member.Envelope
	if joined.IsZero() {
		out = c.state.Join(now, c.Seeds())
	}
	if now.Sub(*joined) > seedPeriod {
		*joined = now
		c.state.SetSeeds(c.Seeds())
	}
	out = append(out, c.state.Tick(now)...)
	for _, address := range c.state.LateAnswerers() {
		c.Endpoint.Renew(address)
	}
	return out
}

func (c *Cluster) sendAll(ctx context.Context, all []member.Envelope) {
	for _, s := range all {
		go c.sendMember(ctx, s)
	}
}

// sendMember gives one message of the membership to its address.
func (c *Cluster) sendMember(ctx context.Context, s member.Envelope) {
	if c.send(ctx, s.Address, KindMember, s.Message) {
		c.viewsOut.Add(entryBytes(s.Message.Entries))
	}
}

// send gives one message to an address, best effort, and tells whether it was
// given to a connection.
func (c *Cluster) send(ctx context.Context, address string, k peer.Kind, v any) bool {
	f, err := peer.Encode(k, v)
	if err != nil {
		c.Log.Error("encode", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return c.Endpoint.Send(ctx, address, f) == nil // probes find out who is unreachable
}

// spent is Spent, or does nothing.
func (c *Cluster) spent(w metrics.Work) func() {
	if c.Spent == nil {
		return func() {}
	}
	return c.Spent(w)
}

// Update changes this node's own record.
func (c *Cluster) Update(f func(n *member.Node)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Update(f)
}

// Nodes returns all nodes that are known.
func (c *Cluster) Nodes() []member.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Nodes()
}

// Node returns a node by name.
func (c *Cluster) Node(name string) (member.Node, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Node(name)
}

// Working returns the names of live nodes that do not leave, sorted.
func (c *Cluster) Working() []string {
	var names []string
	for _, n := range c.Nodes() {
		if n.Status <= member.Suspect && !n.Leaving {
			names = append(names, n.Name)
		}
	}
	return names
}

// Leave tells the others that this node stops.
func (c *Cluster) Leave(ctx context.Context) {
	c.mu.Lock()
	out := c.state.Leave()
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range out {
		wg.Go(func() { c.sendMember(ctx, s) })
	}
	wg.Wait()
}

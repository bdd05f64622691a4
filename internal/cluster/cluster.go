// Package cluster connects this node with the other nodes. It exchanges the
// gossip digests of core/member over io/peer, runs jobs that other nodes
// forward, and reaches the owners of backend servers on other nodes.
//
// # Method
//
// One goroutine advances the membership state under a lock. Messages are sent by
// separate goroutines, so that an unresponsive peer delays no other. A waiting
// call sends a heartbeat at least every HeartbeatPeriod. Connections therefore
// need no keep-alive of their own, and a call whose owner is silent for
// ProgressTimeout is lost.
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
	// ArrivalTimeout is the longest silence of a new call: the owner
	// acknowledges a job at once.
	ArrivalTimeout = 500 * time.Millisecond
	// HeartbeatPeriod is the longest silence of a waiting call.
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
		RunJob(ctx context.Context, job forward.Job, sink engines.Sink) error
		Load(server string) (forward.Load, bool)
	}

	// Cluster connects this node with the others. Its fields are set before
	// Listen.
	Cluster struct {
		Self     member.Node // Listen sets the port of Address if it is zero
		Endpoint *peer.Endpoint
		Settings member.Settings
		Seeds    func() []string // returns addresses of nodes from the settings and the VM list
		Local    Local
		// OnView receives each newer view of a server.
		OnView func(v view.Server)
		// OnLoad receives each newer load of a server that its owner published
		// without a view.
		OnLoad func(server string, l forward.Load)
		// OnMessage receives the messages of kinds that the cluster does not
		// handle.
		OnMessage func(from string, f peer.Frame)
		// Config returns the body of the configuration with a hash.
		Config func(hash string) ([]byte, bool)
		// ConfigHead returns the configuration in force, and whether this node
		// is certain that none is newer.
		ConfigHead func() (ref head.Ref, fresh bool)
		// TimeWork starts the measurement of control work of a kind and returns the
		// function that ends it; may be nil.
		TimeWork func(w metrics.Work) func()
		Log      *zap.Logger
		Seed     uint64

		viewsOut, viewsIn atomic.Uint64 // bytes of views in messages

		mu           sync.Mutex
		state        *member.State
		incarnations map[string]uint64 // last seen incarnation by node name
	}
)

// Listen opens the endpoint and returns its address.
func (c *Cluster) Listen() (string, error) {
	address, err := c.Endpoint.Listen()
	if err != nil {
		return "", err
	}
	c.Self.Address = address
	c.Endpoint.OnMessage = c.handleMessage
	c.Endpoint.OnCall = c.serveCall
	c.state = member.New(c.Self, c.Settings, rand.New(rand.NewPCG(c.Seed, c.Self.Incarnation)))
	c.incarnations = map[string]uint64{}
	return address, nil
}

// Run runs the endpoint and the membership protocol until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- c.Endpoint.Run(ctx) }()
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	var seedsSet time.Time // last SetSeeds; zero before Join
	for {
		c.sendAll(ctx, c.step(time.Now(), &seedsSet))
		select {
		case <-t.C:
		case err := <-done:
			return err
		case <-ctx.Done():
			return <-done
		}
	}
}

// step advances the membership state and returns the messages to send.
func (c *Cluster) step(now time.Time, seedsSet *time.Time) []member.Envelope {
	defer c.timeWork(metrics.Membership)()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []member.Envelope
	if seedsSet.IsZero() {
		out = c.state.Join(now, c.Seeds())
	}
	if now.Sub(*seedsSet) > seedPeriod {
		*seedsSet = now
		c.state.SetSeeds(c.Seeds())
	}
	out = append(out, c.state.Tick(now)...)
	for _, address := range c.state.LateAnswerers() {
		c.Endpoint.Redial(address)
	}
	return out
}

func (c *Cluster) sendAll(ctx context.Context, all []member.Envelope) {
	for _, s := range all {
		go c.sendMember(ctx, s)
	}
}

// sendMember sends one membership message to its address.
func (c *Cluster) sendMember(ctx context.Context, s member.Envelope) {
	if c.send(ctx, s.Address, KindMember, s.Message) {
		c.viewsOut.Add(entryBytes(s.Message.Entries))
	}
}

// send sends one message to an address, best effort, and reports whether a
// connection accepted it.
func (c *Cluster) send(ctx context.Context, address string, k peer.Kind, v any) bool {
	f, err := peer.Encode(k, v)
	if err != nil {
		c.Log.Error("encode", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return c.Endpoint.Send(ctx, address, f) == nil // the membership probes detect unreachable nodes
}

// timeWork calls TimeWork, or does nothing if it is nil.
func (c *Cluster) timeWork(w metrics.Work) func() {
	if c.TimeWork == nil {
		return func() {}
	}
	return c.TimeWork(w)
}

// Update changes this node's own record.
func (c *Cluster) Update(f func(n *member.Node)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Update(f)
}

// Nodes returns all known nodes.
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

// ActiveNodes returns the sorted names of live nodes that are not leaving.
func (c *Cluster) ActiveNodes() []string {
	var names []string
	for _, n := range c.Nodes() {
		if n.Status <= member.Suspect && !n.Leaving {
			names = append(names, n.Name)
		}
	}
	return names
}

// Leave announces to the other nodes that this node stops.
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

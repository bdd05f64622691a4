package node

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"guavapaddle/core/suspect"
	"guavapaddle/internal/cluster"
	"guavapaddle/internal/metrics"
	"guavapaddle/io/peer"
)

const (
	bootTimeout        = 300 * time.Millisecond
	marksPeriod        = 2 * time.Second
	marksGossipNodes   = 2
	maxMarksPerMessage = 64
	maxMarksCalls      = 32 // maximum nodes to which new marks are sent at once
	crashTimeout       = 2 * time.Second
	maxMarksReceived   = 4096
)

type (
	// crashes detects crashes of owned servers and marks the requests that were
	// running on them.
	crashes struct {
		node  *Node
		group singleflight.Group
	}

	// marksBody is the message body that carries suspicion marks between nodes.
	marksBody struct {
		Marks []suspect.Mark `cbor:"1,keyasint"`
	}
)

// connectionLost handles the loss of a request's connection to a server's engine. If
// the engine has crashed, all requests that were running on it are marked before
// connectionLost returns.
func (c *crashes) connectionLost(server string, running []string) {
	_, _, _ = c.group.Do(server, func() (any, error) {
		v, _ := c.node.views.Get(server)
		ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
		defer cancel()
		bootID, err := c.node.bootID(ctx, server)
		if err == nil && bootID == v.BootID {
			return nil, nil
		}
		all := make([]suspect.Fingerprint, len(running))
		for i, f := range running {
			all[i] = suspect.Fingerprint(f)
		}
		c.node.log.Warn("backend server lost", zap.String("server", server), zap.Int("running", len(running)))
		c.node.guard.ServerCrashed(ctx, suspect.Incident{Server: server, BootID: v.BootID}, all)
		return nil, nil
	})
}

// bootID queries a server's engine for its boot ID.
func (n *Node) bootID(ctx context.Context, server string) (string, error) {
	x := n.follower.Index()
	if x == nil {
		return "", &NotReadyError{}
	}
	s, ok := x.Server(server)
	if !ok {
		return "", &NotReadyError{}
	}
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	state, err := n.engineAt(s.Address).State(ctx)
	return state.Inventory.BootID, err
}

// broadcastMarks sends marks to at most maxMarksCalls other live nodes and returns
// when each has merged them or ctx ends.
func (n *Node) broadcastMarks(ctx context.Context, marks []suspect.Mark) {
	n.cluster.CallSome(ctx, maxMarksCalls, cluster.KindSuspect, marksBody{Marks: marks})
}

// gossipMarks resends the newest marks to a few other nodes, for nodes that were
// unreachable when a mark was made.
func (n *Node) gossipMarks(ctx context.Context) {
	marks := n.guard.Marks()
	if len(marks) == 0 {
		return
	}
	n.cluster.Gossip(ctx, marksGossipNodes, cluster.KindSuspect, marksBody{Marks: marks[:min(len(marks), maxMarksPerMessage)]})
}

// mergeMarks merges the marks received from another node.
func (n *Node) mergeMarks(f peer.Frame) {
	defer n.control.Measure(metrics.Marks)()
	var body marksBody
	if f.Decode(&body) == nil && len(body.Marks) <= maxMarksReceived {
		n.guard.Merge(body.Marks)
	}
}

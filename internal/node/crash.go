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
	bootTimeout   = 300 * time.Millisecond
	marksPeriod   = 2 * time.Second
	marksPeers    = 2
	marksMessage  = 64 // marks in one message
	marksAsked    = 32 // nodes that are waited for at once
	crashTimeout  = 2 * time.Second
	marksTooLarge = 4096
)

type (
	// crashes finds out whether an owned server crashed and marks what ran.
	crashes struct {
		node  *Node
		group singleflight.Group
	}

	// marksBody is what nodes tell each other of marked requests.
	marksBody struct {
		Marks []suspect.Mark `cbor:"1,keyasint"`
	}
)

// lost is told that a server's engine broke off a request. If the engine has
// crashed all that ran on it is marked before lost returns.
func (c *crashes) lost(server string, running []string) {
	_, _, _ = c.group.Do(server, func() (any, error) {
		v, _ := c.node.views.Get(server)
		ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
		defer cancel()
		boot, err := c.node.boot(ctx, server)
		if err == nil && boot == v.BootID {
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

// boot asks a server's engine for its boot id.
func (n *Node) boot(ctx context.Context, server string) (string, error) {
	x := n.follower.Index()
	if x == nil {
		return "", &NotReady{}
	}
	s, ok := x.Server(server)
	if !ok {
		return "", &NotReady{}
	}
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	state, err := n.engineAt(s.Address).State(ctx)
	return state.Inventory.BootID, err
}

// spreadMarks tells other nodes of marks and returns when they have them.
func (n *Node) spreadMarks(ctx context.Context, marks []suspect.Mark) {
	n.cluster.AskAll(ctx, marksAsked, cluster.KindSuspect, marksBody{Marks: marks})
}

// tellMarks repeats the newest marks to a few other nodes, for those that were
// not reached when a mark was made.
func (n *Node) tellMarks(ctx context.Context) {
	marks := n.guard.Marks()
	if len(marks) == 0 {
		return
	}
	n.cluster.TellSome(ctx, marksPeers, cluster.KindSuspect, marksBody{Marks: marks[:min(len(marks), marksMessage)]})
}

// marked takes marks in that another node tells.
func (n *Node) marked(f peer.Frame) {
	defer n.control.Time(metrics.Marks)()
	var b marksBody
	if f.Decode(&b) == nil && len(b.Marks) <= marksTooLarge {
		n.guard.Merge(b.Marks)
	}
}

package front

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"guavapaddle/internal/clock"
	"guavapaddle/internal/follow"
	"guavapaddle/internal/lag"
	"guavapaddle/platform"
)

const (
	joinPath = "/join"
	// joinTimeout limits the request to one node for its copy of the store.
	joinTimeout = 500 * time.Millisecond
	// maxJoinBytes limits the size of a join request.
	maxJoinBytes = 64 << 10
	// leaseQueryInterval is the minimum time between two queries of the seeds for the lease.
	leaseQueryInterval = time.Second
	// storeSilence is how long the store must not have responded to this node before the node queries
	// the seeds for the lease.
	storeSilence = 2 * time.Second
)

type (
	// joinRequest is the request of a node that the store rejects.
	joinRequest struct {
		Node      string  `json:"node"`
		Row       nodeRow `json:"row"`
		LeaseOnly bool    `json:"lease-only,omitempty"` // the node has a copy of the tables
	}

	// joinReply is the replying node's copy of the store.
	joinReply struct {
		Copy  follow.Snapshot `json:"copy"`
		Lease platform.Row    `json:"lease"`
	}
)

// join requests a copy of the store from the nodes listed in the settings, one after the
// other until one has a copy. These nodes are trusted because the settings come from the
// platform, as the address of the store does; their keys can't be checked while the store is
// out of reach. The node that replies also writes this node's row, so that the leader
// accepts this node's key.
func (n *Node) join(ctx context.Context) { n.querySeeds(ctx, false) }

// queryLease requests the lease from the seeds if this node reaches neither the leader nor the store.
// Without it a node that the store rejects would never learn of the next leader, nor would the leader
// accept this node's key if the write of its row had failed.
func (n *Node) queryLease(ctx context.Context) {
	now := clock.SinceBoot()
	if n.follower.StoreAge(time.Now()) < storeSilence || now-n.leaseQueriedAt < leaseQueryInterval {
		return
	}
	n.leaseQueriedAt = now
	n.querySeeds(ctx, true)
}

// querySeeds requests the lease, and the tables unless leaseOnly is set, from the seeds.
func (n *Node) querySeeds(ctx context.Context, leaseOnly bool) {
	r := joinRequest{Node: n.settings.Node, LeaseOnly: leaseOnly, Row: n.row()}
	for _, seed := range n.settings.Seeds {
		if seed == n.settings.Control {
			continue
		}
		var reply joinReply
		sentAt := clock.SinceBoot()
		call, cancel := lag.WithTimeout(ctx, joinTimeout)
		got, err := n.seeds.get(seed).JSON(call, http.MethodPost, joinPath, r, &reply)
		cancel()
		if err != nil || got.Status != http.StatusOK {
			n.log.Info("join-failed", zap.String("seed", seed), zap.Int("status", got.Status), zap.Error(err))
			continue
		}
		n.log.Info("joined", zap.String("seed", seed), zap.Stringer("revision", reply.Copy.Version), zap.Duration("age", reply.Copy.Age),
			zap.Bool("lease-only", leaseOnly))
		if !leaseOnly {
			n.follower.ApplySnapshot(time.Now(), reply.Copy, sentAt)
		}
		n.placer.ObserveLease(reply.Lease)
		return
	}
}

// serveControl serves nodes that the store rejects.
func (n *Node) serveControl(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+joinPath, n.serveJoin)
	s := &http.Server{Handler: mux, ReadTimeout: joinTimeout, WriteTimeout: joinTimeout}
	if err := s.Serve(l); !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "serve control")
	}
	return nil
}

// serveJoin handles a join request.
func (n *Node) serveJoin(w http.ResponseWriter, req *http.Request) {
	var r joinRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxJoinBytes)).Decode(&r); err != nil || r.Node == "" {
		http.Error(w, "no node", http.StatusBadRequest)
		return
	}
	var c follow.Snapshot
	if !r.LeaseOnly {
		var ok bool
		if c, ok = n.snapshot(); !ok {
			http.Error(w, "no copy", http.StatusServiceUnavailable)
			return
		}
	}
	go n.writeRowOf(r)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(joinReply{Copy: c, Lease: n.placer.LeaseRow()}); err != nil {
		n.log.Info("join-unanswered", zap.String("node", r.Node), zap.Error(err))
	}
}

// snapshot returns this node's copy of the store, for a node that will use a relay if the fleet has any.
func (n *Node) snapshot() (follow.Snapshot, bool) {
	if l, _ := n.placer.Leader(); len(l.Relays) > 0 {
		return n.follower.PartialSnapshot(time.Now())
	}
	return n.follower.Snapshot(time.Now())
}

// writeRowOf writes another node's row.
func (n *Node) writeRowOf(r joinRequest) {
	value, err := json.Marshal(r.Row)
	if err != nil {
		n.log.Error("node-row", zap.Error(err))
		return
	}
	ctx, cancel := lag.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, _, ok, err := n.store.Change(ctx, platform.Change{Set: []platform.Row{{Table: nodeTable, Part: nodePart, Key: r.Node, Value: value}}})
	n.log.Info("node-vouched-for", zap.String("node", r.Node), zap.Bool("written", ok), zap.Error(err))
}

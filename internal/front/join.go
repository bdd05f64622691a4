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
	"guavapaddle/platform"
)

const (
	joinPath = "/join"
	// joinTimeout limits the request to one node for its copy of the store.
	joinTimeout = 500 * time.Millisecond
	// maxJoinBytes limits the size of a join request.
	maxJoinBytes = 64 << 10
)

type (
	// joinRequest is the request of a node that the store rejects.
	joinRequest struct {
		Node string  `json:"node"`
		Row  nodeRow `json:"row"`
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
func (n *Node) join(ctx context.Context) {
	r := joinRequest{Node: n.settings.Node, Row: nodeRow{Address: n.settings.Peers, DataCentre: n.settings.DataCentre, Key: n.key.Fingerprint()}}
	for _, seed := range n.settings.Seeds {
		if seed == n.settings.Control {
			continue
		}
		var reply joinReply
		sentAt := clock.SinceBoot()
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		got, err := n.seeds.get(seed).JSON(call, http.MethodPost, joinPath, r, &reply)
		cancel()
		if err != nil || got.Status != http.StatusOK {
			n.log.Info("join-failed", zap.String("seed", seed), zap.Int("status", got.Status), zap.Error(err))
			continue
		}
		n.log.Info("joined", zap.String("seed", seed), zap.Stringer("revision", reply.Copy.Version), zap.Duration("age", reply.Copy.Age))
		n.follower.ApplySnapshot(time.Now(), reply.Copy, sentAt)
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
	c, ok := n.follower.Snapshot(time.Now())
	if !ok {
		http.Error(w, "no copy", http.StatusServiceUnavailable)
		return
	}
	go n.writeRowOf(r)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(joinReply{Copy: c, Lease: n.placer.LeaseRow()}); err != nil {
		n.log.Info("join-unanswered", zap.String("node", r.Node), zap.Error(err))
	}
}

// writeRowOf writes another node's row.
func (n *Node) writeRowOf(r joinRequest) {
	value, err := json.Marshal(r.Row)
	if err != nil {
		n.log.Error("node-row", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, _, ok, err := n.store.Change(ctx, platform.Change{Set: []platform.Row{{Table: nodeTable, Key: r.Node, Value: value}}})
	n.log.Info("node-vouched-for", zap.String("node", r.Node), zap.Bool("written", ok), zap.Error(err))
}

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
	// joinTimeout bounds the answer of one node that is asked for a copy.
	joinTimeout = 500 * time.Millisecond
	// joinBytes bounds what a node sends of itself.
	joinBytes = 64 << 10
)

type (
	// joinRequest is what a node that the store doesn't serve tells of itself.
	joinRequest struct {
		Node string  `json:"node"`
		Row  nodeRow `json:"row"`
	}

	// joinAnswer is another node's copy of the store.
	joinAnswer struct {
		Copy  follow.Copy  `json:"copy"`
		Lease platform.Row `json:"lease"`
	}
)

// join asks the nodes that the settings name for their copy of the store,
// until one has it. What they are is vouched for by the settings, which come
// from the platform as the store's address does; keys can't be compared while
// the store is out of reach. The node that answers also writes this node's row,
// so that the holder of the lease accepts its key.
func (n *Node) join(ctx context.Context) {
	r := joinRequest{Node: n.settings.Node, Row: nodeRow{Address: n.settings.Peers, DataCentre: n.settings.DataCentre, Key: n.key.Fingerprint()}}
	for _, seed := range n.settings.Seeds {
		if seed == n.settings.Control {
			continue
		}
		var a joinAnswer
		asked := clock.Boot()
		call, cancel := context.WithTimeout(ctx, joinTimeout)
		got, err := n.seeds.get(seed).JSON(call, http.MethodPost, joinPath, r, &a)
		cancel()
		if err != nil || got.Status != http.StatusOK {
			n.log.Info("join-failed", zap.String("seed", seed), zap.Int("status", got.Status), zap.Error(err))
			continue
		}
		n.log.Info("joined", zap.String("seed", seed), zap.Int64("version", a.Copy.Version), zap.Duration("age", a.Copy.Age))
		n.follower.Load(time.Now(), a.Copy, asked)
		n.placer.Learn(a.Lease)
		return
	}
}

// serveControl answers nodes that the store doesn't serve.
func (n *Node) serveControl(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+joinPath, n.joined)
	s := &http.Server{Handler: mux, ReadTimeout: joinTimeout, WriteTimeout: joinTimeout}
	if err := s.Serve(l); !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "serve control")
	}
	return nil
}

// joined answers one of them.
func (n *Node) joined(w http.ResponseWriter, req *http.Request) {
	var r joinRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, joinBytes)).Decode(&r); err != nil || r.Node == "" {
		http.Error(w, "no node", http.StatusBadRequest)
		return
	}
	c, ok := n.follower.Copy(time.Now())
	if !ok {
		http.Error(w, "no copy", http.StatusServiceUnavailable)
		return
	}
	go n.vouch(r)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(joinAnswer{Copy: c, Lease: n.placer.LeaseRow()}); err != nil {
		n.log.Info("join-unanswered", zap.String("node", r.Node), zap.Error(err))
	}
}

// vouch writes another node's row.
func (n *Node) vouch(r joinRequest) {
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

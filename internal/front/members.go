package front

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/roster"
	"guavapaddle/internal/clock"
	"guavapaddle/platform"
)

const (
	nodeTable = "node"
	// registerRetry is the pause before the node's row is written again.
	registerRetry = 300 * time.Millisecond
	// trustRetry bounds how often the rows of nodes are read for a key that
	// isn't known.
	trustRetry = 300 * time.Millisecond
)

type (
	// nodeRow is the value of a node's own row in the store.
	nodeRow struct {
		Address    string `json:"address"`
		DataCentre string `json:"data-centre"`
		Key        string `json:"key"` // fingerprint of its certificate
	}

	// trust holds the keys of the nodes as last read.
	trust struct {
		mu   sync.Mutex
		keys map[string]bool
		read time.Time
		busy bool
	}
)

// register writes the node's own row, and again each refresh.
func (n *Node) register(ctx context.Context) {
	value, err := json.Marshal(nodeRow{Address: n.settings.Peers, DataCentre: n.settings.DataCentre, Key: n.key.Fingerprint()})
	if err != nil {
		n.log.Error("node-row", zap.Error(err))
		return
	}
	row := platform.Row{Table: nodeTable, Key: n.settings.Node, Value: value}
	for {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, _, ok, err := n.store.Change(call, platform.Change{Set: []platform.Row{row}})
		cancel()
		pause := roster.Refresh
		if !ok {
			n.log.Warn("node-row-failed", zap.Error(err))
			pause = registerRetry
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// tidy removes the rows of nodes that are gone, while this node holds the lease.
func (n *Node) tidy(ctx context.Context) {
	var w roster.Watcher
	for clock.Sleep(ctx, roster.Refresh) {
		if !n.placer.Holding() {
			w = roster.Watcher{}
			continue
		}
		n.removeGone(ctx, &w)
	}
}

// removeGone removes the rows that a watch finds left behind, unless they have
// been written since they were read.
func (n *Node) removeGone(ctx context.Context, w *roster.Watcher) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, _, err := n.store.Read(ctx, nodeTable, "", "")
	if err != nil {
		n.log.Warn("node-rows-failed", zap.Error(err))
		return
	}
	versions := make(map[string]int64, len(rows))
	for _, r := range rows {
		versions[r.Key] = r.Version
	}
	for _, key := range w.Expired(clock.Boot(), versions) {
		row := platform.Row{Table: nodeTable, Key: key, Version: versions[key]}
		_, _, ok, err := n.store.Change(ctx, platform.Change{Expect: []platform.Row{row}, Remove: []platform.Row{row}})
		n.log.Info("node-row-removed", zap.String("node", key), zap.Int64("version", row.Version), zap.Bool("removed", ok), zap.Error(err))
	}
}

// trusted tells whether a key is the leader's, or its deputy's, or stands in a node's
// row.
func (n *Node) trusted(key string) bool {
	if l, ok := n.placer.Leader(); ok && l.Key == key {
		return true
	}
	if at := n.deputyAt.Load(); at != nil && at.Key == key {
		return true
	}
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	if n.peers.keys[key] {
		return true
	}
	if !n.peers.busy && time.Since(n.peers.read) > trustRetry {
		n.peers.busy = true
		go n.readPeers()
	}
	return false
}

// add notes keys that another node vouches for.
func (t *trust) add(keys []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := maps.Clone(t.keys)
	if known == nil {
		known = map[string]bool{}
	}
	for _, k := range keys {
		known[k] = true
	}
	t.keys = known
}

// readPeers reads the rows of all nodes.
func (n *Node) readPeers() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	rows, _, err := n.store.Read(ctx, nodeTable, "", "")
	keys := map[string]bool{}
	for _, r := range rows {
		var v nodeRow
		if err := json.Unmarshal(r.Value, &v); err != nil {
			n.log.Error("node-row-unreadable", zap.String("node", r.Key), zap.Error(err))
			continue
		}
		keys[v.Key] = true
	}
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	n.peers.busy = false
	n.peers.read = time.Now()
	if err != nil {
		n.log.Warn("node-rows-failed", zap.Error(err))
		return
	}
	n.peers.keys = keys
}

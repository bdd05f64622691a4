package front

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"guavapaddle/core/relay"
	"guavapaddle/core/revision"
	"guavapaddle/core/roster"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/lag"
	"guavapaddle/platform"
)

const (
	nodeTable = "node"
	// nodePart is the part of the nodes' rows. The store writes 300 rows of a part per second, and a start
	// of 1,000 nodes that shared the lease's part kept the leader from renewing the lease for 3 s.
	nodePart = "node"
	// minRegisterRetry and maxRegisterRetry bound the delay before a failed write of the node's row is
	// repeated. It doubles with each failure, since hundreds of nodes may start at once.
	minRegisterRetry = 300 * time.Millisecond
	maxRegisterRetry = 5 * time.Second
	// registerSpread is the time over which the nodes write their rows again after a restore of the
	// store, so that 350 nodes stay within its write rate.
	registerSpread = time.Second
	// minKeyReadInterval is the minimum time between two reads of the node rows that unknown
	// keys trigger.
	minKeyReadInterval = 300 * time.Millisecond
	// maxKeyWait is how long the handshake of a node with an unknown key may wait for such a read. It must be
	// below exchangeTimeout, after which the node gives up.
	maxKeyWait = 350 * time.Millisecond
)

type (
	// nodeRow is the value of a node's row in the store.
	nodeRow struct {
		Address    string `json:"address"`
		DataCentre string `json:"data-centre"`
		Key        string `json:"key"` // fingerprint of the node's certificate

		Cores float64 `json:"cores"` // processor cores that the node may use
	}

	// trustedKeys holds the keys of the nodes as last read from the store, and those that
	// the leader has passed on since.
	trustedKeys struct {
		mu      sync.Mutex
		keys    map[string]bool
		readAt  time.Time
		reading chan struct{} // closed after the read of the rows that is due or under way, nil if there is none
	}
)

// register writes the node's row, again after each refresh period, and after a restore of the
// store, which may have lost it.
func (n *Node) register(ctx context.Context) {
	value, err := json.Marshal(n.row())
	if err != nil {
		n.log.Error("node-row", zap.Error(err))
		return
	}
	row := platform.Row{Table: nodeTable, Part: nodePart, Key: n.settings.Node, Value: value}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval, retry.Multiplier = minRegisterRetry, maxRegisterRetry, 2
	for {
		call, cancel := lag.WithTimeout(ctx, storeTimeout)
		_, _, ok, err := n.store.Change(call, platform.Change{Set: []platform.Row{row}})
		cancel()
		delay := roster.Refresh
		if ok {
			retry.Reset()
		} else {
			n.log.Warn("node-row-failed", zap.Error(err))
			delay = retry.NextBackOff()
		}
		if !n.awaitRegistration(ctx, delay) {
			return
		}
	}
}

// row returns the value of this node's row.
func (n *Node) row() nodeRow {
	return nodeRow{Address: n.settings.Peers, DataCentre: n.settings.DataCentre, Key: n.key.Fingerprint(), Cores: n.settings.Cores}
}

// awaitRegistration waits until the node's row is to be written again, and reports whether ctx is still
// active.
func (n *Node) awaitRegistration(ctx context.Context, delay time.Duration) bool {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.storeRestored:
		clock.Sleep(ctx, rand.N(registerSpread))
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// cleanUpRows removes the rows of nodes that have left, while this node is the leader.
func (n *Node) cleanUpRows(ctx context.Context) {
	var w roster.Watcher
	for clock.Sleep(ctx, roster.Refresh) {
		if !n.placer.IsLeading() {
			w = roster.Watcher{}
			continue
		}
		n.removeExpired(ctx, &w)
	}
}

// removeExpired removes the rows that the watcher considers expired, unless they have been
// written since they were read.
func (n *Node) removeExpired(ctx context.Context, w *roster.Watcher) {
	ctx, cancel := lag.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, ok := n.readNodeRows(ctx)
	if !ok {
		return
	}
	versions := make(map[string]revision.Revision, len(rows))
	for _, r := range rows {
		versions[r.Key] = r.Revision()
	}
	for _, key := range w.Expired(clock.SinceBoot(), versions) {
		row := platform.Row{Table: nodeTable, Part: nodePart, Key: key, Version: versions[key].Number, Era: versions[key].Era}
		_, _, ok, err := n.store.Change(ctx, platform.Change{Expect: []platform.Row{row}, Remove: []platform.Row{row}})
		n.log.Info("node-row-removed", zap.String("node", key), zap.Stringer("revision", row.Revision()), zap.Bool("removed", ok), zap.Error(err))
	}
}

// isTrusted reports whether a key belongs to the leader, its deputy, a relay, or a node with a row
// in the store. An unknown key triggers a read of the rows.
func (n *Node) isTrusted(key string) bool {
	l, ok := n.placer.Leader()
	if ok && (l.Key == key || slices.ContainsFunc(l.Relays, func(r relay.Relay) bool { return r.Key == key })) {
		return true
	}
	if at := n.deputy.Load(); at != nil && at.Key == key {
		return true
	}
	if n.peerKeys.has(key) {
		return true
	}
	n.awaitPeerKeys()
	return n.peerKeys.has(key)
}

// awaitPeerKeys waits for a read of the rows of all nodes, for at most maxKeyWait. A node that has lost its
// relays connects to the leader for the first time, and its requests would be refused if it had to
// connect again.
func (n *Node) awaitPeerKeys() {
	n.peerKeys.mu.Lock()
	read := n.peerKeys.reading
	if read == nil {
		read = make(chan struct{})
		n.peerKeys.reading = read
		go n.readPeerKeys(max(0, minKeyReadInterval-time.Since(n.peerKeys.readAt)))
	}
	n.peerKeys.mu.Unlock()
	timeout := time.NewTimer(maxKeyWait)
	defer timeout.Stop()
	select {
	case <-read:
	case <-timeout.C:
	}
}

// has reports whether a key is known.
func (t *trustedKeys) has(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keys[key]
}

// add adds keys that the leader has passed on.
func (t *trustedKeys) add(keys []string) {
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

// readPeerKeys reads the rows of all nodes after a delay.
func (n *Node) readPeerKeys(delay time.Duration) {
	time.Sleep(delay)
	ctx, cancel := lag.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	rows, ok := n.readNodeRows(ctx)
	keys := map[string]bool{}
	for _, r := range rows {
		if v, ok := n.decodeNodeRow(r); ok {
			keys[v.Key] = true
		}
	}
	n.peerKeys.mu.Lock()
	defer n.peerKeys.mu.Unlock()
	close(n.peerKeys.reading)
	n.peerKeys.reading = nil
	n.peerKeys.readAt = time.Now()
	if ok {
		n.peerKeys.keys = keys
	}
}

// readNodeRows reads the rows of all nodes. It returns false, and logs the error, if the store doesn't
// respond.
func (n *Node) readNodeRows(ctx context.Context) ([]platform.Row, bool) {
	rows, _, err := n.store.ReadPart(ctx, nodeTable, nodePart)
	if err != nil {
		n.log.Warn("node-rows-failed", zap.Error(err))
		return nil, false
	}
	return rows, true
}

// decodeNodeRow decodes a node's row. It returns false, and logs the error, if the row can't be read.
func (n *Node) decodeNodeRow(r platform.Row) (nodeRow, bool) {
	var v nodeRow
	if err := json.Unmarshal(r.Value, &v); err != nil {
		n.log.Error("node-row-unreadable", zap.String("node", r.Key), zap.Error(err))
		return nodeRow{}, false
	}
	return v, true
}

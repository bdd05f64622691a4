package front

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/leader"
	"guavapaddle/core/relay"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/hub"
	"guavapaddle/internal/lag"
	"guavapaddle/platform"
)

const (
	// assignInterval is how often the leader checks the relays.
	assignInterval = 250 * time.Millisecond
	// relayTimeout is how long a relay may not report to the leader before it is replaced.
	relayTimeout = 5 * time.Second
	// relayExclusion is how long a replaced relay isn't assigned again.
	relayExclusion = 30 * time.Second
	// minAssignInterval is the minimum time between two assignments, each of which reads the rows of all
	// nodes and makes the nodes of changed relays connect to others.
	minAssignInterval = time.Second
)

// sentRoster identifies a list of keys that a relay has sent to a leader.
type sentRoster struct {
	leader  string // fingerprint of the leader's certificate
	version uint64
}

// assigner assigns the relays while this node is the leader.
type assigner struct {
	n        *Node
	began    time.Duration            // boot time at which this node became leader, zero if it isn't
	nodes    int                      // number of nodes registered at the last check
	at       time.Duration            // boot time of the last assignment
	silent   map[string]time.Duration // relays that don't report, and since which boot time
	excluded map[string]time.Duration // replaced relays, and until which boot time
}

// assignRelays assigns the relays while this node is the leader.
func (n *Node) assignRelays(ctx context.Context) {
	a := assigner{n: n}
	for clock.Sleep(ctx, assignInterval) {
		if !n.placer.IsLeading() {
			a = assigner{n: n}
			continue
		}
		a.check(ctx, clock.SinceBoot())
	}
}

// check assigns relays if there are too few, or if one of them doesn't report.
func (a *assigner) check(ctx context.Context, now time.Duration) {
	if a.began == 0 {
		a.began, a.silent, a.excluded = now, map[string]time.Duration{}, map[string]time.Duration{}
	}
	assigned, ok := a.n.placer.Relays()
	if !ok {
		a.assignFirst(ctx, now)
		return
	}
	assigned = a.refresh(assigned)
	lost := a.lost(now, assigned)
	if now-a.at < minAssignInterval || !lost && a.sizes().Count(a.n.hub.NodeCount(), len(assigned)) <= len(assigned) {
		return
	}
	if list, nodes, ok := a.read(ctx); ok {
		a.assign(now, assigned, list, nodes)
	}
}

// assignFirst assigns relays when there never were any: as soon as so many nodes have registered that
// relays are needed, or none registers any more.
func (a *assigner) assignFirst(ctx context.Context, now time.Duration) {
	list, nodes, ok := a.read(ctx)
	if !ok {
		return
	}
	registered := total(nodes)
	settled := registered == a.nodes
	a.nodes = registered
	count := a.sizes().Count(registered, 0)
	if count == 0 && !settled || count > 0 && len(list) == 0 {
		return
	}
	a.assign(now, nil, list, nodes)
}

// assign assigns relays for the registered nodes. The nodes that report are only a sign that there may be
// more: while some change their upstream they are counted twice.
func (a *assigner) assign(now time.Duration, assigned []relay.Relay, list []relay.Candidate, nodes map[string]int) {
	count := total(nodes)
	relays := relay.Assign(list, assigned, nodes, a.sizes().Count(count, len(assigned)))
	a.at = now
	a.n.placer.SetRelays(relays)
	if !slices.Equal(relays, assigned) {
		a.n.log.Info("relays-assigned", zap.Int("relays", len(relays)), zap.Int("before", len(assigned)), zap.Int("nodes", count))
	}
}

// refresh returns the relays with the addresses and keys of their present processes, and assigns them if any
// relay has restarted.
func (a *assigner) refresh(assigned []relay.Relay) []relay.Relay {
	out := slices.Clone(assigned)
	for i, r := range out {
		if at, ok := a.n.hub.ContactOf(r.Node); ok {
			out[i].Address, out[i].Key = at.Address, at.Key
		}
	}
	if !slices.Equal(out, assigned) {
		a.n.placer.SetRelays(out)
	}
	return out
}

// lost reports whether a relay has to be replaced: one that has become the leader, or has been silent for
// too long, which is then excluded for a while.
func (a *assigner) lost(now time.Duration, assigned []relay.Relay) bool {
	lost := false
	for _, r := range assigned {
		if r.Node == a.n.settings.Node {
			lost = true
			continue
		}
		if _, ok := a.n.hub.ContactOf(r.Node); ok || now-a.began < relayTimeout {
			delete(a.silent, r.Node)
			continue
		}
		if _, ok := a.silent[r.Node]; !ok {
			a.silent[r.Node] = now
		}
		if now-a.silent[r.Node] >= relayTimeout {
			a.excluded[r.Node] = now + relayExclusion
			a.n.log.Info("relay-replaced", zap.String("relay", r.Node))
			lost = true
		}
	}
	return lost
}

// read reads the rows of all nodes, and returns the nodes that may become relays and the number of nodes
// by data centre.
func (a *assigner) read(ctx context.Context) ([]relay.Candidate, map[string]int, bool) {
	ctx, cancel := lag.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, ok := a.n.readNodeRows(ctx)
	if !ok {
		return nil, nil, false
	}
	now := clock.SinceBoot()
	nodes := map[string]int{}
	var list []relay.Candidate
	for _, r := range rows {
		v, ok := a.n.decodeNodeRow(r)
		if !ok {
			continue
		}
		nodes[v.DataCentre]++
		if r.Key != a.n.settings.Node && now >= a.excluded[r.Key] {
			list = append(list, v.candidate(r.Key))
		}
	}
	return relay.Capable(list, a.n.settings.Cores), nodes, true
}

// candidate returns the node with the row as a candidate.
func (r nodeRow) candidate(node string) relay.Candidate {
	return relay.Candidate{Cores: r.Cores, Relay: relay.Relay{Node: node, Address: r.Address, Key: r.Key, DataCentre: r.DataCentre}}
}

// sizes returns the sizes from the settings.
func (a *assigner) sizes() relay.Sizes {
	return relay.Sizes{MaxDirect: a.n.settings.MaxDirect, Fanout: a.n.settings.RelayFanout}
}

// total returns the sum of the numbers of nodes.
func total(nodes map[string]int) int {
	sum := 0
	for _, n := range nodes {
		sum += n
	}
	return sum
}

// unreportedKeys returns the keys of the nodes that use this node as their relay, unless the leader has got
// them. With the store unavailable, the leader would refuse those nodes once they have lost their relay.
func (n *Node) unreportedKeys(l leader.Lease) []string {
	keys, version := n.hub.Roster()
	n.sentRoster = sentRoster{leader: l.Key, version: version}
	if n.sentRoster == n.reportedRoster {
		return nil
	}
	return keys
}

// replyAsRelay replies to the report of a node that uses this node as its relay.
func (n *Node) replyAsRelay(r hub.Report, lease platform.Row) hub.ReportReply {
	reply := n.hub.MergeAsRelay(time.Now(), r)
	reply.Lease = lease
	reply.Nodes = max(reply.Nodes, int(n.nodeCount.Load()))
	if at := n.deputy.Load(); at != nil {
		reply.DeputyAt = *at
	}
	reply.Granter = n.reachedGranter()
	return reply
}

// reachedGranter returns the granter that this node reaches, 0 for none.
func (n *Node) reachedGranter() int64 {
	l, ok := n.placer.Leader()
	switch {
	case !ok || l.Node == "":
		return 0
	case !n.leaderSuspected():
		return l.TermID()
	case n.isActing(), n.deputyReached():
		return actingEpoch(l)
	default:
		return 0
	}
}

// granterOf returns the granter that counts the grants of this node under a lease: that of its relay, if
// it uses one.
func (n *Node) granterOf(l leader.Lease) int64 {
	if g := n.relayGranter.Load(); g != 0 && n.upstreamOf(l).isRelay {
		return g
	}
	return l.TermID()
}

package hub

import (
	"maps"
	"slices"
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/quota"
	"guavapaddle/core/speed"
)

// maxRelayedSpeeds bounds the speed reports that a relay keeps for its next report, at some 50 bytes each.
const maxRelayedSpeeds = 64

type (
	// NodeUsage is the usage report of a node whose relay passes it on.
	NodeUsage struct {
		Node   string
		Key    string // fingerprint of the node's certificate
		Report quota.UsageReport
	}

	// NodeQuotas is the reply to a NodeUsage.
	NodeQuotas struct {
		Node   string
		Number uint64 // of the report
		States map[string]quota.State
	}

	// relayState is what a relay passes on between the nodes that report to it and its leader.
	relayState struct {
		counts map[string]balance.Count // of the relay and of all nodes that don't report to it, by server
		limits []Limit                  // as the leader last sent them
		usage  map[string]NodeUsage     // likewise, by node
		quotas map[string]NodeQuotas    // last replies to the nodes' usage reports
		speeds []speed.Report           // of the nodes, since the last report to the leader

		crashes relayedCrashes
	}
)

// MergeAsRelay merges the report of a node that uses this node as its relay, and returns the reply from
// what the leader last sent.
func (h *Hub) MergeAsRelay(now time.Time, r Report) ReportReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.relay.usage == nil {
		h.relay.usage, h.relay.quotas = map[string]NodeUsage{}, map[string]NodeQuotas{}
	}
	if len(r.Quotas.Uses) > 0 || h.relay.quotas[r.Node].Number > 0 {
		h.relay.usage[r.Node] = NodeUsage{Node: r.Node, Key: r.At.Key, Report: r.Quotas}
	}
	if n := maxRelayedSpeeds - len(h.relay.speeds); n > 0 {
		h.relay.speeds = append(h.relay.speeds, r.Speeds[:min(n, len(r.Speeds))]...)
	}
	h.mergeCrashesAsRelay(now, r)
	h.merge(now, r)
	reply := h.reply(now, r)
	reply.Suspects, reply.Blocks = h.relay.crashes.suspects, h.relayedBlocks(now)
	reply.Relaying, reply.Notes = true, nil // its nodes don't know what engines hold
	for id, c := range h.relay.counts {
		reply.Counts[id] = addScaled(reply.Counts[id], c, 1)
	}
	reply.Limits = append(reply.Limits, h.relay.limits...)
	q := h.relay.quotas[r.Node]
	reply.Quotas, reply.UsageNumber = q.States, q.Number
	return reply
}

// WithNodes returns a relay's own report with the reports of its nodes since the last call added.
func (h *Hub) WithNodes(now time.Time, r Report) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.nodes) == 0 {
		return r
	}
	h.removeExpired(now)
	r.Nodes = 1 + h.nodeCount()
	r.Counts = addAll(r.Counts, h.total)
	r.Demand = append(r.Demand, h.demand...)
	r.Limits = append(r.Limits, EncodeLimits(now, h.limits)...)
	r.Usage = slices.Collect(maps.Values(h.relay.usage))
	r.Speeds = append(r.Speeds, h.relay.speeds...)
	h.relay.speeds = nil
	r = h.withCrashes(now, r)
	h.demand = nil
	clear(h.relay.usage)
	return r
}

// Roster returns the keys of the nodes that report here, and the version of that list.
func (h *Hub) Roster() (keys []string, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodeKeys(), h.rosterVersion
}

// WithCounts returns a relay's own counts with those of its nodes added.
func (h *Hub) WithCounts(own map[string]balance.Count) map[string]balance.Count {
	h.mu.Lock()
	defer h.mu.Unlock()
	return addAll(own, h.total)
}

// ApplyAsRelay records the leader's reply to a relay's report for its nodes, and returns the reply for the
// relay itself. own is the relay's own counts at the servers.
func (h *Hub) ApplyAsRelay(now time.Time, own map[string]balance.Count, reply ReportReply) ReportReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.relay.counts = addAll(reply.Counts, own)
	if h.HasGranter != nil {
		maps.DeleteFunc(h.relay.counts, func(id string, _ balance.Count) bool { return h.HasGranter(id) })
	}
	h.relay.limits = reply.Limits
	h.applyBlocksAsRelay(now, reply)
	for _, u := range reply.Notes {
		h.updates = append(h.updates, numbered[ResidencyUpdate]{u, now, h.nextNumber()})
	}
	for _, c := range reply.Crashed {
		h.announce(now, c)
	}
	for _, q := range reply.Usage {
		if h.relay.quotas != nil {
			h.relay.quotas[q.Node] = q
		}
	}
	reply.Counts = addAll(reply.Counts, h.total)
	return reply
}

// NodeCount returns the number of nodes whose reports were recently merged here or at a relay.
func (h *Hub) NodeCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodeCount()
}

// ContactOf returns the contact of a node that recently reported here.
func (h *Hub) ContactOf(node string) (Contact, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.nodes[node]
	return e.report.At, ok
}

// nodeCount returns the number of nodes in the recent reports; h.mu is held.
func (h *Hub) nodeCount() int {
	n := 0
	for _, e := range h.nodes {
		n += max(1, e.report.Nodes)
	}
	return n
}

// addAll returns the sum of two sets of counts.
func addAll(a, b map[string]balance.Count) map[string]balance.Count {
	out := make(map[string]balance.Count, len(a)+len(b))
	maps.Copy(out, a)
	for id, c := range b {
		if c = addScaled(out[id], c, 1); c != (balance.Count{}) {
			out[id] = c
		} else {
			delete(out, id)
		}
	}
	return out
}

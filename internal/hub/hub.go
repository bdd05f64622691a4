package hub

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"guavapaddle/core/balance"
	"guavapaddle/core/departure"
	"guavapaddle/core/deputy"
	"guavapaddle/core/grant"
	"guavapaddle/core/poison"
	"guavapaddle/core/quota"
	"guavapaddle/core/revision"
	"guavapaddle/core/software"
	"guavapaddle/core/speed"
	"guavapaddle/core/throttle"
	"guavapaddle/internal/follow"
	"guavapaddle/platform"
)

const (
	// reportTTL is how long a node's last report is used.
	reportTTL = 1500 * time.Millisecond
	// LimitTTL is how long nodes exchange a server's rate limit after it was last
	// reported.
	LimitTTL = 10 * time.Second
	// crashedTTL is how long crashed servers are announced to nodes that don't know of them yet.
	crashedTTL = 30 * time.Second
	// cleanupInterval is the interval at which old reports are dropped and the deputy is
	// selected anew, both of which iterate over all nodes.
	cleanupInterval = 50 * time.Millisecond
)

type (
	// Item is a model, or an adapter of it, of a service.
	Item = grant.Item

	// Demand counts a node's requests for an item since its last report.
	Demand struct {
		Item
		Tokens  int          // prompt tokens
		Waiting int          // requests that wait for it now
		Ran     StreamTotals // streams that ended
	}

	// StreamTotals sums up streams that ended successfully.
	StreamTotals struct {
		Tokens int           // prompt tokens
		Time   time.Duration // for which they occupied a slot of an engine
	}

	// ResidencyUpdate reports whether a server holds a model or adapter, before the server's
	// entry in the store shows it.
	ResidencyUpdate struct {
		Server  string
		Model   string
		Adapter string
		Held    bool
	}

	// CrashedServer is a server whose crash a node has noticed.
	CrashedServer struct {
		Server string        // incarnation
		Age    time.Duration // see poison.Crash
		Late   bool          // likewise
	}

	// Contact is a node's address, the fingerprint of its certificate, and the number
	// of processor cores that it may use.
	Contact struct {
		Address string
		Key     string
		Cores   float64
	}

	// Report is what a node sends to the leader.
	Report struct {
		Node   string
		At     Contact
		Counts map[string]balance.Count // by server
		Demand []Demand
		Known  follow.Versions
		Update *follow.Update // changes that this node has read and the leader lacks

		Contact  time.Duration     // since the store last responded to this node
		Heard    Ack               // residency updates and crashed servers that this node has received
		Lease    revision.Revision // of the lease's row that this node has
		Roster   uint64            // version of the list of reporting nodes that this node has
		Echo     ClockEcho
		Quotas   quota.UsageReport
		Limits   []Limit                 // rate limits that servers set or removed in responses to this node
		Departed []departure.Incarnation // servers that announced that they leave but whose entries don't show it yet

		Origins      []software.Origin // of streams, which the leader may not know
		KnownOrigins uint64            // number of the last origin received from the hub that Heard names

		Crashes []poison.Crash // of servers, which the leader may lack
		// KnownCrashes is the number of the last crash received from the hub that Heard names.
		KnownCrashes uint64
		Sounds       []poison.Sound // of the parts that the leader suspects
		Blocks       []poison.Block // that this node has

		Speeds []speed.Report // of servers, a few at a time

		Nodes int         // nodes whose reports a relay has added to its own, itself included; 0 for one
		Usage []NodeUsage // their usage reports
		Keys  []string    // fingerprints of their certificates, sent when they have changed
	}

	// Limit is what a server accepts, or accepts again without a limit.
	Limit struct {
		Server        string
		Rate          float64 // requests per second
		Active        bool    // false if the server removed its rate
		Brittle       bool    // the server fails if it has to reject more than MaxRejections requests in a second
		MaxRejections int
		Age           time.Duration
	}

	// ClockEcho relates the time at which a node read the store to the clock of the node to
	// which it reports, independently of the report's delay: it names the last reply
	// received from that node.
	ClockEcho struct {
		Hub   uint64        // that replied, 0 for none
		Stamp time.Duration // of its reply
		After time.Duration // from the arrival of the reply until the configuration was last confirmed as the newest
	}

	// Ack acknowledges the residency updates and crashed servers of a hub up to a number. A
	// reply contains the one to send back in the next report.
	Ack struct {
		Hub    uint64 // that numbered them
		Number uint64
	}

	// ReportReply is the leader's reply to a report.
	ReportReply struct {
		Leading  bool     // the replying node holds the lease
		Relaying bool     // the replying node is a relay
		Granter  int64    // granter that a relay reaches, 0 for none
		Acting   bool     // the replying node is the deputy, and grants slots while nobody holds the lease
		Deputy   bool     // the reporting node is the deputy and follows the store
		DeputyAt Contact  // of the deputy
		Keys     []string // of all reporting nodes, sent to the deputy when they have changed
		Roster   uint64   // version of Keys
		Nodes    int      // nodes with a recent report, including the reporting one
		Direct   int      // those of them that report to the replying node itself
		Counts   map[string]balance.Count
		Notes    []ResidencyUpdate // those that the reporting node hasn't acknowledged
		Crashed  []CrashedServer   // likewise
		Heard    Ack
		Stamp    time.Duration          // boot time of the replying node
		Quotas   map[string]quota.State // by team

		UsageNumber uint64       // of the usage report that Quotas replies to
		Usage       []NodeQuotas // replies to the usage reports that a relay has passed on

		Limits   []Limit                 // rate limits that servers set or removed in responses to any node
		Departed []departure.Incarnation // servers that announced to any node that they leave
		Update   follow.Update           // of the store's tables
		Lease    platform.Row            // as the leader last wrote it, unless the reporting node has it

		Suspects []poison.Part  // parts of requests that may crash servers
		Blocks   []poison.Block // in force

		Crashes      []poison.Crash // that nodes have observed, sent to the deputy
		KnownCrashes uint64         // number of the last of them

		Origins      []software.Origin // of streams, sent to the deputy
		KnownOrigins uint64            // number of the last of them
	}

	// Hub merges the nodes' reports. The zero value is ready to use and safe for
	// concurrent use. Its exported fields are set before the first report.
	Hub struct {
		Self string // name of this node
		// HasGranter reports whether requests to a server start only by a granter's
		// decision, so that nodes don't need the counts of others there; nil for no
		// server.
		HasGranter func(server string) bool
		// OnBlock is called when a block of requests that crash servers comes in force here, or is lifted. It may be nil.
		OnBlock func(b poison.Block, lifted bool)

		mu            sync.Mutex
		deputy        deputy.Selector
		deputyNode    string // name of the deputy
		cleanedAt     time.Time
		nodes         map[string]nodeReport
		total         map[string]balance.Count // over all nodes, by server
		updates       []numbered[ResidencyUpdate]
		crashed       []numbered[CrashedServer] // at is the time of the crash
		demand        []Demand                  // since the last call of Demand
		limits        map[string]throttle.Limit // by server
		reportedAt    map[string]time.Time      // when a node last reported a server's limit
		id            uint64                    // of this hub, random and not zero after the first report
		lastNumber    uint64                    // of the last residency update or crashed server
		rosterVersion uint64                    // version of the list of reporting nodes
		relay         relayState
		tracker       poison.Tracker
		observed      poison.Log              // crashes that nodes have reported, for the deputy
		inForce       map[string]poison.Block // for which OnBlock was called, by name
	}

	nodeReport struct {
		report Report
		at     time.Time
	}

	numbered[T any] struct {
		value  T
		at     time.Time
		number uint64
	}
)

// Merge merges a node's report and returns the reply: what the other nodes reported.
func (h *Hub) Merge(now time.Time, r Report) ReportReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.merge(now, r) {
		h.selectDeputy(now)
	}
	h.mergeCrashes(now, r)
	reply := h.reply(now, r)
	reply.Suspects, reply.Blocks = h.tracker.Suspects(now), h.blocks(now)
	reply.Leading, reply.Deputy, reply.DeputyAt = true, h.deputyNode == r.Node, h.nodes[h.deputyNode].report.At
	if reply.Deputy {
		reply.Crashes, reply.KnownCrashes = h.crashesForDeputy(now, r)
	}
	reply.UsageNumber = r.Quotas.Number
	if reply.Roster = h.rosterVersion; reply.Deputy && r.Roster != h.rosterVersion {
		reply.Keys = h.nodeKeys()
	}
	return reply
}

// Deputy returns the deputy of the leader, zero if there is none.
func (h *Hub) Deputy() Contact {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes[h.deputyNode].report.At
}

// merge merges a node's report, and reports whether expired reports were removed, which happens each
// cleanupInterval; h.mu is held.
func (h *Hub) merge(now time.Time, r Report) bool {
	if h.nodes == nil {
		h.nodes = map[string]nodeReport{}
		h.total = map[string]balance.Count{}
	}
	h.demand = append(h.demand, r.Demand...)
	h.mergeLimits(now, r.Limits)
	r.Demand, r.Update, r.Limits, r.Usage, r.Origins, r.Speeds = nil, nil, nil, nil, nil, nil
	r.Crashes, r.Sounds, r.Blocks = nil, nil, nil
	previous, known := h.nodes[r.Node]
	if !known || previous.report.At.Key != r.At.Key || len(r.Keys) > 0 {
		h.rosterVersion++
	}
	if len(r.Keys) == 0 {
		r.Keys = previous.report.Keys
	}
	h.removeReport(r.Node)
	h.nodes[r.Node] = nodeReport{r, now}
	h.addCounts(r.Counts, 1)
	if h.id == 0 {
		h.id = 1 + rand.Uint64N(math.MaxUint64)
		h.rosterVersion += h.id // versions of different hubs must not be equal
	}
	if known && now.Sub(h.cleanedAt) < cleanupInterval {
		return false
	}
	h.cleanedAt = now
	h.removeExpired(now)
	return true
}

// reply returns the part of the reply to a merged report that leader, deputy and relays have in common;
// h.mu is held.
func (h *Hub) reply(now time.Time, r Report) ReportReply {
	reply := ReportReply{Nodes: h.nodeCount(), Direct: len(h.nodes), Counts: h.countsOfOthers(r.Counts)}
	reply.Heard = Ack{h.id, h.lastNumber}
	acknowledged := uint64(0)
	if r.Heard.Hub == h.id {
		acknowledged = r.Heard.Number
	}
	reply.Notes = numberedAfter(h.updates, acknowledged)
	reply.Crashed = h.crashedAfter(now, acknowledged)
	reply.Limits = EncodeLimits(now, h.limits)
	return reply
}

// EncodeLimits converts rate limits to the form in which they are sent to another node,
// with ages instead of times.
func EncodeLimits(now time.Time, limits map[string]throttle.Limit) []Limit {
	out := make([]Limit, 0, len(limits))
	for id, l := range limits {
		out = append(out, Limit{Server: id, Rate: l.Rate, Active: l.Active, Brittle: l.Brittle, MaxRejections: l.MaxRejections, Age: now.Sub(l.At)})
	}
	return out
}

// Local converts a received limit to one on the local clock.
func (l Limit) Local(now time.Time) throttle.Limit {
	return throttle.Limit{Rate: l.Rate, Active: l.Active, Brittle: l.Brittle, MaxRejections: l.MaxRejections, At: now.Add(-l.Age)}
}

// mergeLimits merges the rate limits that a node reported; h.mu is held. A limit is kept for as
// long as nodes report it, however long ago the server set it.
func (h *Hub) mergeLimits(now time.Time, list []Limit) {
	if h.limits == nil {
		h.limits, h.reportedAt = map[string]throttle.Limit{}, map[string]time.Time{}
	}
	for _, l := range list {
		if limit := l.Local(now); limit.At.After(h.limits[l.Server].At) {
			h.limits[l.Server] = limit
		}
		h.reportedAt[l.Server] = now
	}
}

// nodeKeys returns the keys of all reporting nodes, and of those that report to relays; h.mu is held. The deputy
// needs them before other nodes call it, since the store may be unreachable by then.
func (h *Hub) nodeKeys() []string {
	out := make([]string, 0, h.nodeCount())
	for _, e := range h.nodes {
		out = append(append(out, e.report.At.Key), e.report.Keys...)
	}
	return out
}

// nextNumber returns the number of the next residency update or crashed server; h.mu is held.
func (h *Hub) nextNumber() uint64 {
	h.lastNumber++
	return h.lastNumber
}

// numberedAfter returns the values with a higher number, so that each node gets each value only
// once. When they were repeated until they expired, records of crashes and residency updates
// were 35 of the 95 MB that a leader sent to 77 nodes in 20 s.
func numberedAfter[T any](list []numbered[T], number uint64) []T {
	var out []T
	for _, d := range list {
		if d.number > number {
			out = append(out, d.value)
		}
	}
	return out
}

// selectDeputy selects the deputy, which follows the store in addition to this node; h.mu is
// held.
func (h *Hub) selectDeputy(now time.Time) {
	list := make([]deputy.Candidate, 0, len(h.nodes))
	for name, e := range h.nodes {
		if name != h.Self {
			list = append(list, deputy.Candidate{Node: name, Age: e.report.Contact + now.Sub(e.at), Cores: e.report.At.Cores})
		}
	}
	h.deputyNode = h.deputy.Select(now, list)
}

// AddResidencyUpdate adds a residency update, which is sent to all nodes until it expires.
func (h *Hub) AddResidencyUpdate(now time.Time, u ResidencyUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updates = append(h.updates, numbered[ResidencyUpdate]{u, now, h.nextNumber()})
}

// Demand returns the demand reported since the last call.
func (h *Hub) Demand() []Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.demand
	h.demand = nil
	return d
}

// Counts returns the counts of each server, summed over all nodes.
func (h *Hub) Counts() map[string]balance.Count {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.total)
}

// CountsAt returns the counts of the given servers, summed over all nodes.
func (h *Hub) CountsAt(servers []string) map[string]balance.Count {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]balance.Count, len(servers))
	for _, id := range servers {
		out[id] = h.total[id]
	}
	return out
}

// countsOfOthers returns the counts of all nodes but one, leaving out servers for which HasGranter is
// true; h.mu is held. With hundreds of servers the counts of all of them made up most of
// each reply.
func (h *Hub) countsOfOthers(own map[string]balance.Count) map[string]balance.Count {
	out := map[string]balance.Count{}
	for id, c := range h.total {
		if h.HasGranter != nil && h.HasGranter(id) {
			continue
		}
		if c = addScaled(c, own[id], -1); c != (balance.Count{}) {
			out[id] = c
		}
	}
	return out
}

// removeReport removes a node's last report; h.mu is held.
func (h *Hub) removeReport(node string) {
	h.addCounts(h.nodes[node].report.Counts, -1)
	delete(h.nodes, node)
}

// addCounts adds one node's counts to the sum, multiplied by times; h.mu is held. The sum is
// maintained incrementally: computing it anew for each report takes time proportional to
// the product of nodes and servers.
func (h *Hub) addCounts(counts map[string]balance.Count, times int) {
	for id, c := range counts {
		if c = addScaled(h.total[id], c, times); c == (balance.Count{}) {
			delete(h.total, id)
			continue
		}
		h.total[id] = c
	}
}

// addScaled returns a + times*b.
func addScaled(a, b balance.Count, times int) balance.Count {
	return balance.Count{Pending: a.Pending + times*b.Pending, Running: a.Running + times*b.Running,
		Tokens: a.Tokens + times*b.Tokens, Granted: a.Granted + times*b.Granted}
}

// removeExpired removes expired reports, residency updates, limits and crashed servers; h.mu is held.
func (h *Hub) removeExpired(now time.Time) {
	for name, e := range h.nodes {
		if now.Sub(e.at) > reportTTL {
			h.removeReport(name)
		}
	}
	h.updates = addedSince(h.updates, now.Add(-reportTTL))
	maps.DeleteFunc(h.reportedAt, func(_ string, at time.Time) bool { return now.Sub(at) > LimitTTL })
	maps.DeleteFunc(h.limits, func(id string, _ throttle.Limit) bool { return h.reportedAt[id].IsZero() })
	h.crashed = slices.DeleteFunc(h.crashed, func(c numbered[CrashedServer]) bool { return now.Sub(c.at) > crashedTTL })
}

// addedSince returns the values that were added at or after a time. The list is ordered by
// time.
func addedSince[T any](list []numbered[T], at time.Time) []numbered[T] {
	for len(list) > 0 && list[0].at.Before(at) {
		list = list[1:]
	}
	return list
}

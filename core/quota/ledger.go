package quota

import (
	"math"
	"time"

	"guavapaddle/core/fleet"
)

const (
	// silentAfter is the time since a node's last report after which its share is
	// withheld, because the node may have started to spend without the granter.
	silentAfter = 2500 * time.Millisecond
	// usageDecay is the time constant of the decaying sums of spending, from which shares
	// are computed.
	usageDecay = 4 * time.Second
	// evenFraction is the fraction of a quota that is divided evenly among all nodes, since
	// clients may send requests to any of them.
	evenFraction = 0.2
	// lowFraction is the fraction of the burst below which a bucket is low and nodes stay
	// within their shares.
	lowFraction = 0.5
	// overShareFraction is the fraction of its quota above which a team yields to others.
	overShareFraction = 0.75
	// pruneInterval is the interval between checks for silent nodes.
	pruneInterval = 100 * time.Millisecond
	// warmupTime is how long a new granter collects reports before it assigns shares.
	warmupTime = 2 * time.Second
	// roundingErrorMS is the tolerance for floating-point error in sums, in milliseconds.
	roundingErrorMS = 1e-6
)

type (
	// Usage is what a node has spent of a team's quota, in units since the node started.
	Usage struct {
		Spent float64 // total, from which the node's share is computed
		Owed  float64 // charged by the node and not by a granter, less refunds
	}

	// TeamUsage is a node's report of what it has spent of one team's quota.
	TeamUsage struct {
		Team  string
		Now   Usage
		Known Usage   // as of the last report that any granter acknowledged
		Share float64 // last share assigned to the node by any granter
	}

	// UsageReport is a node's usage report. The reports of a node are numbered, so that a
	// delayed or duplicate report is counted once.
	UsageReport struct {
		Number uint64
		Uses   []TeamUsage
	}

	// State is the granter's reply to a node about one team's quota.
	State struct {
		Share  float64 // fraction of the quota for requests that no granter charges; zero keeps the last share
		Scarce bool    // the bucket is low and the node must stay within its share
	}

	// Balance is the state of a team's bucket, for operators.
	Balance struct {
		Team  string
		Quota fleet.Quota
		Left  float64 // units, negative for debt
		Used  float64 // recent usage, units per second
	}

	// Ledger keeps the buckets of all teams. Its exported fields must be set before the
	// first call. It is not safe for concurrent use.
	Ledger struct {
		Tolerance Tolerance

		teams    map[string]*bucket
		nodes    map[string]*nodeUsage
		prunedAt time.Time
	}

	// bucket is the token bucket of one team.
	bucket struct {
		quota     fleet.Quota
		level     float64 // units left, negative for debt
		at        time.Time
		assigned  float64   // sum of the shares assigned to nodes, at most one
		withheld  float64   // fraction of the rate withheld for silent nodes
		startedAt time.Time // when this ledger created the bucket
		inherited float64   // sum of the shares that nodes held from earlier granters at their first report
		used      decayingSum
	}

	// nodeUsage is the state of a node that reports.
	nodeUsage struct {
		incarnation string
		number      uint64           // of the last report
		sums        map[string]Usage // as last reported, by team

		lastReport  time.Time
		silentSince time.Time // start of the time for which its shares are withheld, zero if they aren't
		used        map[string]*decayingSum
		shares      map[string]float64 // as last assigned, by team
	}

	// decayingSum is a sum whose values decay exponentially with their age.
	decayingSum struct {
		value float64
		at    time.Time
	}
)

// Reset discards all state, as a new granter must, which doesn't know what was spent
// before.
func (l *Ledger) Reset(now time.Time, teams []fleet.Team) {
	l.teams = map[string]*bucket{}
	l.nodes = map[string]*nodeUsage{}
	l.Configure(now, teams)
}

// Configure applies the quotas of teams. A bucket keeps its level, up to its new burst.
func (l *Ledger) Configure(now time.Time, teams []fleet.Team) {
	if l.teams == nil {
		l.teams = map[string]*bucket{}
		l.nodes = map[string]*nodeUsage{}
	}
	configured := make(map[string]bool, len(teams))
	for _, t := range teams {
		if t.Quota.Rate <= 0 {
			continue
		}
		configured[t.Name] = true
		b := l.teams[t.Name]
		if b == nil {
			l.teams[t.Name] = &bucket{quota: t.Quota, at: now, startedAt: now,
				level: min(t.Quota.Burst, initialFraction*l.Tolerance.Excess(t.Quota))}
			continue
		}
		l.refill(now, b)
		b.quota = t.Quota
		b.level = min(b.level, t.Quota.Burst)
	}
	for name := range l.teams {
		if !configured[name] {
			delete(l.teams, name)
		}
	}
}

// Charge takes the cost of a request from a team's bucket, or returns the time after
// which to retry. A request larger than the burst is charged once the bucket is full.
func (l *Ledger) Charge(now time.Time, team string, cost float64) (ok bool, after time.Duration) {
	b := l.teams[team]
	if b == nil {
		return true, 0
	}
	l.refill(now, b)
	if need := min(cost, b.quota.Burst); b.level < need {
		return false, ceilMilliseconds((need - b.level) / b.quota.Rate)
	}
	b.level -= cost
	return true, 0
}

// OverShare reports whether a team's recent usage is so close to its quota that requests of
// other teams go first while capacity is short. Without this, a team that sends many times
// its usual load would take the others' capacity even while it is below its quota.
func (l *Ledger) OverShare(now time.Time, team string) bool {
	b := l.teams[team]
	return b != nil && b.used.sum(now) > overShareFraction*b.quota.Rate*usageDecay.Seconds()
}

// Refund returns the charge of a request that hasn't run.
func (l *Ledger) Refund(now time.Time, team string, cost float64) {
	if b := l.teams[team]; b != nil {
		l.refill(now, b)
		b.level = min(b.level+cost, b.quota.Burst)
	}
}

// Report applies a node's usage report and returns the state of the quotas, by team. The
// incarnation identifies the node's process.
func (l *Ledger) Report(now time.Time, node, incarnation string, r UsageReport) map[string]State {
	if len(l.teams) == 0 {
		return nil
	}
	l.prune(now)
	n := l.nodes[node]
	if n == nil {
		n = &nodeUsage{used: map[string]*decayingSum{}, shares: map[string]float64{}}
		l.nodes[node] = n
	}
	l.resumeNode(now, n)
	n.lastReport = now
	if n.incarnation != incarnation {
		n.incarnation, n.number, n.sums = incarnation, 0, map[string]Usage{}
	}
	if r.Number > n.number {
		n.number = r.Number
		for _, u := range r.Uses {
			l.applyUse(now, n, u)
		}
	}
	return l.assignShares(now, n)
}

// applyUse applies a node's usage of one team's quota.
func (l *Ledger) applyUse(now time.Time, n *nodeUsage, u TeamUsage) {
	before, ok := n.sums[u.Team]
	if !ok {
		before = u.Known
	}
	n.sums[u.Team] = u.Now
	b := l.teams[u.Team]
	if b == nil {
		return
	}
	l.refill(now, b)
	if !ok {
		b.inherited += u.Share
	}
	b.level = min(b.level-(u.Now.Owed-before.Owed), b.quota.Burst)
	spent := u.Now.Spent - before.Spent
	b.used.add(now, spent)
	d := n.used[u.Team]
	if d == nil {
		d = &decayingSum{}
		n.used[u.Team] = d
	}
	d.add(now, spent)
}

// assignShares recomputes a node's shares and returns its state for each team.
func (l *Ledger) assignShares(now time.Time, n *nodeUsage) map[string]State {
	out := map[string]State{}
	l.revokeShares(n)
	for name, b := range l.teams {
		l.refill(now, b)
		s := State{Scarce: b.level < lowFraction*b.quota.Burst}
		if d := n.used[name]; d != nil && now.Sub(b.startedAt) >= warmupTime {
			s.Share = min(l.computeShare(now, b, d), max(0, 1-b.assigned))
			n.shares[name] = s.Share
			b.assigned += s.Share
		}
		if s != (State{}) {
			out[name] = s
		}
	}
	return out
}

// revokeShares removes the shares that were assigned to a node.
func (l *Ledger) revokeShares(n *nodeUsage) {
	for team, share := range n.shares {
		if b := l.teams[team]; b != nil {
			b.assigned = max(0, b.assigned-share)
		}
	}
	clear(n.shares)
}

// computeShare returns a node's share of a quota, given its recent spending d: an even
// fraction plus one proportional to its spending.
func (l *Ledger) computeShare(now time.Time, b *bucket, d *decayingSum) float64 {
	even := evenFraction / float64(len(l.nodes))
	all := b.used.sum(now)
	if all <= 0 {
		return even
	}
	return (1-evenFraction)*min(1, d.sum(now)/all) + even
}

// prune withholds the shares of nodes that have stopped reporting, and removes nodes whose
// shares can no longer be spent.
func (l *Ledger) prune(now time.Time) {
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	for name, n := range l.nodes {
		silence := now.Sub(n.lastReport)
		switch {
		case silence > silentAfter+l.Tolerance.Window:
			if !n.silentSince.IsZero() {
				l.adjustWithheld(now, n, -1)
			}
			l.revokeShares(n)
			delete(l.nodes, name)
		case silence > silentAfter && n.silentSince.IsZero():
			n.silentSince = n.lastReport
			l.adjustWithheld(now, n, 1)
			l.creditShares(now, n, -1)
		}
	}
}

// adjustWithheld adds a node's shares to the withheld fractions of the rates, or subtracts
// them if sign is -1.
func (l *Ledger) adjustWithheld(now time.Time, n *nodeUsage, sign float64) {
	for team, share := range n.shares {
		if b := l.teams[team]; b != nil {
			l.refill(now, b)
			b.withheld = min(1, max(0, b.withheld+sign*share))
		}
	}
}

// resumeNode releases the withheld shares of a silent node, including what accrued
// meanwhile. The node reports what it has spent of that.
func (l *Ledger) resumeNode(now time.Time, n *nodeUsage) {
	if n.silentSince.IsZero() {
		return
	}
	l.adjustWithheld(now, n, -1)
	l.creditShares(now, n, 1)
	n.silentSince = time.Time{}
}

// creditShares adds to the buckets what a silent node's shares have accrued since its last
// report, or subtracts it if sign is -1.
func (l *Ledger) creditShares(now time.Time, n *nodeUsage, sign float64) {
	for team, share := range n.shares {
		if b := l.teams[team]; b != nil {
			b.level = min(b.level+sign*share*b.quota.Rate*now.Sub(n.silentSince).Seconds(), b.quota.Burst)
		}
	}
}

// Balances returns the bucket state of all teams that have a quota.
func (l *Ledger) Balances(now time.Time) []Balance {
	out := make([]Balance, 0, len(l.teams))
	for name, b := range l.teams {
		l.refill(now, b)
		out = append(out, Balance{Team: name, Quota: b.quota, Left: b.level, Used: b.used.sum(now) / usageDecay.Seconds()})
	}
	return out
}

// refill adds to a bucket what has accrued since the last call. For one window after the
// start, once nodes have reported shares of an earlier granter, it accrues only the sum
// of those shares plus the even fraction, because nodes that haven't reported to this
// granter yet may still spend their shares.
func (l *Ledger) refill(now time.Time, b *bucket) {
	dt := now.Sub(b.at)
	if dt <= 0 {
		return
	}
	fraction := 1.0
	if b.inherited > 0 && now.Sub(b.startedAt) < l.Tolerance.Window {
		fraction = min(1, b.inherited+evenFraction)
	}
	fraction = max(0, fraction-b.withheld)
	b.level = min(b.quota.Burst, b.level+b.quota.Rate*fraction*dt.Seconds())
	b.at = now
}

// add adds the value v.
func (d *decayingSum) add(now time.Time, v float64) {
	d.value = d.sum(now) + v
	d.at = now
}

// sum returns the sum, decayed to the time now.
func (d *decayingSum) sum(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-max(0, now.Sub(d.at)).Seconds()/usageDecay.Seconds())
}

// ceilMilliseconds converts seconds to a duration, rounded up to whole milliseconds.
func ceilMilliseconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s*1000-roundingErrorMS)) * time.Millisecond
}

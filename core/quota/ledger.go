package quota

import (
	"math"
	"time"

	"guavapaddle/core/fleet"
)

const (
	// silentAfter is how long after a node's last report its share is kept back: it may
	// have begun to spend by itself.
	silentAfter = 2500 * time.Millisecond
	// memory is the time over which shares follow what nodes spend.
	memory = 4 * time.Second
	// evenPart is the part of a quota that all nodes share evenly, since callers may turn
	// to any of them.
	evenPart = 0.2
	// scarcePart is the part of the burst below which nodes keep to their shares.
	scarcePart = 0.5
	// greedyPart is the part of its quota from which on a team lets others go first.
	greedyPart = 0.75
	// tidyEvery is how often silent nodes are looked for.
	tidyEvery = 100 * time.Millisecond
	// settleTime is how long a granter listens to the nodes before it tells them shares.
	settleTime = 2 * time.Second
	// rounding, in milliseconds, is what sums of floating-point numbers may be off by.
	rounding = 1e-6
)

type (
	// Sum is what a node has spent of a team's quota, in units since the node started.
	Sum struct {
		Spent float64 // in all, for the node's share
		Owed  float64 // that no granter has charged, less what was given back
	}

	// Use is what a node has spent of a team's quota.
	Use struct {
		Team  string
		Now   Sum
		Known Sum     // as of the last report that was answered, whoever did
		Share float64 // that the node was told last, by whomever
	}

	// Uses is what a node reports. Reports of a node are numbered, so that one that comes
	// late or twice counts once.
	Uses struct {
		Number uint64
		Uses   []Use
	}

	// State is what a node is told of a team's quota.
	State struct {
		Share  float64 // of the quota, for what no granter charges; zero leaves the last one
		Scarce bool    // little is left: keep to the share
	}

	// Account is a team's use as an operator sees it.
	Account struct {
		Team  string
		Quota fleet.Quota
		Left  float64 // units, below zero for debt
		Used  float64 // units a second of late
	}

	// Ledger keeps the buckets of all teams. Its exported fields are set before the first
	// call. It is not safe for concurrent use.
	Ledger struct {
		Tolerance Tolerance

		teams  map[string]*account
		nodes  map[string]*member
		tidied time.Time
	}

	account struct {
		quota    fleet.Quota
		level    float64 // units left, below zero for debt
		at       time.Time
		told     float64   // sum of the nodes' shares, one at most
		withheld float64   // part of the rate kept back for silent nodes
		begun    time.Time // when this ledger began to keep it
		claimed  float64   // sum of the shares that nodes held when they first reported here
		used     decaying
	}

	// member is a node that reports.
	member struct {
		incarnation string
		number      uint64
		sums        map[string]Sum // as last reported

		heard  time.Time
		silent time.Time // since when its shares are kept back, zero if they aren't
		used   map[string]*decaying
		shares map[string]float64 // as it was told
	}

	// decaying is a sum in which older values count less.
	decaying struct {
		value float64
		at    time.Time
	}
)

// Reset begins anew, as a granter must that doesn't know what was spent before it.
func (l *Ledger) Reset(now time.Time, teams []fleet.Team) {
	l.teams = map[string]*account{}
	l.nodes = map[string]*member{}
	l.Configure(now, teams)
}

// Configure puts quotas in force. What is left of a bucket stays, up to its new burst.
func (l *Ledger) Configure(now time.Time, teams []fleet.Team) {
	if l.teams == nil {
		l.teams = map[string]*account{}
		l.nodes = map[string]*member{}
	}
	there := make(map[string]bool, len(teams))
	for _, t := range teams {
		if t.Quota.Rate <= 0 {
			continue
		}
		there[t.Name] = true
		a := l.teams[t.Name]
		if a == nil {
			l.teams[t.Name] = &account{quota: t.Quota, at: now, begun: now,
				level: min(t.Quota.Burst, beginPart*l.Tolerance.Excess(t.Quota))}
			continue
		}
		l.refill(now, a)
		a.quota = t.Quota
		a.level = min(a.level, t.Quota.Burst)
	}
	for name := range l.teams {
		if !there[name] {
			delete(l.teams, name)
		}
	}
}

// Charge takes the cost of a request out of a team's bucket, or tells when to come back.
// A request larger than the whole burst is taken when the bucket is full.
func (l *Ledger) Charge(now time.Time, team string, cost float64) (ok bool, after time.Duration) {
	a := l.teams[team]
	if a == nil {
		return true, 0
	}
	l.refill(now, a)
	if need := min(cost, a.quota.Burst); a.level < need {
		return false, seconds((need - a.level) / a.quota.Rate)
	}
	a.level -= cost
	return true, 0
}

// Greedy tells whether a team has used so much of its quota of late that it lets others
// go first while there isn't enough for all. A team that sends many times its usual would
// else take their part, also below its quota.
func (l *Ledger) Greedy(now time.Time, team string) bool {
	a := l.teams[team]
	return a != nil && a.used.sum(now) > greedyPart*a.quota.Rate*memory.Seconds()
}

// Refund gives back what a request was charged that hasn't run.
func (l *Ledger) Refund(now time.Time, team string, cost float64) {
	if a := l.teams[team]; a != nil {
		l.refill(now, a)
		a.level = min(a.level+cost, a.quota.Burst)
	}
}

// Report takes in what a node has spent, one process of which is an incarnation, and
// returns what it is told of the teams that it serves.
func (l *Ledger) Report(now time.Time, node, incarnation string, r Uses) map[string]State {
	if len(l.teams) == 0 {
		return nil
	}
	l.tidy(now)
	m := l.nodes[node]
	if m == nil {
		m = &member{used: map[string]*decaying{}, shares: map[string]float64{}}
		l.nodes[node] = m
	}
	l.resume(now, m)
	m.heard = now
	if m.incarnation != incarnation {
		m.incarnation, m.number, m.sums = incarnation, 0, map[string]Sum{}
	}
	if r.Number > m.number {
		m.number = r.Number
		for _, u := range r.Uses {
			l.enter(now, m, u)
		}
	}
	return l.state(now, m)
}

// enter takes in one use.
func (l *Ledger) enter(now time.Time, m *member, u Use) {
	before, ok := m.sums[u.Team]
	if !ok {
		before = u.Known
	}
	m.sums[u.Team] = u.Now
	a := l.teams[u.Team]
	if a == nil {
		return
	}
	l.refill(now, a)
	if !ok {
		a.claimed += u.Share
	}
	a.level = min(a.level-(u.Now.Owed-before.Owed), a.quota.Burst)
	spent := u.Now.Spent - before.Spent
	a.used.add(now, spent)
	d := m.used[u.Team]
	if d == nil {
		d = &decaying{}
		m.used[u.Team] = d
	}
	d.add(now, spent)
}

// state returns what a node is told of each team, and notes its shares.
func (l *Ledger) state(now time.Time, m *member) map[string]State {
	out := map[string]State{}
	l.untell(m)
	for name, a := range l.teams {
		l.refill(now, a)
		s := State{Scarce: a.level < scarcePart*a.quota.Burst}
		if d := m.used[name]; d != nil && now.Sub(a.begun) >= settleTime {
			s.Share = min(l.share(now, a, d), max(0, 1-a.told))
			m.shares[name] = s.Share
			a.told += s.Share
		}
		if s != (State{}) {
			out[name] = s
		}
	}
	return out
}

// untell forgets the shares that a node was told.
func (l *Ledger) untell(m *member) {
	for team, share := range m.shares {
		if a := l.teams[team]; a != nil {
			a.told = max(0, a.told-share)
		}
	}
	clear(m.shares)
}

// share returns a node's part of a quota.
func (l *Ledger) share(now time.Time, a *account, d *decaying) float64 {
	even := evenPart / float64(len(l.nodes))
	all := a.used.sum(now)
	if all <= 0 {
		return even
	}
	return (1-evenPart)*min(1, d.sum(now)/all) + even
}

// tidy keeps the shares of nodes back that have fallen silent, and forgets nodes whose
// shares may not be spent any more.
func (l *Ledger) tidy(now time.Time) {
	if now.Sub(l.tidied) < tidyEvery {
		return
	}
	l.tidied = now
	for name, m := range l.nodes {
		quiet := now.Sub(m.heard)
		switch {
		case quiet > silentAfter+l.Tolerance.Window:
			if !m.silent.IsZero() {
				l.withhold(now, m, -1)
			}
			l.untell(m)
			delete(l.nodes, name)
		case quiet > silentAfter && m.silent.IsZero():
			m.silent = m.heard
			l.withhold(now, m, 1)
			l.lend(now, m, -1)
		}
	}
}

// withhold adds a node's shares, so many times, to the part of the rate that is kept back.
func (l *Ledger) withhold(now time.Time, m *member, times float64) {
	for team, share := range m.shares {
		if a := l.teams[team]; a != nil {
			l.refill(now, a)
			a.withheld = min(1, max(0, a.withheld+times*share))
		}
	}
}

// resume gives the shares of a silent node back to its teams, with what was kept back
// meanwhile: what it has spent of that it reports.
func (l *Ledger) resume(now time.Time, m *member) {
	if m.silent.IsZero() {
		return
	}
	l.withhold(now, m, -1)
	l.lend(now, m, 1)
	m.silent = time.Time{}
}

// lend adds to the buckets, so many times, what a silent node's shares have brought in since
// it was last heard of.
func (l *Ledger) lend(now time.Time, m *member, times float64) {
	for team, share := range m.shares {
		if a := l.teams[team]; a != nil {
			a.level = min(a.level+times*share*a.quota.Rate*now.Sub(m.silent).Seconds(), a.quota.Burst)
		}
	}
}

// Accounts returns the use of all teams with a quota.
func (l *Ledger) Accounts(now time.Time) []Account {
	out := make([]Account, 0, len(l.teams))
	for name, a := range l.teams {
		l.refill(now, a)
		out = append(out, Account{Team: name, Quota: a.quota, Left: a.level, Used: a.used.sum(now) / memory.Seconds()})
	}
	return out
}

// refill adds to a bucket what has come in since the last call. Shares that an earlier
// granter told may be spent by nodes that haven't reported to this one yet.
func (l *Ledger) refill(now time.Time, a *account) {
	dt := now.Sub(a.at)
	if dt <= 0 {
		return
	}
	part := 1.0
	if a.claimed > 0 && now.Sub(a.begun) < l.Tolerance.Window {
		part = min(1, a.claimed+evenPart)
	}
	part = max(0, part-a.withheld)
	a.level = min(a.quota.Burst, a.level+a.quota.Rate*part*dt.Seconds())
	a.at = now
}

// add adds a value.
func (d *decaying) add(now time.Time, v float64) {
	d.value = d.sum(now) + v
	d.at = now
}

// sum returns the sum as it counts now.
func (d *decaying) sum(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-max(0, now.Sub(d.at)).Seconds()/memory.Seconds())
}

// seconds returns a time in whole milliseconds, rounded up.
func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s*1000-rounding)) * time.Millisecond
}

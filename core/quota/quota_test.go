package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/fleet"
	"guavapaddle/core/quota"
)

var (
	start     = time.Unix(1000, 0)
	tolerance = quota.Tolerance{Window: 8 * time.Second, Ratio: 0.1, Slack: 11000}
	desk      = fleet.Team{Name: "desk", Quota: fleet.Quota{Rate: 1000, Burst: 1000, CountTokens: true, DefaultTokens: 200}}
)

func newLedger() *quota.Ledger {
	l := &quota.Ledger{Tolerance: tolerance}
	l.Reset(start, []fleet.Team{desk})
	return l
}

func newAccount(seed uint64) *quota.Account {
	return &quota.Account{Tolerance: tolerance, Rand: rand.New(rand.NewPCG(seed, 1))}
}

// spend charges a request of team desk at a node that reaches a granter.
func spend(t *testing.T, a *quota.Account, cost float64) {
	t.Helper()
	ok, _ := a.Spend(start, desk, cost, true)
	require.True(t, ok)
}

func TestChargeUsesBurstThenRate(t *testing.T) {
	l := newLedger()
	ok, _ := l.Charge(start, "desk", 900)
	require.True(t, ok)
	ok, after := l.Charge(start, "desk", 600)
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, after)
	ok, _ = l.Charge(start.Add(after), "desk", 600)
	require.True(t, ok, "a retry after the returned delay must be admitted")
	l.Refund(start.Add(after), "desk", 600)
	ok, _ = l.Charge(start.Add(after), "desk", 600)
	require.True(t, ok, "the charge of a request that hasn't run must be refunded")
}

func TestChargeAboveBurstNeedsFullBucket(t *testing.T) {
	l := newLedger()
	ok, _ := l.Charge(start, "desk", 5000)
	require.True(t, ok)
	ok, after := l.Charge(start, "desk", 100)
	require.False(t, ok)
	require.Equal(t, 4100*time.Millisecond, after)
}

func TestTeamWithoutQuotaIsUnlimited(t *testing.T) {
	l := &quota.Ledger{Tolerance: tolerance}
	l.Reset(start, []fleet.Team{{Name: "free"}})
	for range 100 {
		ok, _ := l.Charge(start, "free", 1e6)
		require.True(t, ok)
	}
	a := newAccount(1)
	ok, _ := a.Spend(start, fleet.Team{Name: "free"}, 1e6, false)
	require.True(t, ok)
}

func TestLowerQuotaAppliesImmediately(t *testing.T) {
	l := newLedger()
	lower := desk
	lower.Quota.Rate, lower.Quota.Burst = 100, 100
	l.Configure(start, []fleet.Team{lower})
	ok, _ := l.Charge(start, "desk", 100)
	require.True(t, ok)
	ok, after := l.Charge(start, "desk", 50)
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, after)
}

// TestUnacknowledgedAndDuplicateReportsCountOnce loses the reply to a report, delivers
// that report again after a later one, and lets another granter take over.
func TestUnacknowledgedAndDuplicateReportsCountOnce(t *testing.T) {
	l := newLedger()
	left := func(l *quota.Ledger) float64 { return l.Balances(start)[0].Left }
	a := newAccount(1)
	spend(t, a, 200)
	lost := a.Report()
	l.Report(start, "n1", "a", lost) // the reply is lost
	require.Equal(t, 800.0, left(l))
	spend(t, a, 100)
	second := a.Report()
	l.Report(start, "n1", "a", second)
	a.Acknowledge(second.Number)
	require.Equal(t, 700.0, left(l))
	l.Report(start, "n1", "a", lost)
	require.Equal(t, 700.0, left(l), "a delayed report must not be counted again")

	other := newLedger()
	spend(t, a, 50)
	other.Report(start, "n1", "a", a.Report())
	require.Equal(t, 950.0, left(other), "another granter must charge what none has acknowledged")

	a = newAccount(2)
	spend(t, a, 40)
	l.Report(start, "n1", "b", a.Report())
	require.Equal(t, 660.0, left(l), "the sums of the node's next process start at zero")
}

// TestSilentNodeShareIsWithheld lets one of two nodes stop reporting, during which it may
// spend its share without the granter, and then report again.
func TestSilentNodeShareIsWithheld(t *testing.T) {
	l := newLedger()
	accounts := map[string]*quota.Account{"n1": newAccount(1), "n2": newAccount(2)}
	report := func(now time.Time, name string) {
		r := accounts[name].Report()
		accounts[name].Update(now, l.Report(now, name, name, r), 2)
		accounts[name].Acknowledge(r.Number)
	}
	for _, name := range []string{"n1", "n2"} {
		spend(t, accounts[name], 400)
		report(start, name)
	}
	now := start
	for range 21 { // until shares are assigned
		now = now.Add(100 * time.Millisecond)
		report(now, "n1")
		report(now, "n2")
	}
	for range 60 { // 6 s without n2
		now = now.Add(100 * time.Millisecond)
		report(now, "n1")
	}
	ok, _ := l.Charge(now, "desk", 1000)
	require.True(t, ok)
	now = now.Add(time.Second)
	report(now, "n1")
	ok, _ = l.Charge(now, "desk", 700)
	require.False(t, ok, "the share of n2 must be withheld")
	ok, _ = l.Charge(now, "desk", 300)
	require.True(t, ok)

	report(now, "n2")
	now = now.Add(time.Second)
	report(now, "n1")
	report(now, "n2")
	ok, _ = l.Charge(now, "desk", 950)
	require.True(t, ok, "n2 reports again and has spent nothing")
}

// TestShareSurvivesGranterChange lets another granter take over, which has not assigned
// shares yet, and then lets no granter reply.
func TestShareSurvivesGranterChange(t *testing.T) {
	a := newAccount(1)
	a.Update(start, map[string]quota.State{"desk": {Share: 1}}, 1)
	a.Update(start, map[string]quota.State{"desk": {Scarce: true}}, 1)
	a.Update(start, nil, 1)
	spend(t, a, 200)
	require.Equal(t, 1.0, a.Report().Uses[0].Share)
	a.Update(start.Add(time.Minute), nil, 1)
	require.Zero(t, a.Report().Uses[0].Share, "the share must expire")
}

// TestUsageStaysWithinTolerance simulates a team whose demand is four times its quota, at
// nodes that lose their connection to the granter at random, while the granter loses its
// state at random.
func TestUsageStaysWithinTolerance(t *testing.T) {
	const nodes, step, length = 40, 50 * time.Millisecond, 40 * time.Second
	for seed := range uint64(12) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		team := desk
		team.Quota.Rate = 2700 * float64(1+seed*seed)
		team.Quota.Burst = team.Quota.Rate
		l := &quota.Ledger{Tolerance: tolerance}
		l.Reset(start, []fleet.Team{team})
		var accounts []*quota.Account
		disconnectedUntil := make([]time.Time, nodes) // end of the node's disconnection from the granter
		for i := range nodes {
			accounts = append(accounts, newAccount(seed*100+uint64(i)))
		}
		type admission struct {
			at   time.Time
			cost float64
		}
		var admissions []admission
		demand := 4 * team.Quota.Rate * step.Seconds() // units per step, over all nodes
		for now := start; now.Before(start.Add(length)); now = now.Add(step) {
			if rnd.Float64() < 0.004 {
				l = &quota.Ledger{Tolerance: tolerance}
				l.Reset(now, []fleet.Team{team})
			}
			if rnd.Float64() < 0.01 {
				for i := range nodes {
					if rnd.Float64() < 0.33 {
						disconnectedUntil[i] = now.Add(time.Duration(rnd.Float64() * 4 * float64(time.Second)))
					}
				}
			}
			for i, a := range accounts {
				if now.Before(disconnectedUntil[i]) || rnd.IntN(16) != 0 {
					continue
				}
				r := a.Report()
				a.Update(now, l.Report(now, string(rune('A'+i)), "x", r), nodes)
				a.Acknowledge(r.Number)
			}
			for spent := 0.0; spent < demand; {
				i, cost, plain := rnd.IntN(nodes), 200+2800*rnd.Float64(), rnd.IntN(3) == 0
				if plain {
					cost = 200
				}
				spent += cost
				var ok bool
				switch a := accounts[i]; {
				case now.Before(disconnectedUntil[i]), plain:
					ok, _ = a.Spend(now, team, cost, !now.Before(disconnectedUntil[i]))
				default:
					if ok, _ = l.Charge(now, "desk", cost); ok {
						a.RecordCharge("desk", cost)
					}
				}
				if ok {
					admissions = append(admissions, admission{now, cost})
				}
			}
		}
		q := team.Quota
		bound := (q.Rate*tolerance.Window.Seconds()+q.Burst)*(1+tolerance.Ratio) + tolerance.Slack
		peak, total, sum, first := 0.0, 0.0, 0.0, 0
		for _, x := range admissions {
			total += x.cost
			sum += x.cost
			for x.at.Sub(admissions[first].at) > tolerance.Window {
				sum -= admissions[first].cost
				first++
			}
			peak = max(peak, sum)
		}
		require.LessOrEqual(t, peak, bound, "seed %d", seed)
		require.Greater(t, total, 0.7*q.Rate*length.Seconds(), "seed %d: admitted usage must stay close to the quota", seed)
	}
}

package granter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"guavapaddle/core/fleet"
	"guavapaddle/core/quota"
	"guavapaddle/internal/hub"
)

// Labels and descriptions of the metrics of quotas.
var (
	quotaLabels = []string{"team"}

	quotaLeft = prometheus.NewDesc("guavapaddle_quota_left", "Units left of a team's quota, below zero for debt, at the node that grants places.", quotaLabels, nil)
	quotaUsed = prometheus.NewDesc("guavapaddle_quota_used_per_second", "Units of its quota that a team used of late.", quotaLabels, nil)
	quotaRate = prometheus.NewDesc("guavapaddle_quota_rate", "Units a second that a team's quota allows.", quotaLabels, nil)
)

// SetTeams sets the quotas of teams.
func (g *Granter) SetTeams(teams []fleet.Team) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.teams = teams
	g.ledger.Tolerance = g.Tolerance
	g.ledger.Configure(time.Now(), teams)
}

// ReportUsage records the usage that a node reports and returns the quota states to send to it. The key
// identifies the node's process.
func (g *Granter) ReportUsage(node, key string, r quota.UsageReport) map[string]quota.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Report(time.Now(), node, key, r)
}

// Balances returns the balance of each team with a quota.
func (g *Granter) Balances() []quota.Balance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Balances(time.Now())
}

// Describe implements prometheus.Collector.
func (g *Granter) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{quotaLeft, quotaUsed, quotaRate, decisionsTotal, speedDesc, picksDesc} {
		c <- d
	}
}

// Collect implements prometheus.Collector.
func (g *Granter) Collect(c chan<- prometheus.Metric) {
	g.collectDecisions(c)
	g.collectSpeeds(c)
	for _, b := range g.Balances() {
		for d, v := range map[*prometheus.Desc]float64{quotaLeft: b.Left, quotaUsed: b.Used, quotaRate: b.Quota.Rate} {
			c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, b.Team)
		}
	}
}

// refund returns the charge of a request that got no slot.
func (g *Granter) refund(c hub.Charge) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Refund(time.Now(), c.Team, c.Cost)
}

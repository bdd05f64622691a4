package granter

import (
	"github.com/prometheus/client_golang/prometheus"

	"guavapaddle/core/grant"
	"guavapaddle/core/turns"
)

// grantedLabel is the label of a grant among the reasons of refusals.
const grantedLabel = "granted"

// decisionsTotal describes the metric of decisions.
var decisionsTotal = prometheus.NewDesc("guavapaddle_granter_decisions_total", "Decisions on slot requests.", []string{"class", "reason", "turn"}, nil)

// decisionKind identifies decisions that are counted together.
type decisionKind struct {
	class  grant.Class
	reason string
	turn   turns.Standing
}

// countDecision counts the decision on a request of a class.
func (g *Granter) countDecision(c grant.Class, d grant.Decision) {
	k := decisionKind{c, string(d.Reason), d.Turn}
	if d.Granted {
		k.reason = grantedLabel
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.decisions == nil {
		g.decisions = map[decisionKind]int{}
	}
	g.decisions[k]++
}

// collectDecisions sends the metric of decisions.
func (g *Granter) collectDecisions(c chan<- prometheus.Metric) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, n := range g.decisions {
		c <- prometheus.MustNewConstMetric(decisionsTotal, prometheus.CounterValue, float64(n), k.class.String(), k.reason, k.turn.String())
	}
}

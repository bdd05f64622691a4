package granter

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"guavapaddle/core/grant"
	"guavapaddle/core/speed"
)

const (
	// speedLogInterval is the least time between two log lines about picks that estimates changed.
	speedLogInterval = time.Second
	// maxSpeedMetrics bounds the servers whose speed is a metric: the slowest ones.
	maxSpeedMetrics = 100
)

// Descriptions of the metrics of servers' speed.
var (
	speedDesc = prometheus.NewDesc("guavapaddle_server_speed", "Lasting speed of the slowest backend servers relative to the usual one, at the node that grants slots.", []string{"server"}, nil)
	picksDesc = prometheus.NewDesc("guavapaddle_speed_picks_total", "Slots granted at another server than at the usual speed of all.", nil, nil)
)

// speedLog counts the picks that estimates of speed changed, and limits the log lines about them.
type speedLog struct {
	picks    uint64
	loggedAt time.Time
}

// Speeds returns the lasting speed of the servers that report their pace, relative to the usual one and more than 1 if they are
// faster, by ID.
func (g *Granter) Speeds() map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.picker == nil {
		return nil
	}
	return g.picker.Speeds(time.Now())
}

// MergeSpeeds merges what another node has learned of servers.
func (g *Granter) MergeSpeeds(list []speed.Report) {
	if len(list) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.picker != nil {
		g.picker.MergeSpeeds(time.Now(), list)
	}
}

// logSpeed counts and logs a grant at another server than at the usual speed of all; g.mu is held.
func (g *Granter) logSpeed(w waiter, d grant.Decision) {
	if d.Selection.AtUsualSpeed == "" {
		return
	}
	g.speedLog.picks++
	now := time.Now()
	if now.Sub(g.speedLog.loggedAt) < speedLogInterval {
		return
	}
	g.speedLog.loggedAt = now
	e := d.Selection.Speed
	other, _ := g.picker.Speed(now, d.Selection.AtUsualSpeed)
	g.Log.Info("speed-pick", zap.String("request-id", w.slot.Request), zap.String("server", d.Selection.Server.ID), zap.Float64("factor", e.Factor),
		zap.Float64("confidence", e.Confidence), zap.Duration("age", e.Age), zap.String("source", string(e.Source)),
		zap.String("in-place-of", d.Selection.AtUsualSpeed), zap.Float64("its-factor", other.Factor), zap.Duration("its-age", other.Age), zap.String("its-source", string(other.Source)))
}

// collectSpeeds collects the metrics of servers' speed.
func (g *Granter) collectSpeeds(c chan<- prometheus.Metric) {
	speeds := g.Speeds()
	ids := slices.SortedFunc(maps.Keys(speeds), func(a, b string) int {
		switch {
		case speeds[a] < speeds[b]:
			return -1
		case speeds[a] > speeds[b]:
			return 1
		}
		return strings.Compare(a, b)
	})
	for _, id := range ids[:min(len(ids), maxSpeedMetrics)] {
		c <- prometheus.MustNewConstMetric(speedDesc, prometheus.GaugeValue, speeds[id], id)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c <- prometheus.MustNewConstMetric(picksDesc, prometheus.CounterValue, float64(g.speedLog.picks))
}

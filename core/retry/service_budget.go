package retry

import "time"

const (
	// usableRatio is the fraction of Ratio that the nodes use. The rest is a
	// reserve, because the request of a client that retries at another node counts
	// again in another window.
	usableRatio = 0.75
	// usableExtra is the fraction of Extra that is divided among the nodes.
	usableExtra = 0.85
	// burstFraction is the fraction of a node's part of Extra that may be spent at
	// once. The rest accrues over the window.
	burstFraction = 2.0 / 3
	// defaultRatio, defaultExtra and defaultWindow are the limits of a backend
	// service in the users' specifications for eight nodes.
	defaultRatio  = 0.2
	defaultExtra  = 56
	defaultWindow = 10 * time.Second
	// UnknownNodes is the number of nodes assumed until the actual one is known.
	UnknownNodes = 100
)

// ServiceBudget limits the retries to one backend service over all nodes together. A
// retry is any send of a request beyond the first. Zero fields select the
// defaults.
type ServiceBudget struct {
	Ratio  float64       // retries per request in a window, negative for none
	Extra  float64       // retries in a window in addition to Ratio, negative for none
	Window time.Duration // period to which Ratio and Extra apply
}

// Apply sets the rates of b to one node's part of the service's budget and keeps
// what b has spent. nodes is the number of nodes, or zero if it isn't known yet.
// The parts depend on the number of nodes: with a fixed part per node, an eighth
// of 56, 65 nodes with 100 requests per second send 510 retries in ten seconds to
// a service that allows 370.
func (f ServiceBudget) Apply(b *Budget, nodes int) {
	if nodes <= 0 {
		nodes = UnknownNodes
	}
	window := f.Window
	if window == 0 {
		window = defaultWindow
	}
	extra := orDefault(f.Extra, defaultExtra) * usableExtra / float64(nodes)
	b.PerSuccess = noneIfZero(orDefault(f.Ratio, defaultRatio) * usableRatio)
	b.Burst = max(1, extra*burstFraction)
	b.PerSecond = noneIfZero(extra * (1 - burstFraction) / window.Seconds())
}

// noneIfZero returns -1, which means none in a Budget, if v is zero, and v otherwise.
func noneIfZero(v float64) float64 {
	if v == 0 {
		return -1
	}
	return v
}

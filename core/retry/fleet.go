package retry

import "time"

const (
	// fleetShare is the part of a fleet's allowance for each request that its
	// nodes use: a client that comes back elsewhere counts anew in another window.
	fleetShare = 0.75
	// fleetExtra is the part of the allowance without requests that is shared out,
	// of which burstPart may be spent at once and the rest comes back over the
	// window.
	fleetExtra = 0.85
	burstPart  = 2.0 / 3
	// fleetRatio, fleetMore and fleetWindow are what services bear by the users'
	// sheets for eight nodes.
	fleetRatio  = 0.2
	fleetMore   = 56
	fleetWindow = 10 * time.Second
	// UnknownNodes stands for the size of the fleet before it is known.
	UnknownNodes = 100
)

// Fleet is what a backend service bears of sends beyond the first of each
// request, over all nodes together. Fields that are zero take the defaults.
type Fleet struct {
	Ratio  float64       // of the requests in a window, below zero for none
	Extra  float64       // beyond that, in a window, below zero for none
	Window time.Duration // over which both count
}

// Part sets a budget to one node's part of the fleet's; what it has spent stays.
// The number of nodes is zero if it isn't known yet. With a fixed part for each, an
// eighth of 56, 65 nodes with 100 requests a second send 510 repeats in ten seconds
// to a service that bears 370.
func (f Fleet) Part(b *Budget, nodes int) {
	if nodes <= 0 {
		nodes = UnknownNodes
	}
	window := f.Window
	if window == 0 {
		window = fleetWindow
	}
	extra := or(f.Extra, fleetMore) * fleetExtra / float64(nodes)
	b.Share = orNone(or(f.Ratio, fleetRatio) * fleetShare)
	b.Burst = max(1, extra*burstPart)
	b.Floor = orNone(extra * (1 - burstPart) / window.Seconds())
}

// orNone returns what stands for none in a Budget in place of zero.
func orNone(v float64) float64 {
	if v == 0 {
		return -1
	}
	return v
}

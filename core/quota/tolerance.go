package quota

import (
	"time"

	"guavapaddle/core/fleet"
)

const (
	// initialFraction is the fraction of the tolerance to which buckets are filled at first, as
	// a new granter doesn't know what was spent before.
	initialFraction = 0.25
	// reserveFraction is the fraction of the tolerance that all nodes together may spend in
	// addition to their shares of the rate while they can't reach a granter.
	reserveFraction = 0.25
)

// Tolerance is the maximum by which usage may exceed a quota in any window.
type Tolerance struct {
	Window time.Duration
	Ratio  float64 // fraction of what the quota allows in a window
	Slack  float64 // units, in addition to Ratio
}

// Excess returns the units by which a team may exceed the quota q in a window.
func (t Tolerance) Excess(q fleet.Quota) float64 {
	return t.Ratio*(q.Rate*t.Window.Seconds()+q.Burst) + t.Slack
}

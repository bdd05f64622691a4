package quota

import (
	"time"

	"guavapaddle/core/fleet"
)

const (
	// beginPart is the part of the tolerance with which a granter begins that knows
	// nothing of what was spent before.
	beginPart = 0.25
	// reservePart is the part of the tolerance that nodes may spend beside their shares
	// of the rate while they reach no granter, all of them together.
	reservePart = 0.25
)

// Tolerance is how far the use of a quota may go over in a window: by a part of
// what the quota allows in it, and a slack in units.
type Tolerance struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Excess returns the units by which a team may go over its quota in a window.
func (t Tolerance) Excess(q fleet.Quota) float64 {
	return t.Over*(q.Rate*t.Window.Seconds()+q.Burst) + t.Slack
}

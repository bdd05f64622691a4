package throttle_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"guavapaddle/core/throttle"
)

var start = time.Unix(1000, 0)

// at returns a time so many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestOnlyAnAnswerToALaterRequestWithdrawsARate(t *testing.T) {
	for name, x := range map[string]struct {
		said    []throttle.Limit
		active  bool
		rate    float64
		changes int
	}{
		"none":              {[]throttle.Limit{throttle.Withdrawn(at(1))}, false, 0, 0},
		"named":             {[]throttle.Limit{throttle.Named(at(1), 2)}, true, 2, 1},
		"named again":       {[]throttle.Limit{throttle.Named(at(1), 2), throttle.Named(at(2), 2)}, true, 2, 1},
		"another rate":      {[]throttle.Limit{throttle.Named(at(1), 2), throttle.Named(at(2), 3)}, true, 3, 2},
		"withdrawn":         {[]throttle.Limit{throttle.Named(at(1), 2), throttle.Withdrawn(at(2))}, false, 0, 2},
		"sent before":       {[]throttle.Limit{throttle.Named(at(5), 2), throttle.Withdrawn(at(4))}, true, 2, 1},
		"older news":        {[]throttle.Limit{throttle.Named(at(5), 2), throttle.Named(at(4), 9)}, true, 2, 1},
		"named once more":   {[]throttle.Limit{throttle.Named(at(1), 2), throttle.Withdrawn(at(2)), throttle.Named(at(3), 2)}, true, 2, 3},
		"zero is a rate":    {[]throttle.Limit{throttle.Named(at(1), 0)}, true, 0, 1},
		"withdrawn, before": {[]throttle.Limit{throttle.Named(at(3), 2), throttle.Withdrawn(at(4)), throttle.Named(at(2), 5)}, false, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var v throttle.Throttle
			changes := 0
			for _, l := range x.said {
				if v.Learn(l) {
					changes++
				}
			}
			require.Equal(t, x.active, v.Limit().Active)
			if x.active {
				require.InDelta(t, x.rate, v.Limit().Rate, 0)
			}
			require.Equal(t, x.changes, changes)
		})
	}
}

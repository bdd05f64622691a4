package limit

import (
	"math"
	"time"
)

// usage counts units: settled units decay, reserved units don't.
type usage struct {
	settled  float64 // decayed to the time at
	reserved float64
	at       time.Time
}

// level returns the units at the time now. A clock that moves backwards is
// treated as stopped.
func (u *usage) level(now time.Time, window float64) float64 {
	if passed := now.Sub(u.at).Seconds(); passed > 0 {
		u.settled *= math.Exp(-passed / window)
		u.at = now
	}
	return u.settled + u.reserved
}

// settle turns reserved units into settled ones.
func (u *usage) settle(now time.Time, window, reserved, actual float64) {
	u.level(now, window)
	u.reserved = max(0, u.reserved-reserved)
	u.settled += actual
}

// retryAfter returns the time, limited to between MinRetryAfter and MaxRetryAfter,
// until the usage has decayed to target units, assuming that reserved units are
// settled at their estimates now.
func (u *usage) retryAfter(now time.Time, window, target float64) time.Duration {
	level := u.level(now, window)
	if target <= 0 {
		return MaxRetryAfter
	}
	if level <= target {
		return MinRetryAfter
	}
	s := window * math.Log(level/target)
	return min(max(time.Duration(s*float64(time.Second)), MinRetryAfter), MaxRetryAfter)
}

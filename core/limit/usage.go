package limit

import (
	"math"
	"time"
)

// usage is units in use: settled ones fade, reserved ones stay.
type usage struct {
	settled  float64 // as of at
	reserved float64
	at       time.Time
}

// level returns the units at now. A clock that goes back counts as standing.
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

// wait returns how long it takes until at most want units are left, if what is
// reserved now is settled at its estimate.
func (u *usage) wait(now time.Time, window, want float64) time.Duration {
	level := u.level(now, window)
	if want <= 0 {
		return MaxRetryAfter
	}
	if level <= want {
		return MinRetryAfter
	}
	s := window * math.Log(level/want)
	return min(max(time.Duration(s*float64(time.Second)), MinRetryAfter), MaxRetryAfter)
}

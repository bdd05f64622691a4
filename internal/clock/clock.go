// Package clock supplements package time with a sleep that a context can cancel
// and a clock that includes the time for which the VM was suspended.
//
// # Usage
//
//	for clock.Sleep(ctx, period) { work() }
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Sleep waits for d or until ctx is cancelled. It reports whether the full time has
// elapsed. If d isn't positive it returns at once, without a timer: under the race detector, reading one
// that has already expired can crash the runtime in simulated time.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// SinceBoot returns the time since the VM booted. Unlike the monotonic clock of package
// time, it includes the time for which the VM was suspended.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Package clock holds what the parts of a node need of time beside package
// time: a wait that a context ends, and a clock that never stands still.
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

// Sleep waits for d and tells whether ctx is still open.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Boot returns the time since the VM started, with the time for which it was
// suspended, which the monotonic clock of package time leaves out.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: no boot clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}

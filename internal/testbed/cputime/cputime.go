// Package cputime measures the processor time of a function, for tests that compare costs.
//
// Wall time grows with the load of the machine, and more for what runs long enough to be
// preempted; the processor time of a thread doesn't count the time of others.
//
// # Usage
//
//	least := cputime.Least(20, func() { plan(input) })
package cputime

import (
	"math"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// Of returns the processor time that f takes on its own thread.
func Of(f func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := now()
	f()
	return now() - began
}

// Least returns the least processor time of so many calls of f.
func Least(calls int, f func()) time.Duration {
	least := time.Duration(math.MaxInt64)
	for range calls {
		least = min(least, Of(f))
	}
	return least
}

// now returns the processor time of the thread.
func now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic("cputime: no clock of the thread: " + err.Error())
	}
	return time.Duration(t.Nano())
}

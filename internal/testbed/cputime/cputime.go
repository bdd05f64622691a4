// Package cputime measures the CPU time of a function, for tests that compare costs.
//
// Wall time grows with the load of the machine, and more so for functions that run long
// enough to be preempted. The CPU time of a thread excludes the time of other threads.
//
// # Usage
//
//	least := cputime.Min(20, func() { plan(input) })
package cputime

import (
	"math"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// Of returns the CPU time of a call of f. It locks the goroutine to its thread during the
// call.
func Of(f func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := threadTime()
	f()
	return threadTime() - began
}

// Min returns the minimum CPU time over the given number of calls of f.
func Min(calls int, f func()) time.Duration {
	least := time.Duration(math.MaxInt64)
	for range calls {
		least = min(least, Of(f))
	}
	return least
}

// threadTime returns the CPU time of the current thread.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic("cputime: cannot read the thread's CPU clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Package pause finds out since when a process has been running without a pause, as of its VM or by a signal.
//
// # Method
//
// The process records a beat every few milliseconds. A longer gap between two beats, or since the last one, is a pause: what the process knew before
// may have changed, and what it reads at first may have been sent before the gap. Times are of a clock that goes on while the VM is suspended.
//
// # Usage
//
//	d := pause.Detector{MaxGap: 250 * time.Millisecond}
//	d.Beat(now) // periodically
//	...
//	if readAt > d.RunningSince(now) {
//		// what was read at that time is newer than the gap
//	}
package pause

package pause

import "time"

// Detector finds gaps between beats. One without a beat has no gap. It isn't safe for concurrent use.
type Detector struct {
	MaxGap time.Duration // between two beats, above which the process was paused

	last  time.Duration // beat
	since time.Duration // end of the last gap
	beats bool
}

// Beat records that the process runs, and returns the gap that ends now, zero if there is none.
func (d *Detector) Beat(now time.Duration) time.Duration {
	gap := now - d.last
	isGap := d.beats && gap > d.MaxGap
	d.last, d.beats = now, true
	if !isGap {
		return 0
	}
	d.since = now
	return gap
}

// RunningSince returns the time since when the process has been running, which is now if it hasn't recorded the end of a gap yet, and zero if there was no
// gap.
func (d *Detector) RunningSince(now time.Duration) time.Duration {
	if d.beats && now-d.last > d.MaxGap {
		return now
	}
	return d.since
}

package headroom

import "time"

const (
	// Window is the time over which arrivals are remembered.
	Window = buckets * bucketWidth
	// bucketWidth is the time in which arrivals are counted together. Bursts last for seconds.
	bucketWidth = 500 * time.Millisecond
	// buckets is the number of complete buckets that are remembered.
	buckets = 16
	// peakWindow is the number of newest complete buckets among which a peak is searched.
	peakWindow = 8
	// peakBuckets is the number of consecutive buckets of which a peak is the maximum.
	peakBuckets = 2
)

// arrivals counts events in the last Window. The zero value works.
type arrivals struct {
	start  time.Time          // of the first bucket, zero if there was no event
	newest int64              // number of the newest bucket
	counts [buckets + 1]int32 // by number of the bucket, modulo; the newest one is incomplete
}

// add counts an event. One that is older than the newest bucket counts in the newest.
func (a *arrivals) add(now time.Time) {
	if a.start.IsZero() {
		a.start = now
	}
	a.advance(now)
	a.counts[a.newest%int64(len(a.counts))]++
}

// advance empties the buckets that have passed since the newest.
func (a *arrivals) advance(now time.Time) {
	n := int64(now.Sub(a.start) / bucketWidth)
	if n-a.newest > int64(len(a.counts)) {
		clear(a.counts[:])
		a.newest = n
	}
	for a.newest < n {
		a.newest++
		a.counts[a.newest%int64(len(a.counts))] = 0
	}
}

// total returns the number of events in the window.
func (a *arrivals) total(now time.Time) int {
	a.advance(now)
	sum := 0
	for _, n := range a.counts {
		sum += int(n)
	}
	return sum
}

// age returns for how long events have been counted, at most Window.
func (a *arrivals) age(now time.Time) time.Duration {
	if a.start.IsZero() {
		return 0
	}
	return min(max(now.Sub(a.start), bucketWidth), Window)
}

// mean returns the events per second in the window.
func (a *arrivals) mean(now time.Time) float64 {
	if a.start.IsZero() {
		return 0
	}
	return float64(a.total(now)) / a.age(now).Seconds()
}

// recent returns the events per second in the last buckets, with the incomplete one.
func (a *arrivals) recent(now time.Time) float64 {
	a.advance(now)
	sum := 0
	for i := range int64(peakBuckets + 1) {
		sum += a.at(a.newest - i)
	}
	span := peakBuckets*bucketWidth + now.Sub(a.start)%bucketWidth
	return float64(sum) / span.Seconds()
}

// peak returns the maximum of events per second over consecutive complete buckets, and of recent.
func (a *arrivals) peak(now time.Time) float64 {
	highest := a.recent(now)
	for i := int64(1); i+peakBuckets-1 <= peakWindow; i++ {
		sum := 0
		for j := range int64(peakBuckets) {
			sum += a.at(a.newest - i - j)
		}
		highest = max(highest, float64(sum)/(peakBuckets*bucketWidth).Seconds())
	}
	return highest
}

// at returns the count of a bucket in the window.
func (a *arrivals) at(n int64) int {
	if n < 0 {
		return 0
	}
	return int(a.counts[n%int64(len(a.counts))])
}

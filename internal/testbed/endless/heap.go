package endless

import (
	"runtime"
	"runtime/metrics"
	"time"
)

const (
	liveHeap       = "/gc/heap/live:bytes"
	sampleInterval = 20 * time.Millisecond
)

// PeakHeap calls f and returns the most bytes of the heap that were live at a collection of garbage meanwhile, with one as f begins.
func PeakHeap(f func()) uint64 {
	runtime.GC()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	peak := readLiveHeap()
	for {
		select {
		case <-done:
			return max(peak, readLiveHeap())
		case <-time.After(sampleInterval):
			peak = max(peak, readLiveHeap())
		}
	}
}

// readLiveHeap returns the bytes that were live at the last collection.
func readLiveHeap() uint64 {
	sample := []metrics.Sample{{Name: liveHeap}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

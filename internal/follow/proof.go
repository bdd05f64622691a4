package follow

import (
	"math"
	"sync/atomic"
	"time"
)

// neverProved is the age of a configuration of which nothing is known.
const neverProved = time.Duration(math.MaxInt64)

// proof tells up to when the configuration that was passed on is known to have been the
// newest. It counts from the start of the call of the store that showed it, on a clock
// that goes on while the process stands still. It is safe for concurrent use.
type proof struct {
	at  atomic.Int64 // boot time, zero for never
	bad atomic.Bool  // the newest configuration can't be read, and an older one is in force
}

// readable notes whether the newest configuration could be read.
func (p *proof) readable(ok bool) { p.bad.Store(!ok) }

// advance notes that the configuration was the newest at a boot time.
func (p *proof) advance(at time.Duration) {
	if p.bad.Load() {
		return
	}
	for {
		old := p.at.Load()
		if int64(at) <= old || p.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// age returns how long ago that was.
func (p *proof) age(now time.Duration) time.Duration {
	at := p.at.Load()
	if at == 0 {
		return neverProved
	}
	return now - time.Duration(at)
}

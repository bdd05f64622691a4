package follow

import (
	"math"
	"sync/atomic"
	"time"
)

// neverConfirmed is the age of a configuration that was never confirmed as the newest.
const neverConfirmed = time.Duration(math.MaxInt64)

// confirmation holds the time at which the configuration given to OnConfig was last
// confirmed as the newest: the start of the store call that showed it, on a clock that
// advances while the process is suspended. It is safe for concurrent use.
type confirmation struct {
	at         atomic.Int64 // boot time, zero for never
	unreadable atomic.Bool  // the newest configuration can't be parsed, and an older one is in force
}

// setReadable records whether the newest configuration could be parsed.
func (c *confirmation) setReadable(ok bool) { c.unreadable.Store(!ok) }

// advance records that the configuration was the newest at a boot time. A later time that
// is already recorded stays.
func (c *confirmation) advance(at time.Duration) {
	if c.unreadable.Load() {
		return
	}
	for {
		old := c.at.Load()
		if int64(at) <= old || c.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// age returns the time since the last confirmation.
func (c *confirmation) age(now time.Duration) time.Duration {
	at := c.at.Load()
	if at == 0 {
		return neverConfirmed
	}
	return now - time.Duration(at)
}

package follow

import (
	"cmp"
	"time"
)

const (
	// defaultNotice is the notice period of a leaving server if none is set: how long after
	// the store says that it leaves requests may still reach it.
	defaultNotice = 2 * time.Second
	// readTime is the part of the notice period reserved for a node to read the store itself
	// once another node's copy is stale.
	readTime = 700 * time.Millisecond
	// minStale is the age up to which a copy is always trusted: a working feed returns
	// every second.
	minStale = 1300 * time.Millisecond
)

// StaleAfter returns the age from which another node's copy of the tables is stale. The
// notice is how long after the store says that a server leaves requests may still reach
// it, zero for 2 s. The silence is how long the other node may send nothing; it is
// subtracted because a copy just below the limit is used for that time.
func StaleAfter(notice, silence time.Duration) time.Duration {
	return max(minStale, cmp.Or(notice, defaultNotice)-silence-readTime)
}

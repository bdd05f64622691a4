package follow

import (
	"cmp"
	"time"
)

const (
	// defaultNotice is the notice period of a leaving server if none is set: how long after
	// its entry in the store shows that it leaves it may still get requests.
	defaultNotice = 2 * time.Second
	// readTime is the part of the notice period reserved for a node to read the store itself
	// once another node's copy is stale.
	readTime = 700 * time.Millisecond
	// minStale is the age up to which a copy is always trusted: a working feed returns
	// every second.
	minStale = 1300 * time.Millisecond
)

// StaleAfter returns the age from which another node's copy of the tables is stale. The
// notice is how long a server may still get requests after its entry in the store shows
// that it leaves, zero for 2 s. The silence is how long the other node may send nothing; it
// is subtracted because a copy just below the limit is used for that time.
func StaleAfter(notice, silence time.Duration) time.Duration {
	return max(minStale, cmp.Or(notice, defaultNotice)-silence-readTime)
}

package follow

import (
	"cmp"
	"time"
)

const (
	// defaultNotice is how long after the store's word that a server leaves requests may
	// reach it, where nothing says so.
	defaultNotice = 2 * time.Second
	// ownRead is the part of that time in which a node reads the store itself, once
	// another node's copy isn't trusted any more.
	ownRead = 700 * time.Millisecond
	// staleLeast is the age up to which a copy is trusted in any case: a feed that works
	// is heard of each second.
	staleLeast = 1300 * time.Millisecond
)

// StaleAfter returns the age from which on another node's copy of the tables isn't
// trusted, where requests may reach a server for some time after the store's word that it
// leaves, zero for 2 s. A copy that is just young enough is believed for as long as the
// other node may be silent.
func StaleAfter(notice, silence time.Duration) time.Duration {
	return max(staleLeast, cmp.Or(notice, defaultNotice)-silence-ownRead)
}

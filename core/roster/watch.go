package roster

import (
	"sort"
	"time"
)

const (
	// Refresh is how often a node writes its row: 350 nodes make 0.6 writes a
	// second of the several hundred that the store takes.
	Refresh = 10 * time.Minute
	// Life is how long a row may stand unchanged: two refreshes may fail.
	Life = 35 * time.Minute
)

type (
	// Watch remembers the versions of rows. The zero value has seen none.
	Watch struct {
		seen map[string]mark
	}

	mark struct {
		version int64
		since   time.Duration
	}
)

// Gone takes in the versions of all rows by key, as read at a time of a clock
// that never stands still, and returns the keys of those that are left behind,
// in order.
func (w *Watch) Gone(now time.Duration, versions map[string]int64) []string {
	seen := make(map[string]mark, len(versions))
	var gone []string
	for key, v := range versions {
		m, ok := w.seen[key]
		if !ok || m.version != v {
			m = mark{version: v, since: now}
		}
		seen[key] = m
		if now-m.since >= Life {
			gone = append(gone, key)
		}
	}
	w.seen = seen
	sort.Strings(gone)
	return gone
}

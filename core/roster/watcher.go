package roster

import (
	"sort"
	"time"

	"guavapaddle/core/revision"
)

const (
	// Refresh is the interval at which a node rewrites its row. 350 nodes make
	// 0.6 writes per second; the store handles several hundred.
	Refresh = 10 * time.Minute
	// MaxAge is how long a row may stay unchanged before it expires. It allows two
	// refreshes to fail.
	MaxAge = 35 * time.Minute
)

type (
	// Watcher tracks the revisions of rows over time. The zero value is ready to
	// use and has seen no row.
	Watcher struct {
		seen map[string]observed
	}

	// observed is the revision of a row and the time when it was first seen.
	observed struct {
		version revision.Revision
		since   time.Duration
	}
)

// Expired records the revisions of all rows, by key, and returns the sorted keys of
// the expired rows. now is the time of the read on a clock that never stops.
func (w *Watcher) Expired(now time.Duration, versions map[string]revision.Revision) []string {
	seen := make(map[string]observed, len(versions))
	var expired []string
	for key, v := range versions {
		m, ok := w.seen[key]
		if !ok || m.version != v {
			m = observed{version: v, since: now}
		}
		seen[key] = m
		if now-m.since >= MaxAge {
			expired = append(expired, key)
		}
	}
	w.seen = seen
	sort.Strings(expired)
	return expired
}

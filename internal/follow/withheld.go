package follow

import (
	"time"

	"guavapaddle/platform"
)

const (
	// goneMemory is how long removed entries are remembered. The copies from which the store is
	// restored are some seconds old.
	goneMemory = time.Minute
	// withholdHeartbeats is the number of heartbeat intervals for which a restored entry that had been
	// removed isn't used unless its server writes it again. The store removes an entry after three
	// intervals without a heartbeat.
	withholdHeartbeats = 4
)

// drop removes an entry and remembers that it was removed; t.mu is held.
func (t *table) drop(now time.Time, key string) {
	if !t.has(key) {
		return
	}
	delete(t.rows, key)
	delete(t.withheld, key)
	for k, at := range t.gone {
		if now.Sub(at) > goneMemory {
			delete(t.gone, k)
		}
	}
	t.gone[key] = now
}

// reviewWithheld decides whether an entry that is about to be stored is used. One that had been removed and
// is there again because the store was restored is withheld: its server has left, or will be found
// silent by the store. One that was written since is used. t.mu is held.
func (t *table) reviewWithheld(now time.Time, r platform.Row, restored bool) {
	if _, gone := t.gone[r.Key]; !gone {
		return
	}
	if restored {
		t.withheld[r.Key] = now.Add(withholdHeartbeats * t.f.heartbeat())
		return
	}
	if t.rows[r.Key].Revision().Before(r.Revision()) {
		delete(t.gone, r.Key)
		delete(t.withheld, r.Key)
	}
}

// releaseWithheld releases the entries that have been withheld for long enough: the store would have
// removed them if their servers were gone. It reports whether there were any; t.mu is held.
func (t *table) releaseWithheld(now time.Time) bool {
	released := false
	for k, at := range t.withheld {
		if !now.Before(at) {
			released = true
			delete(t.withheld, k)
			if t.has(k) {
				delete(t.gone, k)
			}
		}
	}
	return released
}

// withheldFor returns for how long entries are still withheld, nil if there are none; t.mu is held.
func (t *table) withheldFor(now time.Time) map[string]time.Duration {
	if len(t.withheld) == 0 {
		return nil
	}
	out := make(map[string]time.Duration, len(t.withheld))
	for k, at := range t.withheld {
		out[k] = max(0, at.Sub(now))
	}
	return out
}

// withhold withholds the entries that another node withholds, unless this copy has them as written
// since that node's revision. It is called before the update is applied, which may leave out an entry
// that has been removed since. It reports whether there were any; t.mu is held.
func (t *table) withhold(now time.Time, u Update) bool {
	changed := false
	for k, d := range u.Withheld {
		if r, ok := t.rows[k]; ok && u.Version.Before(r.Revision()) {
			continue
		}
		if _, ok := t.withheld[k]; ok {
			continue
		}
		if _, ok := t.gone[k]; !ok {
			t.gone[k] = now
		}
		t.withheld[k] = now.Add(d)
		changed = true
	}
	return changed
}

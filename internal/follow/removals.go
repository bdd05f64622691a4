package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/revision"
	"guavapaddle/internal/lag"
	"guavapaddle/platform"
)

const (
	// removalHistory is how many transactions back removals are read after a restore. The copies from which a store is restored are
	// some seconds old.
	removalHistory = 1000
	// removalTimeout bounds that call.
	removalTimeout = 300 * time.Millisecond
)

// readRemovals returns the entries that the store's history shows to be removed, if a full read shows that the store was
// restored from a copy and lacks entries of this copy. Entries that the restored copy lacked are written again if
// their servers live, so they are kept for a while; those of servers that have left since must not be. If the history can't be read, all
// are kept.
func (t *table) readRemovals(ctx context.Context, rows []platform.Row, at revision.Revision) map[string]revision.Revision {
	t.mu.Lock()
	lacking := t.isRestoredBy(at) && t.lacks(rows)
	t.mu.Unlock()
	if !lacking {
		return nil
	}
	ctx, cancel := lag.WithTimeout(ctx, removalTimeout)
	defer cancel()
	list, end, err := t.f.Store.Feed(ctx, t.name, revision.Revision{Era: at.Era, Number: max(0, at.Number-removalHistory)}, quickWait)
	if err != nil || end.Era != at.Era {
		t.f.Log.Info("removals-unread", zap.String("table", t.name), zap.Stringer("revision", at), zap.Error(err))
		return nil
	}
	out := map[string]revision.Revision{}
	for _, r := range list {
		if r.Gone {
			out[r.Key] = r.Revision()
			continue
		}
		delete(out, r.Key)
	}
	return out
}

// lacks reports whether rows lack an entry of this copy; t.mu is held.
func (t *table) lacks(rows []platform.Row) bool {
	present := map[string]bool{}
	for _, r := range rows {
		present[r.Key] = true
	}
	for k := range t.rows {
		if !present[k] {
			return true
		}
	}
	return false
}

// isRemoved reports whether the restored store's history shows that an entry was removed after it was last written; t.mu is held.
func (t *table) isRemoved(key string) bool {
	r, ok := t.removals[key]
	return ok && r.Number > t.rows[key].Revision().Number
}

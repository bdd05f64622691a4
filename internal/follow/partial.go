package follow

import (
	"context"
	"time"

	"guavapaddle/internal/clock"
)

// setPartial records whether the updates of another node are partial, and drops the entries that they omit:
// they would become outdated. t.mu is held.
func (t *table) setPartial(partial bool) {
	t.partial = partial
	if !partial {
		return
	}
	for key, r := range t.rows {
		if t.f.omits(r) {
			delete(t.rows, key)
			delete(t.missing, key)
		}
	}
}

// isPartial reports whether the copy is partial.
func (t *table) isPartial() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partial
}

// needsWhole reports whether the copy is partial and the table must be read in full: other nodes rely on it, or
// none has passed changes on for partialGrace.
func (t *table) needsWhole() bool {
	holdsWhole := t.f.HoldsWhole != nil && t.f.HoldsWhole()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.feedLostAt.IsZero() {
		t.feedLostAt = time.Now()
	}
	return t.partial && (holdsWhole || time.Since(t.feedLostAt) >= partialGrace)
}

// dropsPartial reports whether an entry that is no longer in the copy is merely omitted from it.
func (f *Follower) dropsPartial(server string) bool {
	return f.server.partial && f.Omit != nil && f.Omit(server)
}

// awaitFirstFeed waits until another node has passed the table on to this one, for as long as that is
// expected and for at most partialGrace, and reports whether it has. Hundreds of nodes may start at once, and
// the store would send each of them the entries of thousands of servers.
func (t *table) awaitFirstFeed(ctx context.Context) bool {
	if t.f.ExpectsFeed == nil {
		return false
	}
	for until := time.Now().Add(partialGrace); time.Now().Before(until) && t.f.ExpectsFeed(); {
		if t.hasFeed() && !t.Revision().IsZero() {
			return true
		}
		if !clock.Sleep(ctx, feedCheckInterval) {
			break
		}
	}
	return false
}

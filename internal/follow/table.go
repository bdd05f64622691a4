package follow

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"guavapaddle/core/revision"
	"guavapaddle/internal/clock"
	"guavapaddle/internal/lag"
	"guavapaddle/platform"
)

type (
	// table is the copy of one table.
	table struct {
		f     *Follower
		name  string
		apply func(*table)
		wake  chan struct{} // another node announced a newer version

		mu           sync.Mutex
		rows         map[string]platform.Row
		missing      map[string]time.Time         // missing entries, and until when they are kept
		gone         map[string]time.Time         // when entries were removed, as far as that is recent
		withheld     map[string]time.Time         // restored entries that had been removed, and until when they aren't used
		removed      []platform.Row               // recently removed entries, for other nodes
		removals     map[string]revision.Revision // entries that a restored store's history shows to be removed; during a full read only
		removedAfter revision.Revision            // removed is complete for changes after this revision
		revision     revision.Revision            // up to which the copy is complete
		lastContact  time.Time                    // when the store last responded to this node
		lastComplete time.Time                    // up to when the copy is complete, whichever node read it
		announced    revision.Revision            // newest revision that another node announced
		outageEnd    time.Time                    // when the store's last outage ended
		eraBegan     time.Time                    // when this node learned of the store's era
		unreachable  bool
		quick        bool               // the next feed call uses quickWait
		cancelFeed   context.CancelFunc // cancels the feed call in progress, nil if there is none
		observedEra  int64              // latest era of the store in any response to this node
		partial      bool               // the entries that Follower.Omit reports are missing
		feedLostAt   time.Time          // since when no other node passes changes on, zero if one does
		fed          bool               // another node has passed changes on
		readLimit    time.Duration      // how long the next full read may take, zero for maxReadTimeout; used by poll only
	}
)

func (t *table) start(f *Follower, name string, apply func(*table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f, t.name, t.apply = f, name, apply
	t.rows = map[string]platform.Row{}
	t.missing = map[string]time.Time{}
	t.gone = map[string]time.Time{}
	t.withheld = map[string]time.Time{}
	t.wake = make(chan struct{}, 1)
}

// ages returns the age of the copy and the time since the store responded to this node.
func (t *table) ages(now time.Time) (copyAge, storeAge time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.lastComplete), now.Sub(t.lastContact)
}

// run reads the table in full and follows its feed until ctx ends.
func (t *table) run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryDelay, maxRetryDelay
	leaderRetry := backoff.NewExponentialBackOff()
	leaderRetry.InitialInterval, leaderRetry.MaxInterval = minLeaderRetryDelay, maxLeaderRetryDelay
	full := !t.awaitFirstFeed(ctx)
	var brokenAt time.Time // when a feed could last not be continued
	for ctx.Err() == nil {
		if !full && t.hasFeed() {
			full = t.idle(ctx)
			continue
		}
		full = full || t.needsWhole()
		err := t.poll(ctx, full)
		if ctx.Err() != nil {
			return
		}
		t.f.ObserveEra(t.eraAfter(err))
		if feedBroken(err) {
			t.f.Log.Info("feed-history-gone", zap.String("table", t.name), zap.Stringer("after", t.Revision()), zap.Error(err))
			clock.Sleep(ctx, max(0, rereadInterval-time.Since(brokenAt)))
			full, brokenAt = true, time.Now()
			continue
		}
		if err != nil {
			t.recordFailure(err)
			if (full || t.behind()) && t.f.FetchSnapshot != nil {
				t.f.FetchSnapshot(ctx)
				full = t.empty()
			}
			if !full && t.hasLeader() {
				t.pause(ctx, leaderRetry.NextBackOff())
			} else {
				clock.Sleep(ctx, retry.NextBackOff())
			}
			continue
		}
		if full {
			t.awaitFeed(ctx)
		} else {
			t.awaitGap(ctx)
		}
		full = false
		retry.Reset()
		leaderRetry.Reset()
	}
}

// feedBroken reports whether a feed can't be continued, so that the table must be read in full: the
// store no longer has the changes, or was restored from a copy.
func feedBroken(err error) bool {
	var status *platform.StatusError
	var era *EraError
	return errors.As(err, &status) && status.HistoryGone() || errors.As(err, &era)
}

// awaitGap waits for the gap between two calls of the feed, which ends early if this node becomes the leader
// or its deputy.
func (t *table) awaitGap(ctx context.Context) {
	for began := time.Now(); time.Since(began) < t.gap(); {
		if !clock.Sleep(ctx, min(feedCheckInterval, t.gap()-time.Since(began))) {
			return
		}
	}
}

// gap returns the minimum time between a response of the feed and the next call. A node that starts calls less
// often until another one passes changes on for the first time.
func (t *table) gap() time.Duration {
	t.mu.Lock()
	starting := t.f.HasFeed != nil && !t.fed
	t.mu.Unlock()
	if starting && t.f.role() == Standalone {
		return maxFirstGap
	}
	return t.f.gap()
}

// hasFeed reports whether this node receives changes from another one.
func (t *table) hasFeed() bool { return t.f.HasFeed != nil && t.f.HasFeed() }

// hasLeader reports whether this node has a leader, which passes changes on when the store is
// back.
func (t *table) hasLeader() bool { return t.f.HasLeader != nil && t.f.HasLeader() }

// pause waits for a duration, but only while this node has a leader and until the
// leader passes changes on again.
func (t *table) pause(ctx context.Context, d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until) && t.hasLeader() && !t.hasFeed(); {
		if !clock.Sleep(ctx, feedCheckInterval) {
			return
		}
	}
}

// awaitFeed delays the first feed call after a full read until another node passes changes on,
// for at most maxFirstGap. A starting node finds the leader within a second, and hundreds of
// nodes may start at once and call the store.
func (t *table) awaitFeed(ctx context.Context) {
	t.mu.Lock()
	t.quick = t.f.role() == Standalone
	t.mu.Unlock()
	for until := time.Now().Add(maxFirstGap); time.Now().Before(until) && t.f.role() == Standalone && !t.hasFeed(); {
		if !clock.Sleep(ctx, feedCheckInterval) {
			return
		}
	}
}

// behind reports whether another node announced a newer version than this copy has.
func (t *table) behind() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownRevision().Before(t.announced)
}

// empty reports whether the copy has no rows.
func (t *table) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows) == 0
}

// idle waits for feedCheckInterval while another node passes changes on, and drops entries
// whose grace period is over. It reports whether the other node announced a newer version,
// so that the table must be read in full.
func (t *table) idle(ctx context.Context) bool {
	timer := time.NewTimer(feedCheckInterval)
	defer timer.Stop()
	select {
	case <-t.wake:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quick, t.feedLostAt, t.fed = true, time.Time{}, true
	if at := t.nextExpiry(); !at.IsZero() && !time.Now().Before(at) {
		t.applyChanges(nil, t.revision)
	}
	return false
}

// poll reads the table in full or makes one feed call.
func (t *table) poll(ctx context.Context, full bool) error {
	began := t.f.now()
	if full {
		rows, at, err := t.read(ctx)
		if err != nil {
			return err
		}
		hideKeys(rows)
		removed := t.readRemovals(ctx, rows, at)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.recordResponse()
		t.removals = removed
		defer func() { t.removals = nil }()
		held := t.revision
		applied := t.applyAll(rows, at, MissingGrace)
		t.partial = t.partial && !applied
		t.f.Log.Info("table-read", zap.String("table", t.name), zap.Stringer("revision", at), zap.Stringer("held", held),
			zap.Int("rows", len(rows)), zap.Bool("applied", applied))
		if at.Era < held.Era {
			return &EraError{Table: t.name, Held: held.Era, Store: at.Era}
		}
		t.confirm(began)
		return nil
	}
	t.mu.Lock()
	wait, after := t.f.waitTime(t), t.revision
	if t.quick {
		wait = quickWait
	}
	if at := t.nextExpiry(); !at.IsZero() {
		wait = max(quickWait, min(wait, time.Until(at)))
	}
	t.mu.Unlock()
	ctx, cancel := lag.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	t.setCancelFeed(cancel)
	rows, at, err := t.f.Store.Feed(ctx, t.name, after, wait)
	hideKeys(rows)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelFeed = nil
	t.quick = err != nil
	if err != nil && after.Era < t.observedEra {
		return &EraError{Table: t.name, Held: after.Era, Store: t.observedEra}
	}
	if err != nil {
		return err
	}
	t.recordResponse()
	if at.Era != after.Era {
		return &EraError{Table: t.name, Held: after.Era, Store: at.Era}
	}
	t.applyChanges(rows, at)
	t.confirm(began)
	return nil
}

// read reads all rows of the table.
func (t *table) read(ctx context.Context) ([]platform.Row, revision.Revision, error) {
	limit := cmp.Or(t.readLimit, maxReadTimeout)
	ctx, cancel := lag.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	rows, at, err := t.f.Store.Read(ctx, t.name, "", "")
	switch {
	case err == nil:
		t.readLimit = min(responseMargin+readTimeFactor*time.Since(began), maxReadTimeout)
	case ctx.Err() != nil:
		t.readLimit = min(2*limit, maxReadTimeout)
	}
	return rows, at, err
}

// hideKeys replaces callers' API keys in the configuration's row by their digests before
// the row is kept or passed on.
func hideKeys(rows []platform.Row) {
	for i, r := range rows {
		if r.Table == platform.TableOperator && r.Key == platform.KeyConfig && !r.Gone {
			rows[i].Value = platform.HideKeys(r.Value)
		}
	}
}

// confirm records that the copy is complete up to the start of a store call. A store that was just
// restored, as far as this node knows, or has an older configuration than the one in force, confirms
// no configuration; t.mu is held.
func (t *table) confirm(began time.Duration) {
	if t == &t.f.server && !t.partial {
		t.f.serversRead.advance(began)
	}
	if t != &t.f.operator || t.ownRevision().Number == 0 || t.f.newest.isStoreBehind() {
		return
	}
	if !t.eraBegan.IsZero() && time.Since(t.eraBegan) < rewriteTime {
		return
	}
	t.f.confirmation.advance(began)
}

// applyAll applies a full read of the table: local rows that it lacks were removed. It returns false
// if the copy is newer, because changes were applied meanwhile or the read is of an earlier era. If the
// store was restored since, rows that it lacks are kept for a grace period. t.mu is held.
func (t *table) applyAll(rows []platform.Row, at revision.Revision, grace time.Duration) bool {
	if at.Before(t.revision) {
		return false
	}
	switch {
	case t.isRestoredBy(at):
		t.beginEra(rows, at)
	case t.revision.IsZero() && at.Era > 0:
		t.eraBegan = time.Now() // the store may have been restored just before the first read
	}
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	for k := range t.rows {
		if !present[k] {
			rows = append(rows, platform.Row{Table: t.name, Key: k, Version: at.Number, Era: at.Era, Gone: true})
		}
	}
	t.removedAfter = at
	t.removed = nil
	t.merge(rows, at, grace)
	t.apply(t)
	return true
}

// isRestoredBy reports whether the store was restored from a copy between the revision of this copy and
// a later one; t.mu is held.
func (t *table) isRestoredBy(at revision.Revision) bool {
	return !t.revision.IsZero() && at.Era > t.revision.Era
}

// missingUntil returns until when a missing entry is kept, given a time that doesn't depend on the entry: after an
// outage, in which entries expire, it is kept for a grace period, and one that was found missing
// earlier for as long as was decided then. t.mu is held.
func (t *table) missingUntil(until time.Time, key string) time.Time {
	if at := t.outageEnd.Add(MissingGrace); at.After(until) {
		until = at
	}
	if at, ok := t.missing[key]; ok && at.After(until) {
		until = at
	}
	return until
}

// has reports whether the copy has an entry; t.mu is held.
func (t *table) has(key string) bool {
	_, ok := t.rows[key]
	return ok
}

// isUsed reports whether the copy has an entry that isn't withheld; t.mu is held.
func (t *table) isUsed(key string) bool {
	_, withheld := t.withheld[key]
	return t.has(key) && !withheld
}

// beginEra records that the store was restored from a copy; t.mu is held.
func (t *table) beginEra(rows []platform.Row, at revision.Revision) {
	t.eraBegan = time.Now()
	present := 0
	for _, r := range rows {
		if t.has(r.Key) {
			present++
		}
	}
	t.f.Log.Warn("store-restored", zap.String("table", t.name), zap.Stringer("held", t.revision), zap.Stringer("revision", at),
		zap.Int("replaced", present), zap.Int("added", len(rows)-present), zap.Int("missing", len(t.rows)-present))
	if t.f.OnRestore != nil {
		t.f.OnRestore(t.name, at.Era)
	}
}

// applyChanges applies changes, from the store or another node, in the order of their
// versions; t.mu is held. A row that this copy lacks although it is complete beyond the
// row's version has been removed since. Another node's reply may be older than the
// removal, for instance if it was in transit while this node read the store itself. If
// such a row were added it would never be removed, and requests would be sent to a server
// that is gone.
func (t *table) applyChanges(rows []platform.Row, at revision.Revision) {
	fresh := make([]platform.Row, 0, len(rows))
	for _, r := range rows {
		_, present := t.rows[r.Key]
		_, missing := t.missing[r.Key]
		if present && !missing || r.Gone || t.revision.Before(r.Revision()) {
			fresh = append(fresh, r)
		}
	}
	t.merge(fresh, at, 0)
}

// merge stores rows that are not older than the local ones, drops entries whose grace
// period is over, and calls apply if anything changed. If the store was restored since, removed rows are
// kept for the given grace period. t.mu is held.
func (t *table) merge(rows []platform.Row, at revision.Revision, missingGrace time.Duration) {
	now := time.Now()
	restored := t.isRestoredBy(at)
	var keepUntil time.Time
	if restored {
		keepUntil = now.Add(missingGrace)
	}
	changed := false
	for _, r := range rows {
		if r.Part != "" || r.Revision().Before(t.rows[r.Key].Revision()) {
			continue
		}
		changed = true
		if !r.Gone {
			t.reviewWithheld(now, r, restored)
			t.rows[r.Key] = r
			delete(t.missing, r.Key)
			continue
		}
		t.recordRemoval(r)
		grace := keepUntil
		if t.isRemoved(r.Key) {
			grace = time.Time{}
		}
		if until := t.missingUntil(grace, r.Key); t.isUsed(r.Key) && now.Before(until) {
			t.missing[r.Key] = until
			continue
		}
		t.drop(now, r.Key)
	}
	for k, at := range t.missing {
		if !now.Before(at) {
			changed = true
			t.drop(now, k)
			delete(t.missing, k)
		}
	}
	changed = t.releaseWithheld(now) || changed
	t.revision = revision.Max(t.revision, at)
	if changed {
		t.apply(t)
	}
}

// recordRemoval records the removal of an entry for other nodes; t.mu is held.
func (t *table) recordRemoval(r platform.Row) {
	r.Value = nil
	t.removed = append(t.removed, r)
	if n := len(t.removed) - maxRemoved; n > 0 {
		t.removedAfter = revision.Max(t.removedAfter, t.removed[n-1].Revision())
		t.removed = t.removed[n:]
	}
}

// nextExpiry returns when the next missing entry is dropped or the next withheld one is released, zero
// if there is none; t.mu is held.
func (t *table) nextExpiry() time.Time {
	var next time.Time
	for _, entries := range []map[string]time.Time{t.missing, t.withheld} {
		for _, at := range entries {
			if next.IsZero() || at.Before(next) {
				next = at
			}
		}
	}
	return next
}

// recordResponse records a response of the store; t.mu is held. If neither this node nor
// one whose copy it received had a response for so long that entries expire, an outage
// has just ended. A single call without a response doesn't count as an outage: when it
// did, a server was kept for 3.3 s after it was gone, where 2 s are allowed.
func (t *table) recordResponse() {
	now := time.Now()
	last, lastComplete := t.lastContact, t.lastComplete
	t.lastContact, t.lastComplete = now, now
	if !lastComplete.IsZero() && now.Sub(lastComplete) > t.f.minOutage() {
		t.outageEnd = now
	}
	if t.unreachable {
		t.unreachable = false
		t.f.Log.Info("store-regained", zap.String("table", t.name), zap.Duration("away", now.Sub(last)), zap.Stringer("revision", t.revision))
	}
}

// recordFailure records a failed call, and logs the first of a series.
func (t *table) recordFailure(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unreachable {
		return
	}
	t.unreachable = true
	t.f.Log.Warn("store-lost", zap.String("table", t.name), zap.Stringer("revision", t.revision), zap.Error(err))
}

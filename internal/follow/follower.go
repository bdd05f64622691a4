package follow

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/core/revision"
	"guavapaddle/internal/clock"
	"guavapaddle/platform"
)

const (
	// MissingGrace is how long after the store's return an entry may be missing before
	// its server counts as gone; live servers' entries are back within about two
	// seconds.
	MissingGrace = 1800 * time.Millisecond
	// feedWait is how long a feed call waits for a change. A call without a
	// response is detected after feedWait + responseMargin, which must be well below
	// the two seconds within which a leaving server has to be known.
	feedWait = time.Second
	// deputyWait replaces feedWait at a deputy, whose changes go to the leader and
	// from there to all nodes, with up to 0.8 s for each of the two steps.
	deputyWait = 600 * time.Millisecond
	// quickWait replaces feedWait in the first call after a pause or a failed call:
	// changes made meanwhile are returned immediately, and a call without a response
	// is detected after 0.42 s instead of 1.4 s. With feedWait, the copy of a node that
	// received no updates for 0.7 s would be 2.1 s old by then.
	quickWait = 20 * time.Millisecond
	// gapLeader, gapDeputy and gapStandalone are the minimum time from a response of a feed
	// to the next call, at the leader, its deputy and standalone nodes. Without them
	// each change of a server costs a call: 65 nodes that lost their leader while 17
	// servers came back made 860 calls per second.
	gapLeader     = 100 * time.Millisecond
	gapDeputy     = 250 * time.Millisecond
	gapStandalone = 400 * time.Millisecond
	// maxFirstGap is the maximum time from a full read of a table to the first call of its
	// feed.
	maxFirstGap = time.Second
	// responseMargin is added to the wait for the response itself; a slow store takes
	// 200 ms.
	responseMargin = 400 * time.Millisecond
	// feedCheckInterval is the interval at which a node that receives updates from another one
	// checks whether it still does.
	feedCheckInterval = 100 * time.Millisecond
	// maxRemoved bounds the removed entries that are kept for other nodes.
	maxRemoved = 256
	// maxUnreadable bounds the versions of unreadable entries that are kept so that
	// each is logged once.
	maxUnreadable = 1024
	// maxReadTimeout is the timeout of the first full read of a table, and the longest of later ones.
	maxReadTimeout = 1500 * time.Millisecond
	// readTimeFactor is how many times as long as the last full read the next one may take, beyond
	// responseMargin; twice as long after one without a response. That must be repeated soon: after a
	// restore of the store, entries that a read lacks are kept for MissingGrace from the read on, even of
	// servers that have left meanwhile.
	readTimeFactor = 4
	// partialGrace is how long a node with a partial copy receives no updates before it reads the whole
	// table. It takes less time to find another relay, and all nodes of a lost relay would read it.
	partialGrace  = 2500 * time.Millisecond
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// rereadInterval is the minimum time between two full reads of a table because its feed can't be
	// continued, so that a store that refuses each feed isn't read without pause.
	rereadInterval = 500 * time.Millisecond
	// minLeaderRetryDelay and maxLeaderRetryDelay bound the retry delay of a node whose
	// leader replies with an outdated copy: the leader and its deputy retry more often, and
	// pass changes on when the store is back.
	minLeaderRetryDelay = time.Second
	maxLeaderRetryDelay = 4 * time.Second
	// defaultHeartbeat is how often servers write their entries if Heartbeat isn't set;
	// the users' platforms use 1.2 s.
	defaultHeartbeat = 1200 * time.Millisecond
	// waitsPerConfigAge is how many waits of the operator table's feed fit into MaxConfigAge. A
	// confirmation is already as old as the wait when it arrives, and has to last until
	// the next wait ends.
	waitsPerConfigAge = 12
	// outageHeartbeats is the number of heartbeat intervals for which the store must have been
	// unreachable for entries to expire in it. They expire after three intervals without
	// a heartbeat, and a heartbeat may have been due just when the outage began. The
	// value is slightly lower to allow for late heartbeats.
	outageHeartbeats = 1.8
)

type (
	// Store is the part of the platform's store that a follower uses.
	Store interface {
		// Read returns the rows of a table and the revision of the store that they
		// represent.
		Read(ctx context.Context, table, from, to string) ([]platform.Row, revision.Revision, error)
		// Feed waits for changes after a revision, and returns them with the new revision. The
		// changes are incomplete if that is of another era.
		Feed(ctx context.Context, table string, after revision.Revision, wait time.Duration) ([]platform.Row, revision.Revision, error)
	}

	// Follower follows the store. Its exported fields are set before Run. Calls of
	// OnConfig don't overlap, nor do calls of OnServers.
	Follower struct {
		Store     Store
		Log       *zap.Logger
		OnConfig  func(*fleet.Config)
		OnServers func([]fleet.Server)
		// OnGone is called before OnServers for each server whose entry has gone. It may be nil.
		OnGone func(server string)
		// HasFeed reports whether this node receives changes from another one, and so
		// doesn't need to query the store; nil for never.
		HasFeed func() bool
		// HasLeader reports whether this node has a leader that would pass changes on if it
		// could read the store; nil for never.
		HasLeader func() bool
		// Role returns the node's role, nil for Standalone.
		Role func() Role

		// MaxConfigAge is the maximum age of the last confirmation that the configuration is
		// the newest, zero for no limit. The leader and its deputy query the store often
		// enough for all nodes to keep to it.
		MaxConfigAge time.Duration

		// Heartbeat is how often servers write their entries, zero for 1.2 s.
		Heartbeat time.Duration

		// Clock returns a time that advances while the process is suspended; clock.SinceBoot if
		// nil.
		Clock func() time.Duration

		// OnRestore is invoked when this node learns, by itself or from another node, that the store
		// was restored from a copy, once for each table and era; nil for never.
		OnRestore func(table string, era int64)

		// Omit reports whether the entry of a server is left out of the copies of nodes that use a
		// relay; nil for none.
		Omit func(server string) bool

		// HoldsWhole reports whether other nodes rely on this node's copy of the servers, so that a partial one of
		// another node isn't applied; nil for never.
		HoldsWhole func() bool

		// ExpectsFeed reports whether another node is about to pass both tables on to this node, which has just
		// started and need not read them from the store; nil for never.
		ExpectsFeed func() bool

		// FetchSnapshot fetches another node's copy when a table can't be read, nil for never.
		FetchSnapshot func(ctx context.Context)

		operator     table
		server       table
		confirmation confirmation
		serversRead  confirmation                 // of the server table, by this node itself
		newest       newestConfig                 // guarded by operator.mu
		entries      map[string]parsedEntry       // as last read, by key
		unreadable   map[string]revision.Revision // of unreadable entries that were logged
		leaving      map[string]bool              // servers in the last call of OnServers, and whether they leave
	}

	// parsedEntry is a server's entry at a revision.
	parsedEntry struct {
		at     revision.Revision
		server fleet.Server
	}

	// Role is the part that a node takes in the distribution of the tables.
	Role int
)

const (
	// Standalone passes nothing on.
	Standalone Role = iota
	// Leader passes changes on to all nodes.
	Leader
	// Deputy passes changes on to the leader.
	Deputy
)

// Run follows both tables until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.operator.start(f, platform.TableOperator, f.applyConfig)
	f.server.start(f, platform.TableServers, f.applyServers)
	var wg sync.WaitGroup
	wg.Go(func() { f.operator.run(ctx) })
	wg.Go(func() { f.server.run(ctx) })
	wg.Wait()
}

// ObserveEra records the era of the store in a response to any of this node's calls. If it is later
// than that of a table, the table's feed call in progress is cancelled and the table is read in full: the
// store may leave a call unanswered that began before a restore.
func (f *Follower) ObserveEra(era int64) {
	f.operator.observeEra(era)
	f.server.observeEra(era)
}

// Age returns the age of the copy of the tables, whichever node read them.
func (f *Follower) Age(now time.Time) time.Duration {
	operator, _ := f.operator.ages(now)
	server, _ := f.server.ages(now)
	return max(operator, server)
}

// StoreAge returns the time since the store last responded to this node itself,
// for the table whose last response is older.
func (f *Follower) StoreAge(now time.Time) time.Duration {
	_, operator := f.operator.ages(now)
	_, server := f.server.ages(now)
	return max(operator, server)
}

// heartbeat returns how often servers write their entries.
func (f *Follower) heartbeat() time.Duration {
	if f.Heartbeat <= 0 {
		return defaultHeartbeat
	}
	return f.Heartbeat
}

// minOutage returns how long the store must have been unreachable for entries to expire.
func (f *Follower) minOutage() time.Duration {
	return time.Duration(float64(f.heartbeat()) * outageHeartbeats)
}

// role returns the node's role.
func (f *Follower) role() Role {
	if f.Role == nil {
		return Standalone
	}
	return f.Role()
}

// ConfigAge returns the time since the configuration given to OnConfig was last confirmed
// as the newest, whichever node read it.
func (f *Follower) ConfigAge() time.Duration { return f.confirmation.age(f.now()) }

// ServersReadAt returns the time of Clock at which the last call of the store began that confirmed this node's whole copy of the server table, zero if
// there was none.
func (f *Follower) ServersReadAt() time.Duration { return time.Duration(f.serversRead.at.Load()) }

// ConfigUnreachable reports whether the last read of the configuration from the store failed.
func (f *Follower) ConfigUnreachable() bool {
	f.operator.mu.Lock()
	defer f.operator.mu.Unlock()
	return f.operator.unreachable
}

// now returns the time of the clock.
func (f *Follower) now() time.Duration {
	if f.Clock == nil {
		return clock.SinceBoot()
	}
	return f.Clock()
}

// ConfirmConfig records that a revision of the configuration's row was the newest at a time of
// Clock. One of another era than this node's copy is ignored, since the configurations can't be
// compared.
func (f *Follower) ConfirmConfig(newest revision.Revision, at time.Duration) {
	t := &f.operator
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.ownRevision()
	if own.Number > 0 && own.Era == newest.Era && !own.Before(newest) && !f.newest.isStoreBehind() {
		f.confirmation.advance(at)
	}
}

// waitTime returns how long a feed call of a table waits for a change.
func (f *Follower) waitTime(t *table) time.Duration {
	wait := feedWait
	if f.role() == Deputy {
		wait = deputyWait
	}
	if t == &f.operator && f.MaxConfigAge > 0 && f.role() != Standalone {
		wait = min(wait, f.MaxConfigAge/waitsPerConfigAge)
	}
	return wait
}

// gap returns the minimum time between a response of a feed and the next call.
func (f *Follower) gap() time.Duration {
	switch f.role() {
	case Leader:
		return gapLeader
	case Deputy:
		return gapDeputy
	default:
		return gapStandalone
	}
}

// applyConfig calls OnConfig with the newest configuration. If that can't be parsed, or the store was
// restored and has an older one, the last one stays in force.
func (f *Follower) applyConfig(t *table) {
	r, ok := t.rows[platform.KeyConfig]
	if !ok {
		f.newest.stored = 0
		return
	}
	c, err := platform.Config(r)
	f.confirmation.setReadable(err == nil)
	if err != nil {
		f.Log.Error("config-unreadable", zap.Int64("version", r.Version), zap.Error(err))
		return
	}
	f.newest.stored = c.Version()
	f.putInForce(r, c)
}

// applyServers calls OnServers with the list of servers, leaving out entries that can't be
// parsed or are withheld. Only changed entries are parsed, since among hundreds of servers some change
// all the time.
func (f *Follower) applyServers(t *table) {
	list := make([]fleet.Server, 0, len(t.rows))
	entries := make(map[string]parsedEntry, len(t.rows))
	for key, r := range t.rows {
		if _, withheld := t.withheld[key]; withheld {
			continue
		}
		e, ok := f.entries[key]
		if at := r.Revision(); !ok || e.at != at {
			s, err := platform.Server(r)
			if err != nil {
				f.logUnreadable(r, err)
				continue
			}
			e = parsedEntry{at: at, server: s}
		}
		entries[key] = e
		list = append(list, e.server)
	}
	f.entries = entries
	f.logDepartures(list, time.Since(t.lastComplete))
	f.OnServers(list)
}

// logDepartures logs the servers that have begun to leave, or are gone, since the last list.
func (f *Follower) logDepartures(list []fleet.Server, age time.Duration) {
	leaving := make(map[string]bool, len(list))
	for _, s := range list {
		leaving[s.ID] = s.Leaving
		if s.Leaving && !f.leaving[s.ID] {
			f.Log.Info("server-leaving", zap.String("server", s.ID), zap.Int64("version", s.Version), zap.Duration("age", age))
		}
	}
	for id := range f.leaving {
		if _, ok := leaving[id]; !ok && !f.dropsPartial(id) {
			f.Log.Info("server-gone", zap.String("server", id), zap.Duration("age", age))
			if f.OnGone != nil {
				f.OnGone(id)
			}
		}
	}
	f.leaving = leaving
}

// logUnreadable logs an entry that can't be parsed, once for each version.
func (f *Follower) logUnreadable(r platform.Row, err error) {
	if f.unreadable == nil {
		f.unreadable = map[string]revision.Revision{}
	}
	if f.unreadable[r.Key] == r.Revision() {
		return
	}
	if len(f.unreadable) >= maxUnreadable {
		clear(f.unreadable)
	}
	f.unreadable[r.Key] = r.Revision()
	f.Log.Error("server-unreadable", zap.String("server", r.Key), zap.Int64("version", r.Version), zap.Error(err))
}

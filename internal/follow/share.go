package follow

import (
	"slices"
	"time"

	"guavapaddle/core/revision"
	"guavapaddle/platform"
)

type (
	// Versions holds the revisions up to which a node has the tables.
	Versions struct {
		Operator revision.Revision
		Servers  revision.Revision
		Config   int64 // version of the configuration in force
		Partial  bool  // the node has a partial copy of the servers
	}

	// Snapshot is a node's full copy of the tables.
	Snapshot struct {
		Operator []platform.Row    `json:"operator"`
		Servers  []platform.Row    `json:"servers"`
		Version  revision.Revision `json:"revision"` // of the table of servers
		Age      time.Duration     `json:"age"`

		ConfigAge time.Duration `json:"config-age"`        // as Follower.ConfigAge returns it
		Config    *platform.Row `json:"config"`            // the configuration in force if the store has lost it, or nil
		Partial   bool          `json:"partial,omitempty"` // Servers lacks those that Follower.Omit reports
	}

	// Update holds the changes that one node has and another one lacks.
	Update struct {
		Operator revision.Revision // of the newest configuration row
		Servers  []platform.Row
		After    revision.Revision // unless Whole, Servers are all changes after this revision
		Version  revision.Revision // of the table of servers
		Whole    bool              // Servers are all rows of the table
		Partial  bool              // Servers lacks those that Follower.Omit reports
		Age      time.Duration
		Grace    time.Duration            // for which removed entries are still kept
		Restored time.Duration            // for which entries that a restored store lacks are still kept
		Withheld map[string]time.Duration // restored entries that aren't used, and for how long

		Config        *platform.Row // the configuration in force if the other node lacks it and the store has lost it, or nil
		ConfigVersion int64         // of the configuration in force

		ConfigAge time.Duration // since Operator was last confirmed as the newest version

		OperatorRows []platform.Row    // rows of the operator's table that the other node lacks, if WithConfig added them
		OperatorAt   revision.Revision // up to which OperatorRows are complete
	}
)

// Versions returns the revisions up to which this node has the tables.
func (f *Follower) Versions() Versions {
	f.operator.mu.Lock()
	defer f.operator.mu.Unlock()
	return Versions{Operator: f.operator.ownRevision(), Servers: f.server.Revision(), Config: f.newest.version, Partial: f.server.isPartial()}
}

// Revision returns the revision up to which this node has all changes.
func (t *table) Revision() revision.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// IsBehind reports whether another node announced a newer configuration than this node has.
func (f *Follower) IsBehind() bool { return f.operator.behind() }

// newest returns the revision of the newest row that this node has or that another
// node announced.
func (t *table) newest() revision.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return revision.Max(t.announced, t.ownRevision())
}

// ownRevision returns the revision of the newest row in this copy; t.mu is held.
func (t *table) ownRevision() revision.Revision {
	var at revision.Revision
	for _, r := range t.rows {
		at = revision.Max(at, r.Revision())
	}
	return at
}

// ChangesSince returns the changes that this node has and another one, with the given
// versions, lacks. The configuration is large and seldom changes, so only its
// version is included.
func (f *Follower) ChangesSince(now time.Time, k Versions) Update {
	return f.changesSince(now, k, func(platform.Row) bool { return false })
}

// changesSince is ChangesSince without the entries that omit reports.
func (f *Follower) changesSince(now time.Time, k Versions, omit func(platform.Row) bool) Update {
	age := f.ConfigAge() // read before the version: a version read earlier might be older than the one confirmed
	u := Update{Operator: f.operator.newest(), After: k.Servers, Age: f.Age(now), ConfigAge: age}
	u.Config, u.ConfigVersion = f.lackedConfig(k.Config)
	t := &f.server
	t.mu.Lock()
	defer t.mu.Unlock()
	u.Version, u.Partial = t.revision, t.partial
	u.Grace = max(0, t.outageEnd.Add(MissingGrace).Sub(now))
	u.Restored = MissingGrace
	if !t.eraBegan.IsZero() {
		u.Restored = max(0, t.eraBegan.Add(MissingGrace).Sub(now))
	}
	u.Withheld = t.withheldFor(now)
	u.Whole = k.Servers.Before(t.removedAfter) || k.Partial
	for _, r := range t.rows {
		if _, missing := t.missing[r.Key]; !missing && (u.Whole || k.Servers.Before(r.Revision())) && !omit(r) {
			u.Servers = append(u.Servers, r)
		}
	}
	for _, r := range t.removed {
		if !u.Whole && k.Servers.Before(r.Revision()) && !r.Revision().Before(t.rows[r.Key].Revision()) {
			u.Servers = append(u.Servers, r)
		}
	}
	return u
}

// WithConfig returns an update with the configuration that this node has and one with the given versions lacks. A newer one stays announced, which the
// other node then reads from the store.
func (f *Follower) WithConfig(u Update, k Versions) Update {
	_, u.OperatorAt, u.OperatorRows = f.operator.changesAfter(k.Operator)
	return u
}

// WithOwnConfig is WithConfig without the announcement, so that the nodes of a large fleet don't all read a configuration from the store that
// reaches them through their relays a moment later.
func (f *Follower) WithOwnConfig(u Update, k Versions) Update {
	u.Operator, u.OperatorAt, u.OperatorRows = f.operator.changesAfter(k.Operator)
	return u
}

// PartialChangesSince is ChangesSince without the entries that Omit reports.
func (f *Follower) PartialChangesSince(now time.Time, k Versions) Update {
	k.Partial = false // what the other node lacks isn't sent
	u := f.changesSince(now, k, f.omits)
	u.Partial = true
	return u
}

// changesAfter returns the revision of the newest row of this copy, the revision up to which it is complete,
// and the rows that were written after a revision.
func (t *table) changesAfter(known revision.Revision) (newest, complete revision.Revision, rows []platform.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		if known.Before(r.Revision()) {
			rows = append(rows, r)
		}
	}
	return t.ownRevision(), t.revision, rows
}

// omits reports whether an entry is left out of partial copies.
func (f *Follower) omits(r platform.Row) bool { return !r.Gone && f.Omit != nil && f.Omit(r.Key) }

// ApplyUpdate applies another node's update. It returns false if that node's copy is of an earlier era
// of the store than this one's, and the update was ignored. Changes that begin after the revision of this
// copy don't advance its revision. A node reports the changes that the leader lacked at its last
// reply, and the copy of a new leader may be older; if its revision advanced, the leader
// would never get the changes in between.
func (f *Follower) ApplyUpdate(now time.Time, u Update) bool {
	t := &f.server
	if u.Version.Era < t.Revision().Era {
		return false
	}
	f.adoptConfig(u.Config)
	if len(u.OperatorRows) > 0 {
		f.operator.applyRows(u.OperatorRows, u.OperatorAt)
	}
	f.operator.recordAnnounced(now, u)
	if u.Partial && f.HoldsWhole != nil && f.HoldsWhole() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !u.Whole && t.revision.Before(u.After) {
		if u.After.Era == t.revision.Era {
			t.applyChanges(u.Servers, t.revision)
		}
		return true
	}
	t.recordFeed(now, u)
	withheld := t.withhold(now, u)
	t.setPartial(u.Partial)
	if u.Whole {
		t.applyAll(u.Servers, u.Version, u.Restored)
		return true
	}
	t.applyChanges(u.Servers, u.Version)
	if withheld {
		t.apply(t)
	}
	return true
}

// recordAnnounced records the newest version that another node announces, and wakes the table's
// loop to read the table if this copy is older.
func (t *table) recordAnnounced(now time.Time, u Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced = revision.Max(t.announced, u.Operator)
	t.recordFeed(now, u) // even without the row, its revision is known
	if !t.ownRevision().Before(u.Operator) {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default: // a read is already due
	}
}

// recordFeed records the time up to which another node's copy is complete, and until when it
// keeps removed entries; t.mu is held.
func (t *table) recordFeed(now time.Time, u Update) {
	if at := now.Add(-u.Age); at.After(t.lastComplete) {
		t.lastComplete = at
	}
	if outageEnd := now.Add(u.Grace - MissingGrace); u.Grace > 0 && outageEnd.After(t.outageEnd) {
		t.outageEnd = outageEnd
	}
}

// Snapshot returns this node's copy of the tables, and false if either table is empty.
func (f *Follower) Snapshot(now time.Time) (Snapshot, bool) {
	age := f.ConfigAge()
	config, _ := f.lackedConfig(0)
	c := Snapshot{Partial: f.server.isPartial(), ConfigAge: age, Config: config, Operator: f.operator.allRows(), Servers: f.server.allRows(), Version: f.server.Revision(), Age: f.Age(now)}
	return c, len(c.Operator) > 0 && len(c.Servers) > 0
}

// PartialSnapshot is Snapshot without the entries that Omit reports.
func (f *Follower) PartialSnapshot(now time.Time) (Snapshot, bool) {
	c, ok := f.Snapshot(now)
	c.Partial = true
	c.Servers = slices.DeleteFunc(c.Servers, f.omits)
	return c, ok
}

// allRows returns the rows of the table.
func (t *table) allRows() []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]platform.Row, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows
}

// ApplySnapshot applies another node's copy, which this node requested at a boot time. Newer local
// rows stay.
func (f *Follower) ApplySnapshot(now time.Time, c Snapshot, requestedAt time.Duration) {
	f.operator.applyRows(c.Operator, revision.Revision{})
	f.adoptConfig(c.Config)
	for _, r := range c.Operator {
		if r.Key == platform.KeyConfig {
			f.ConfirmConfig(r.Revision(), requestedAt-c.ConfigAge)
		}
	}
	laterEra := f.server.Revision().Era < c.Version.Era
	f.ApplyUpdate(now, Update{Servers: c.Servers, Version: c.Version, Whole: laterEra, Partial: c.Partial, Age: c.Age, Restored: MissingGrace})
}

// applyRows applies rows of another node's copy, which is complete up to a revision, zero if that isn't known.
func (t *table) applyRows(rows []platform.Row, at revision.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyChanges(rows, at)
}

package follow

import (
	"time"

	"guavapaddle/platform"
)

type (
	// Versions holds the versions up to which a node has the tables.
	Versions struct {
		Operator int64
		Servers  int64
	}

	// Snapshot is a node's full copy of the tables.
	Snapshot struct {
		Operator []platform.Row `json:"operator"`
		Servers  []platform.Row `json:"servers"`
		Version  int64          `json:"version"` // of the table of servers
		Age      time.Duration  `json:"age"`

		ConfigAge time.Duration `json:"config-age"` // as Follower.ConfigAge returns it
	}

	// Update holds the changes that one node has and another one lacks.
	Update struct {
		Operator int64 // version of the newest configuration row
		Servers  []platform.Row
		After    int64 // unless Whole, Servers are all changes after this version
		Version  int64 // of the table of servers
		Whole    bool  // Servers are all rows of the table
		Age      time.Duration
		Grace    time.Duration // for which removed entries are still kept

		ConfigAge time.Duration // since Operator was last confirmed as the newest version
	}
)

// Versions returns the versions up to which this node has the tables.
func (f *Follower) Versions() Versions {
	f.operator.mu.Lock()
	defer f.operator.mu.Unlock()
	return Versions{Operator: f.operator.ownVersion(), Servers: f.server.Version()}
}

// Version returns the version up to which this node has all changes.
func (t *table) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// IsBehind reports whether another node announced a newer configuration than this node has.
func (f *Follower) IsBehind() bool { return f.operator.behind() }

// newest returns the version of the newest row that this node has or that another
// node announced.
func (t *table) newest() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.announced, t.ownVersion())
}

// ownVersion returns the version of the newest row in this copy; t.mu is held.
func (t *table) ownVersion() int64 {
	v := int64(0)
	for _, r := range t.rows {
		v = max(v, r.Version)
	}
	return v
}

// ChangesSince returns the changes that this node has and another one, with the given
// versions, lacks. The configuration is large and seldom changes, so only its
// version is included.
func (f *Follower) ChangesSince(now time.Time, k Versions) Update {
	age := f.ConfigAge() // read before the version: a version read earlier might be older than the one confirmed
	u := Update{Operator: f.operator.newest(), After: k.Servers, Age: f.Age(now), ConfigAge: age}
	t := &f.server
	t.mu.Lock()
	defer t.mu.Unlock()
	u.Version = t.version
	u.Grace = max(0, t.outageEnd.Add(MissingGrace).Sub(now))
	u.Whole = k.Servers < t.removedAfter
	for _, r := range t.rows {
		if _, missing := t.missing[r.Key]; !missing && (u.Whole || r.Version > k.Servers) {
			u.Servers = append(u.Servers, r)
		}
	}
	for _, r := range t.removed {
		if !u.Whole && r.Version > k.Servers && t.rows[r.Key].Version <= r.Version {
			u.Servers = append(u.Servers, r)
		}
	}
	return u
}

// ApplyUpdate applies another node's update. Changes that begin after the version of this copy
// don't advance its version. A node reports the changes that the leader lacked at its last
// reply, and the copy of a new leader may be older; if its version advanced, the leader
// would never get the changes in between.
func (f *Follower) ApplyUpdate(now time.Time, u Update) {
	f.operator.recordAnnounced(now, u)
	t := &f.server
	t.mu.Lock()
	defer t.mu.Unlock()
	if !u.Whole && u.After > t.version {
		t.applyChanges(u.Servers, t.version)
		return
	}
	t.recordFeed(now, u)
	if u.Whole {
		t.applyAll(u.Servers, u.Version)
		return
	}
	t.applyChanges(u.Servers, u.Version)
}

// recordAnnounced records the newest version that another node announces, and wakes the table's
// loop to read the table if this copy is older.
func (t *table) recordAnnounced(now time.Time, u Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announced = max(t.announced, u.Operator)
	t.recordFeed(now, u) // even without the row, its version is known
	if t.ownVersion() >= u.Operator {
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
	c := Snapshot{ConfigAge: age, Operator: f.operator.allRows(), Servers: f.server.allRows(), Version: f.server.Version(), Age: f.Age(now)}
	return c, len(c.Operator) > 0 && len(c.Servers) > 0
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
	f.operator.applyRows(c.Operator, 0)
	for _, r := range c.Operator {
		if r.Key == platform.KeyConfig {
			f.ConfirmConfig(r.Version, requestedAt-c.ConfigAge)
		}
	}
	f.ApplyUpdate(now, Update{Servers: c.Servers, Version: c.Version, Age: c.Age})
}

// applyRows applies rows of another node's copy.
func (t *table) applyRows(rows []platform.Row, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyChanges(rows, version)
}

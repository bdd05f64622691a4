package follow

import (
	"time"

	"guavapaddle/platform"
)

type (
	// Known is what a node has of the tables.
	Known struct {
		Operator int64 // versions
		Servers  int64
	}

	// Copy is all that a node has of the tables.
	Copy struct {
		Operator []platform.Row `json:"operator"`
		Servers  []platform.Row `json:"servers"`
		Version  int64          `json:"version"` // of the table of servers
		Age      time.Duration  `json:"age"`

		ConfigAge time.Duration `json:"config-age"` // as of ConfigAge
	}

	// Update is what another node has beyond that.
	Update struct {
		Operator int64 // version of the newest configuration row
		Servers  []platform.Row
		After    int64 // version after which Servers are all changes, if not Whole
		Version  int64 // of the table of servers
		Whole    bool  // Servers are all rows
		Age      time.Duration
		Grace    time.Duration // for which entries that went are still kept

		ConfigAge time.Duration // how long ago Operator was the newest for certain
	}
)

// Known returns the versions that this node has.
func (f *Follower) Known() Known {
	f.operator.mu.Lock()
	defer f.operator.mu.Unlock()
	return Known{Operator: f.operator.own(), Servers: f.server.Version()}
}

// Version returns the version up to which all changes are known.
func (t *table) Version() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Behind tells whether another node told of a configuration newer than this one's.
func (f *Follower) Behind() bool { return f.operator.behind() }

// newest returns the version of the newest row that this node has or was told
// of.
func (t *table) newest() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.told, t.own())
}

// own returns the version of the newest row here; t.mu is held.
func (t *table) own() int64 {
	v := int64(0)
	for _, r := range t.rows {
		v = max(v, r.Version)
	}
	return v
}

// Since returns what this node has beyond what another one knows. The
// configuration is large and changes seldom, so only its version is told.
func (f *Follower) Since(now time.Time, k Known) Update {
	age := f.ConfigAge() // before the version, which may be newer than what the age proves
	u := Update{Operator: f.operator.newest(), After: k.Servers, Age: f.Age(now), ConfigAge: age}
	t := &f.server
	t.mu.Lock()
	defer t.mu.Unlock()
	u.Version = t.version
	u.Grace = max(0, t.back.Add(Grace).Sub(now))
	u.Whole = k.Servers < t.floor
	for _, r := range t.rows {
		if _, vanished := t.vanished[r.Key]; !vanished && (u.Whole || r.Version > k.Servers) {
			u.Servers = append(u.Servers, r)
		}
	}
	for _, r := range t.gone {
		if !u.Whole && r.Version > k.Servers && t.rows[r.Key].Version <= r.Version {
			u.Servers = append(u.Servers, r)
		}
	}
	return u
}

// Take takes in what another node has. Changes that don't begin where this copy ends
// leave it as whole as it was: a node reports what the holder lacked when it last heard
// of it, and a new holder's copy may be older. Taken for whole, that copy lacked for good
// what had changed between.
func (f *Follower) Take(now time.Time, u Update) {
	f.operator.tell(now, u)
	t := &f.server
	t.mu.Lock()
	defer t.mu.Unlock()
	if !u.Whole && u.After > t.version {
		t.take(u.Servers, t.version)
		return
	}
	t.fed(now, u)
	if u.Whole {
		t.replace(u.Servers, u.Version)
		return
	}
	t.take(u.Servers, u.Version)
}

// tell notes the newest version that another node knows of, and has the table
// read if that isn't here.
func (t *table) tell(now time.Time, u Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told = max(t.told, u.Operator)
	t.fed(now, u) // a version that isn't here is at least known
	if t.own() >= u.Operator {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default: // it is being read already
	}
}

// fed notes up to when another node's copy is whole, and until when it keeps
// entries that went; t.mu is held.
func (t *table) fed(now time.Time, u Update) {
	if at := now.Add(-u.Age); at.After(t.heard) {
		t.heard = at
	}
	if back := now.Add(u.Grace - Grace); u.Grace > 0 && back.After(t.back) {
		t.back = back
	}
}

// Copy returns all that this node has; ok is false if that isn't whole.
func (f *Follower) Copy(now time.Time) (Copy, bool) {
	age := f.ConfigAge()
	c := Copy{ConfigAge: age, Operator: f.operator.all(), Servers: f.server.all(), Version: f.server.Version(), Age: f.Age(now)}
	return c, len(c.Operator) > 0 && len(c.Servers) > 0
}

// all returns the rows of the table.
func (t *table) all() []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]platform.Row, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows
}

// Load takes in another node's copy, for which this node asked at a boot time. Newer rows
// that are here stay.
func (f *Follower) Load(now time.Time, c Copy, asked time.Duration) {
	f.operator.load(c.Operator, 0)
	for _, r := range c.Operator {
		if r.Key == platform.KeyConfig {
			f.Proved(r.Version, asked-c.ConfigAge)
		}
	}
	f.Take(now, Update{Servers: c.Servers, Version: c.Version, Age: c.Age})
}

// load takes in rows.
func (t *table) load(rows []platform.Row, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.take(rows, version)
}

package lease

import (
	"encoding/json"
	"strconv"
	"time"

	"guavapaddle/core/row"
)

const (
	// DefaultTTL is the time to live of a session.
	DefaultTTL = 6 * time.Second
	// DefaultMargin covers clock drift and the time from a check to the send.
	DefaultMargin = time.Second
	// DefaultMaxPause is the longest gap between ticks that goes unremarked.
	DefaultMaxPause = time.Second

	renewalsPerTTL = 3
)

type (
	// Settings of a Book; zero times mean the defaults.
	Settings struct {
		Node        string
		Incarnation string        // unique to this start of the node
		TTL         time.Duration // of the session
		Margin      time.Duration // before the end at which sending stops, and that a rival adds
		MaxPause    time.Duration // between ticks
	}

	// Book is what one node knows of sessions and servers.
	Book struct {
		set      Settings
		serial   uint64 // of the session within the incarnation
		id       string // of the session
		own      session
		others   map[string]sighting // by session
		servers  map[string]server
		ticked   bool
		lastTick time.Duration
		lastWall time.Time
		gap      time.Duration // end of the last gap; renewals begun earlier don't count
		stale    bool          // a gap was seen and no renewal since
	}

	session struct {
		created  bool
		revision uint64
		renewal  uint64                   // last one sent
		begun    map[uint64]time.Duration // when renewals were about to be sent
		start    time.Duration            // of the last renewal known to be done
		tried    bool
		last     time.Duration // last try
	}

	sighting struct {
		revision uint64
		since    time.Duration // first seen at this revision
		ttl      time.Duration
		ended    bool
	}

	server struct {
		revision uint64
		value    Server
		dropped  bool // given up or known lost at this revision
	}
)

// NewBook returns a Book that knows nothing yet.
func NewBook(s Settings) *Book {
	if s.TTL == 0 {
		s.TTL = DefaultTTL
	}
	if s.Margin == 0 {
		s.Margin = DefaultMargin
	}
	if s.MaxPause == 0 {
		s.MaxPause = DefaultMaxPause
	}
	b := &Book{set: s, others: map[string]sighting{}, servers: map[string]server{}}
	b.Restart()
	return b
}

// ID returns the id of the node's present session.
func (b *Book) ID() string { return b.id }

// Restart gives up the present session, and all servers with it, for a new one.
func (b *Book) Restart() {
	b.serial++
	b.id = b.set.Node + "/" + b.set.Incarnation + "/" + strconv.FormatUint(b.serial, 10)
	b.own = session{begun: map[uint64]time.Duration{}}
}

// Tick notes the passing of time and tells whether the process has paused for
// longer than it may. Wall may be the zero time.
func (b *Book) Tick(now time.Duration, wall time.Time) bool {
	paused := false
	if b.ticked {
		step := now - b.lastTick
		paused = step > b.set.MaxPause
		if !wall.IsZero() && !b.lastWall.IsZero() {
			// Round strips the monotonic reading, so that this is wall time.
			real := wall.Round(0).Sub(b.lastWall.Round(0))
			paused = paused || real-step > b.set.MaxPause
		}
	}
	b.ticked, b.lastTick, b.lastWall = true, now, wall
	if paused {
		b.gap, b.stale = now, true
	}
	return paused
}

// RenewDue tells whether the session should be renewed now: each third of its
// time to live, and at once after a gap.
func (b *Book) RenewDue(now time.Duration) bool {
	afterGap := b.stale && b.own.last < b.gap
	return !b.own.tried || afterGap || now-b.own.last >= b.set.TTL/renewalsPerTTL
}

// Renew returns the transaction that creates or renews the session. It must be
// sent after the call, never kept.
func (b *Book) Renew(now time.Duration) row.Tx {
	b.own.renewal++
	b.own.tried, b.own.last = true, now
	b.own.begun[b.own.renewal] = now
	value := encode(Session{Node: b.set.Node, TTLMS: b.set.TTL.Milliseconds(), Renewal: b.own.renewal})
	key := SessionKey(b.ID())
	return row.Tx{}.When(key, b.own.revision).Put(key, value)
}

// Keys returns the keys to read back if the fate of tx is unknown.
func (b *Book) Keys(tx row.Tx) []string {
	keys := make([]string, 0, len(tx.Writes))
	for _, w := range tx.Writes {
		keys = append(keys, w.Key)
	}
	return keys
}

// Committed tells the book that tx is done, at the given revision.
func (b *Book) Committed(now time.Duration, tx row.Tx, revision uint64) {
	for _, w := range tx.Writes {
		if w.Delete {
			b.Observe(now, row.Row{Key: w.Key})
			continue
		}
		b.Observe(now, row.Row{Key: w.Key, Value: w.Value, Revision: revision})
	}
}

// Observe tells the book rows as they were read, written or in conflict. Rows
// older than known ones, and rows that don't belong to leases, are passed over.
func (b *Book) Observe(now time.Duration, rows ...row.Row) {
	for _, r := range rows {
		if id, ok := sessionOf(r.Key); ok {
			if id == b.ID() {
				b.observeOwn(r)
			} else {
				b.observeSession(now, id, r)
			}
		} else if name, ok := serverOf(r.Key); ok {
			b.observeServer(name, r)
		}
	}
}

func (b *Book) observeOwn(r row.Row) {
	if r.Revision == 0 {
		// Ended by a rival, or an uncertain creation that may yet arrive: in
		// both cases this id is never used again.
		b.Restart()
		return
	}
	var v Session
	if r.Revision < b.own.revision || json.Unmarshal(r.Value, &v) != nil {
		return
	}
	b.own.created, b.own.revision = true, r.Revision
	start, ok := b.own.begun[v.Renewal]
	if !ok {
		return
	}
	for n := range b.own.begun {
		if n <= v.Renewal {
			delete(b.own.begun, n)
		}
	}
	b.own.start = start
	if b.stale && start >= b.gap {
		b.stale = false
	}
}

func (b *Book) observeSession(now time.Duration, id string, r row.Row) {
	old, known := b.others[id]
	switch {
	case r.Revision == 0:
		b.others[id] = sighting{ended: true}
	case known && (old.ended || r.Revision <= old.revision):
	default:
		var v Session
		ttl := b.set.TTL
		if json.Unmarshal(r.Value, &v) == nil && v.TTLMS > 0 {
			ttl = v.ttl()
		}
		b.others[id] = sighting{revision: r.Revision, since: now, ttl: ttl}
	}
}

func (b *Book) observeServer(name string, r row.Row) {
	old, known := b.servers[name]
	if known && r.Revision <= old.revision {
		return
	}
	var v Server
	if r.Revision != 0 && json.Unmarshal(r.Value, &v) != nil {
		return
	}
	// A renewed sight of the same epoch does not undo a release: the release
	// may have been sent and still arrive.
	dropped := old.dropped && v.Epoch == old.value.Epoch
	b.servers[name] = server{revision: r.Revision, value: v, dropped: dropped}
	if known && old.value.Holder != v.Holder {
		b.forget(old.value.Holder)
	}
}

// forget drops the sighting of a session that no known server names.
func (b *Book) forget(id string) {
	for _, s := range b.servers {
		if s.value.Holder == id {
			return
		}
	}
	delete(b.others, id)
}

// Alive tells whether the session was created and is not known to be ended.
func (b *Book) Alive() bool { return b.own.created }

// Remaining returns how long the node may still send, zero or less if not.
func (b *Book) Remaining(now time.Duration) time.Duration {
	if !b.own.created || b.stale {
		return 0
	}
	return b.own.start + b.set.TTL - b.set.Margin - now
}

// Held returns the epoch of a server that this node's session owns as far as
// is known. It does not tell that the lease is still running: see MaySend.
func (b *Book) Held(name string) (uint64, bool) {
	s, ok := b.servers[name]
	if !ok || !b.own.created || s.dropped || s.value.Holder != b.ID() {
		return 0, false
	}
	return s.value.Epoch, true
}

// MaySend returns the epoch under which an order may be sent to a server now.
func (b *Book) MaySend(now time.Duration, name string) (uint64, bool) {
	epoch, ok := b.Held(name)
	if !ok || b.Remaining(now) <= 0 {
		return 0, false
	}
	return epoch, true
}

// Row returns a server's row as last seen.
func (b *Book) Row(name string) (Server, bool) {
	s, ok := b.servers[name]
	return s.value, ok
}

// Watch returns the keys to read in order to learn when a server becomes free.
func (b *Book) Watch(name string) []string {
	keys := []string{ServerKey(name)}
	s := b.servers[name].value
	if s.Holder != "" && s.Holder != b.ID() && !b.others[s.Holder].ended {
		keys = append(keys, SessionKey(s.Holder))
	}
	return keys
}

// Free returns how long the node still has to wait before it may take a
// server, and false if it doesn't know enough to tell.
func (b *Book) Free(now time.Duration, name string) (time.Duration, bool) {
	s, ok := b.servers[name]
	if !ok {
		return 0, false
	}
	if s.value.Holder == "" || s.value.Holder == b.ID() {
		return 0, true
	}
	other, ok := b.others[s.value.Holder]
	if !ok {
		return 0, false
	}
	if other.ended {
		return 0, true
	}
	return max(0, other.since+other.ttl+b.set.Margin-now), true
}

// Take returns the transaction that makes this node's session the owner of a
// server with the next epoch, and false if that is not allowed now. Orders
// that the row carries are kept. A server that is already held gets the next
// epoch too, which makes all orders under earlier ones void on a server that
// checks. The epoch will be higher than above.
func (b *Book) Take(now time.Duration, name string, above uint64) (row.Tx, bool) {
	wait, known := b.Free(now, name)
	if !known || wait > 0 || !b.own.created {
		return row.Tx{}, false
	}
	s := b.servers[name]
	v := s.value
	tx := row.Tx{}.When(ServerKey(name), s.revision)
	if other, ok := b.others[v.Holder]; ok && v.Holder != "" && !other.ended {
		key := SessionKey(v.Holder)
		tx = tx.When(key, other.revision).Delete(key)
	}
	v.Holder, v.Node, v.Epoch = b.ID(), b.set.Node, max(v.Epoch, above)+1
	return tx.Put(ServerKey(name), encode(v)), true
}

// Record returns the transaction that keeps orders in the row of a server that
// is held, for the next owner to inherit. It fails if the server was taken.
func (b *Book) Record(name string, orders json.RawMessage) (row.Tx, bool) {
	if _, ok := b.Held(name); !ok {
		return row.Tx{}, false
	}
	s := b.servers[name]
	v := s.value
	v.Orders = orders
	return row.Tx{}.When(ServerKey(name), s.revision).Put(ServerKey(name), encode(v)), true
}

// Release returns the transaction that frees a held server for others at once.
// From now on the server counts as not held, whatever becomes of it.
func (b *Book) Release(name string) (row.Tx, bool) {
	if _, ok := b.Held(name); !ok {
		return row.Tx{}, false
	}
	s := b.servers[name]
	b.Drop(name)
	v := s.value
	v.Holder, v.Node = "", ""
	return row.Tx{}.When(ServerKey(name), s.revision).Put(ServerKey(name), encode(v)), true
}

// Drop counts a server as not held until it is taken again, for instance
// because somebody reports a higher epoch.
func (b *Book) Drop(name string) {
	if s, ok := b.servers[name]; ok {
		s.dropped = true
		b.servers[name] = s
	}
}

// End returns the transaction that ends the session, so that all servers that
// it still owns become free at once, and starts a new one.
func (b *Book) End() (row.Tx, bool) {
	if !b.own.created {
		return row.Tx{}, false
	}
	key := SessionKey(b.ID())
	tx := row.Tx{}.When(key, b.own.revision).Delete(key)
	b.Restart()
	return tx, true
}

package lease

import (
	"encoding/json"
	"strconv"
	"time"

	"guavapaddle/core/row"
)

const (
	// DefaultTTL is the default time to live of a session.
	DefaultTTL = 6 * time.Second
	// DefaultMargin covers clock drift and the time between the check of a
	// lease and the send.
	DefaultMargin = time.Second
	// DefaultMaxPause is the longest gap between ticks that does not count as
	// a pause of the process.
	DefaultMaxPause = time.Second

	renewalsPerTTL = 3
)

type (
	// Settings configures a Registry. Zero durations select the defaults.
	Settings struct {
		Node        string
		Incarnation string        // unique for each start of the node
		TTL         time.Duration // time to live of the session
		Margin      time.Duration // sending stops this long before the end, and other nodes wait this much longer
		MaxPause    time.Duration // longest allowed gap between ticks
	}

	// Registry holds what one node knows of sessions and of the leases of servers.
	Registry struct {
		settings     Settings
		serial       uint64 // of the session within the incarnation
		id           string // of the session
		own          session
		others       map[string]observation // by session
		servers      map[string]server
		ticked       bool
		lastTick     time.Duration
		lastWall     time.Time
		gapEnd       time.Duration // end of the last gap; renewals started before it don't count
		needsRenewal bool          // no renewal that started after gapEnd was committed
	}

	session struct {
		created       bool
		revision      uint64
		renewal       uint64                   // number of the last renewal sent
		renewalStarts map[uint64]time.Duration // by renewal, the time just before it was sent
		validFrom     time.Duration            // when the last renewal known to be committed was about to be sent
		attempted     bool
		lastAttempt   time.Duration // when the last renewal was attempted
	}

	observation struct {
		revision uint64
		since    time.Duration // when this revision was first observed
		ttl      time.Duration
		ended    bool
	}

	server struct {
		revision  uint64
		value     Server
		forgotten bool // released or known to be lost, until acquired again
	}
)

// NewRegistry returns a Registry with a new session and no known rows.
func NewRegistry(s Settings) *Registry {
	if s.TTL == 0 {
		s.TTL = DefaultTTL
	}
	if s.Margin == 0 {
		s.Margin = DefaultMargin
	}
	if s.MaxPause == 0 {
		s.MaxPause = DefaultMaxPause
	}
	b := &Registry{settings: s, others: map[string]observation{}, servers: map[string]server{}}
	b.Restart()
	return b
}

// ID returns the id of the node's current session.
func (b *Registry) ID() string { return b.id }

// Restart abandons the current session, and with it the leases of all servers,
// and starts a new one.
func (b *Registry) Restart() {
	b.serial++
	b.id = b.settings.Node + "/" + b.settings.Incarnation + "/" + strconv.FormatUint(b.serial, 10)
	b.own = session{renewalStarts: map[uint64]time.Duration{}}
}

// Tick records the current time and reports whether the process was paused for
// longer than allowed since the previous tick. The wall time may be zero.
func (b *Registry) Tick(now time.Duration, wall time.Time) bool {
	paused := false
	if b.ticked {
		step := now - b.lastTick
		paused = step > b.settings.MaxPause
		if !wall.IsZero() && !b.lastWall.IsZero() {
			// Round strips the monotonic clock reading, so that Sub compares
			// wall clock readings.
			wallStep := wall.Round(0).Sub(b.lastWall.Round(0))
			paused = paused || wallStep-step > b.settings.MaxPause
		}
	}
	b.ticked, b.lastTick, b.lastWall = true, now, wall
	if paused {
		b.gapEnd, b.needsRenewal = now, true
	}
	return paused
}

// RenewDue reports whether the session should be renewed now: every third of
// its time to live, and immediately after a gap.
func (b *Registry) RenewDue(now time.Duration) bool {
	afterGap := b.needsRenewal && b.own.lastAttempt < b.gapEnd
	return !b.own.attempted || afterGap || now-b.own.lastAttempt >= b.settings.TTL/renewalsPerTTL
}

// Renew returns the transaction that creates or renews the session. The caller
// must send it right away, because the lease counts from now.
func (b *Registry) Renew(now time.Duration) row.Tx {
	b.own.renewal++
	b.own.attempted, b.own.lastAttempt = true, now
	b.own.renewalStarts[b.own.renewal] = now
	value := encode(Session{Node: b.settings.Node, TTLMS: b.settings.TTL.Milliseconds(), Renewal: b.own.renewal})
	key := SessionKey(b.ID())
	return row.Tx{}.When(key, b.own.revision).Put(key, value)
}

// WriteKeys returns the keys to read back if the outcome of tx is unknown.
func (b *Registry) WriteKeys(tx row.Tx) []string {
	keys := make([]string, 0, len(tx.Writes))
	for _, w := range tx.Writes {
		keys = append(keys, w.Key)
	}
	return keys
}

// Committed records that tx was committed at the given revision.
func (b *Registry) Committed(now time.Duration, tx row.Tx, revision uint64) {
	for _, w := range tx.Writes {
		if w.Delete {
			b.Observe(now, row.Row{Key: w.Key})
			continue
		}
		b.Observe(now, row.Row{Key: w.Key, Value: w.Value, Revision: revision})
	}
}

// Observe records rows that were read, written or reported as conflicts. Rows
// older than known ones, and rows that don't belong to leases, are ignored.
func (b *Registry) Observe(now time.Duration, rows ...row.Row) {
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

func (b *Registry) observeOwn(r row.Row) {
	if r.Revision == 0 {
		// Either another node ended the session, or its creation may still be
		// in transit. In both cases this id must not be used again.
		b.Restart()
		return
	}
	var v Session
	if r.Revision < b.own.revision || json.Unmarshal(r.Value, &v) != nil {
		return
	}
	b.own.created, b.own.revision = true, r.Revision
	validFrom, ok := b.own.renewalStarts[v.Renewal]
	if !ok {
		return
	}
	for n := range b.own.renewalStarts {
		if n <= v.Renewal {
			delete(b.own.renewalStarts, n)
		}
	}
	b.own.validFrom = validFrom
	if b.needsRenewal && validFrom >= b.gapEnd {
		b.needsRenewal = false
	}
}

func (b *Registry) observeSession(now time.Duration, id string, r row.Row) {
	old, known := b.others[id]
	switch {
	case r.Revision == 0:
		b.others[id] = observation{ended: true}
	case known && (old.ended || r.Revision <= old.revision):
	default:
		var v Session
		ttl := b.settings.TTL
		if json.Unmarshal(r.Value, &v) == nil && v.TTLMS > 0 {
			ttl = v.ttl()
		}
		b.others[id] = observation{revision: r.Revision, since: now, ttl: ttl}
	}
}

func (b *Registry) observeServer(name string, r row.Row) {
	old, known := b.servers[name]
	if known && r.Revision <= old.revision {
		return
	}
	var v Server
	if r.Revision != 0 && json.Unmarshal(r.Value, &v) != nil {
		return
	}
	// Observing the same epoch again does not undo a release: the transaction
	// that releases the server may still be in transit.
	forgotten := old.forgotten && v.Epoch == old.value.Epoch
	b.servers[name] = server{revision: r.Revision, value: v, forgotten: forgotten}
	if known && old.value.Holder != v.Holder {
		b.pruneSession(old.value.Holder)
	}
}

// pruneSession deletes the observation of a session that holds no known server.
func (b *Registry) pruneSession(id string) {
	for _, s := range b.servers {
		if s.value.Holder == id {
			return
		}
	}
	delete(b.others, id)
}

// Alive reports whether the session was created and is not known to have ended.
func (b *Registry) Alive() bool { return b.own.created }

// Remaining returns for how long the node may still send orders. It is zero or
// negative if the node may not send.
func (b *Registry) Remaining(now time.Duration) time.Duration {
	if !b.own.created || b.needsRenewal {
		return 0
	}
	return b.own.validFrom + b.settings.TTL - b.settings.Margin - now
}

// Held returns the epoch of a server, and whether this node's session owns the
// server according to the last observed rows. The lease may have expired
// nevertheless: see MaySend.
func (b *Registry) Held(name string) (uint64, bool) {
	s, ok := b.servers[name]
	if !ok || !b.own.created || s.forgotten || s.value.Holder != b.ID() {
		return 0, false
	}
	return s.value.Epoch, true
}

// MaySend returns the epoch under which an order may be sent to a server now,
// and false if none may be sent.
func (b *Registry) MaySend(now time.Duration, name string) (uint64, bool) {
	epoch, ok := b.Held(name)
	if !ok || b.Remaining(now) <= 0 {
		return 0, false
	}
	return epoch, true
}

// Row returns a server's row as last observed, and false if it is not known.
func (b *Registry) Row(name string) (Server, bool) {
	s, ok := b.servers[name]
	return s.value, ok
}

// KeysToWatch returns the keys of the rows that determine when a server becomes free.
func (b *Registry) KeysToWatch(name string) []string {
	keys := []string{ServerKey(name)}
	s := b.servers[name].value
	if s.Holder != "" && s.Holder != b.ID() && !b.others[s.Holder].ended {
		keys = append(keys, SessionKey(s.Holder))
	}
	return keys
}

// FreeIn returns how long the node has to wait before it may acquire a server,
// and false if that can't be derived from the rows observed so far.
func (b *Registry) FreeIn(now time.Duration, name string) (time.Duration, bool) {
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
	return max(0, other.since+other.ttl+b.settings.Margin-now), true
}

// Acquire returns the transaction that makes this node's session the owner of a
// server under the next epoch, and false if that is not allowed now. Orders in
// the row are kept. A server that the session already holds also gets the next
// epoch, which invalidates all orders under earlier epochs on a server that
// checks fencing numbers. The new epoch is greater than above.
func (b *Registry) Acquire(now time.Duration, name string, above uint64) (row.Tx, bool) {
	wait, known := b.FreeIn(now, name)
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
	v.Holder, v.Node, v.Epoch = b.ID(), b.settings.Node, max(v.Epoch, above)+1
	return tx.Put(ServerKey(name), encode(v)), true
}

// RecordOrders returns the transaction that stores orders in the row of a held server,
// for the next owner to inherit. The transaction is not committed if another
// node has acquired the server.
func (b *Registry) RecordOrders(name string, orders json.RawMessage) (row.Tx, bool) {
	if _, ok := b.Held(name); !ok {
		return row.Tx{}, false
	}
	s := b.servers[name]
	v := s.value
	v.Orders = orders
	return row.Tx{}.When(ServerKey(name), s.revision).Put(ServerKey(name), encode(v)), true
}

// Release returns the transaction that frees a held server for other nodes
// immediately. From now on the server counts as not held, whether or not the
// transaction is committed.
func (b *Registry) Release(name string) (row.Tx, bool) {
	if _, ok := b.Held(name); !ok {
		return row.Tx{}, false
	}
	s := b.servers[name]
	b.Forget(name)
	v := s.value
	v.Holder, v.Node = "", ""
	return row.Tx{}.When(ServerKey(name), s.revision).Put(ServerKey(name), encode(v)), true
}

// Forget marks a server as not held until it is acquired again, for example
// because a higher epoch was reported for it.
func (b *Registry) Forget(name string) {
	if s, ok := b.servers[name]; ok {
		s.forgotten = true
		b.servers[name] = s
	}
}

// EndSession starts a new session and returns the transaction that ends the previous
// one, which frees all servers that it still owns. It returns false if the
// session was not created.
func (b *Registry) EndSession() (row.Tx, bool) {
	if !b.own.created {
		return row.Tx{}, false
	}
	key := SessionKey(b.ID())
	tx := row.Tx{}.When(key, b.own.revision).Delete(key)
	b.Restart()
	return tx, true
}

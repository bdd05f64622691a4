package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"go.uber.org/zap"

	"guavapaddle/core/lease"
	"guavapaddle/core/row"
	"guavapaddle/io/table"
)

// lookInOutage is the time between two looks for free servers while the table
// doesn't answer.
const lookInOutage = time.Second

// tick notes the passing of time, apart from all calls that may take long.
func (o *Owner) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.book.Tick(o.now(), time.Now()) {
		o.Log.Warn("pause seen, leases count as lost until renewed", zap.String("node", o.Node))
		o.Metrics.lease("paused")
	}
}

// renewDue renews the session if it is time.
func (o *Owner) renewDue(ctx context.Context) {
	o.mu.Lock()
	due := o.book.RenewDue(o.now())
	o.mu.Unlock()
	if due {
		o.renew(ctx)
	}
}

// keep takes servers that the node should own and marks those that it should
// hand over.
func (o *Owner) keep(ctx context.Context) {
	wanted := o.wanted()
	o.markUnowned(wanted)
	o.takeWanted(ctx, wanted)
	o.logLeases()
}

// renew renews the session.
func (o *Owner) renew(ctx context.Context) {
	o.mu.Lock()
	id := o.book.ID()
	tx := o.book.Renew(o.now())
	o.mu.Unlock()
	o.transact(ctx, tx)
	o.mu.Lock()
	lost := o.book.ID() != id
	o.mu.Unlock()
	if lost {
		o.Log.Warn("session ended by another node", zap.String("session", id))
		o.Metrics.lease("session-lost")
	}
}

// transact commits tx and tells the book. If the fate of tx is unknown the
// rows are read back. What has become of it is then seen in the book.
func (o *Owner) transact(ctx context.Context, tx row.Tx) {
	call, cancel := context.WithTimeout(ctx, o.CallTimeout)
	defer cancel()
	result, err := o.Table.Transact(call, tx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = err != nil
	switch {
	case err == nil && result.Committed:
		o.book.Committed(o.now(), tx, result.Revision)
	case err == nil:
		o.Metrics.lease("conflict")
		o.book.Observe(o.now(), result.Conflicts...)
	case table.KindOf(err) == table.Uncertain:
		o.Metrics.lease("uncertain")
		keys := o.book.WriteKeys(tx)
		o.mu.Unlock()
		o.readBack(ctx, keys)
		o.mu.Lock()
	default:
		o.Metrics.lease("table-unavailable")
	}
}

// readBack reads rows and tells the book, true if the table answered.
func (o *Owner) readBack(ctx context.Context, keys []string) bool {
	call, cancel := context.WithTimeout(ctx, o.CallTimeout)
	defer cancel()
	rows, err := o.Table.Read(call, keys...)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = err != nil
	if err != nil {
		return false
	}
	o.book.Observe(o.now(), rows...)
	return true
}

// live returns the names of the live nodes in order.
func (o *Owner) live() []string {
	live := slices.Clone(o.Live())
	slices.Sort(live)
	return live
}

// wanted returns the names of the engine servers that this node should own. It
// is worked out anew only when the live nodes or the declared servers change.
func (o *Owner) wanted() map[string]bool {
	live, known := o.live(), o.known()
	if o.division.known == known && slices.Equal(o.division.live, live) {
		return o.division.wanted
	}
	ring := rendezvous.New(live, xxhash.Sum64String)
	out := map[string]bool{}
	for name := range known.servers {
		if ring.Lookup(name) == o.Node {
			out[name] = true
		}
	}
	o.division = division{live: live, known: known, wanted: out}
	return out
}

// markUnowned notes since when servers that are held are another node's.
func (o *Owner) markUnowned(wanted map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	for name := range o.catalog.servers {
		_, held := o.book.Held(name)
		if !held || wanted[name] {
			delete(o.unowned, name)
		} else if _, ok := o.unowned[name]; !ok {
			o.unowned[name] = now
		}
	}
}

// handOver tells whether a server should be released now.
func (o *Owner) handOver(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, ok := o.unowned[server]
	return ok && o.now()-since >= o.HandOver
}

// takeWanted takes the servers that the node should own and that are free. It
// reads the rows of those that are not yet.
func (o *Owner) takeWanted(ctx context.Context, wanted map[string]bool) {
	var missing, keys []string
	o.mu.Lock()
	now := o.now()
	if !o.book.Alive() || (o.down && now-o.looked < lookInOutage) {
		o.mu.Unlock()
		return
	}
	o.looked = now
	for name := range wanted {
		if _, held := o.book.Held(name); !held {
			missing = append(missing, name)
			keys = append(keys, o.book.KeysToWatch(name)...)
		}
	}
	o.mu.Unlock()
	if len(missing) == 0 || !o.readBack(ctx, keys) {
		return
	}
	slices.Sort(missing)
	for _, name := range missing {
		o.take(ctx, name, 0)
	}
}

// take takes a server if it is free, with an epoch higher than above.
func (o *Owner) take(ctx context.Context, name string, above uint64) {
	o.mu.Lock()
	tx, ok := o.book.Acquire(o.now(), name, above)
	o.mu.Unlock()
	if ok {
		o.transact(ctx, tx)
	}
}

// logLeases logs and counts the servers that were won or lost.
func (o *Owner) logLeases() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range o.catalog.servers {
		epoch, held := o.book.Held(name)
		was := o.held[name]
		switch {
		case held && epoch != was:
			o.held[name] = epoch
			o.Log.Info("lease acquired", zap.String("server", name), zap.Uint64("epoch", epoch))
			o.Metrics.lease("acquired")
		case !held && was != 0:
			delete(o.held, name)
			r, _ := o.book.Row(name)
			o.Log.Warn("lease lost", zap.String("server", name), zap.Uint64("epoch", was),
				zap.String("holder", r.Node), zap.Uint64("holder-epoch", r.Epoch))
			o.Metrics.lease("lost")
		}
	}
}

// epochOf returns the epoch of a server that this node owns as far as it knows.
func (o *Owner) epochOf(server string) (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.book.Held(server)
}

// mayOrder tells whether the lease of a server runs now, and if not, whether
// that may be because the table is out.
func (o *Owner) mayOrder(server string) (running, outage bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, running = o.book.MaySend(o.now(), server)
	return running, o.down
}

// record keeps unsettled orders in a server's row, true if they surely are.
func (o *Owner) record(ctx context.Context, server string, orders json.RawMessage) bool {
	for range 2 { // a late transaction of ours may be in conflict with the first
		o.mu.Lock()
		r, _ := o.book.Row(server)
		if _, held := o.book.Held(server); held && bytes.Equal(r.Orders, orders) {
			o.mu.Unlock()
			return true
		}
		tx, ok := o.book.RecordOrders(server, orders)
		o.mu.Unlock()
		if !ok {
			return false
		}
		o.transact(ctx, tx)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r, _ := o.book.Row(server)
	_, held := o.book.Held(server)
	return held && bytes.Equal(r.Orders, orders)
}

// row returns a server's row as last seen.
func (o *Owner) row(server string) lease.Server {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, _ := o.book.Row(server)
	return r
}

// watch returns the keys that tell who owns a server.
func (o *Owner) watch(server string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.book.KeysToWatch(server)
}

// loading returns how many items are on their way on this node's servers.
func (o *Owner) loading() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, v := range o.views {
		n += len(v.Loading)
	}
	return n
}

// drop counts a server as lost: somebody has a higher epoch.
func (o *Owner) drop(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.book.Forget(server)
}

// release frees a server for its next owner.
func (o *Owner) release(ctx context.Context, server, reason string) {
	o.mu.Lock()
	tx, ok := o.book.Release(server)
	o.mu.Unlock()
	if !ok {
		return
	}
	o.transact(ctx, tx)
	o.Log.Info("lease released", zap.String("server", server), zap.String("reason", reason))
	o.Metrics.lease("released")
}

// releaseAll ends the session, which frees all servers at once.
func (o *Owner) releaseAll(ctx context.Context) {
	o.mu.Lock()
	tx, ok := o.book.EndSession()
	o.mu.Unlock()
	if ok {
		o.transact(ctx, tx)
		o.Log.Info("session ended", zap.String("node", o.Node), zap.String("reason", "stop"))
		o.Metrics.lease("ended")
	}
}

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

// outageSearchPeriod is the time between two searches for free servers while the
// table is unavailable.
const outageSearchPeriod = time.Second

// tick advances the registry's clock. It runs in a loop of its own so that slow
// calls don't look like process pauses.
func (o *Owner) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.registry.Tick(o.now(), time.Now()) {
		o.Log.Warn("process pause detected; leases are treated as lost until renewed", zap.String("node", o.Node))
		o.Metrics.countLeaseEvent("paused")
	}
}

// renewIfDue renews the session if it is due for renewal.
func (o *Owner) renewIfDue(ctx context.Context) {
	o.mu.Lock()
	due := o.registry.RenewDue(o.now())
	o.mu.Unlock()
	if due {
		o.renew(ctx)
	}
}

// reconcile acquires the servers that the node should own and marks those that it
// should hand over.
func (o *Owner) reconcile(ctx context.Context) {
	assigned := o.assignedServers()
	o.markReassigned(assigned)
	o.acquireAssigned(ctx, assigned)
	o.logLeases()
}

// renew renews the session.
func (o *Owner) renew(ctx context.Context) {
	o.mu.Lock()
	id := o.registry.ID()
	tx := o.registry.Renew(o.now())
	o.mu.Unlock()
	o.transact(ctx, tx)
	o.mu.Lock()
	lost := o.registry.ID() != id
	o.mu.Unlock()
	if lost {
		o.Log.Warn("session ended by another node", zap.String("session", id))
		o.Metrics.countLeaseEvent("session-lost")
	}
}

// transact commits tx and updates the registry with the result. If the outcome is
// unknown, it reads the rows back. Callers find the outcome in the registry.
func (o *Owner) transact(ctx context.Context, tx row.Tx) {
	callCtx, cancel := context.WithTimeout(ctx, o.CallTimeout)
	defer cancel()
	result, err := o.Table.Transact(callCtx, tx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tableDown = err != nil
	switch {
	case err == nil && result.Committed:
		o.registry.Committed(o.now(), tx, result.Revision)
	case err == nil:
		o.Metrics.countLeaseEvent("conflict")
		o.registry.Observe(o.now(), result.Conflicts...)
	case table.KindOf(err) == table.Uncertain:
		o.Metrics.countLeaseEvent("uncertain")
		keys := o.registry.WriteKeys(tx)
		o.mu.Unlock()
		o.readBack(ctx, keys)
		o.mu.Lock()
	default:
		o.Metrics.countLeaseEvent("table-unavailable")
	}
}

// readBack reads rows and updates the registry. It reports whether the table
// answered.
func (o *Owner) readBack(ctx context.Context, keys []string) bool {
	call, cancel := context.WithTimeout(ctx, o.CallTimeout)
	defer cancel()
	rows, err := o.Table.Read(call, keys...)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tableDown = err != nil
	if err != nil {
		return false
	}
	o.registry.Observe(o.now(), rows...)
	return true
}

// live returns the sorted names of the live nodes.
func (o *Owner) live() []string {
	live := slices.Clone(o.Live())
	slices.Sort(live)
	return live
}

// assignedServers returns the names of the engine servers that this node should own.
// The result is recomputed only when the live nodes or the catalog change.
func (o *Owner) assignedServers() map[string]bool {
	live, current := o.live(), o.currentCatalog()
	if o.assignment.catalog == current && slices.Equal(o.assignment.live, live) {
		return o.assignment.servers
	}
	ring := rendezvous.New(live, xxhash.Sum64String)
	out := map[string]bool{}
	for name := range current.servers {
		if ring.Lookup(name) == o.Node {
			out[name] = true
		}
	}
	o.assignment = assignment{live: live, catalog: current, servers: out}
	return out
}

// markReassigned records when another node became the assigned owner of a held server.
func (o *Owner) markReassigned(assigned map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	for name := range o.catalog.servers {
		_, held := o.registry.Held(name)
		if !held || assigned[name] {
			delete(o.reassignedSince, name)
		} else if _, ok := o.reassignedSince[name]; !ok {
			o.reassignedSince[name] = now
		}
	}
}

// handoverDue reports whether a server should be released now.
func (o *Owner) handoverDue(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, ok := o.reassignedSince[server]
	return ok && o.now()-since >= o.HandoverDelay
}

// acquireAssigned acquires the free servers that the node should own and does not
// hold. It reads their rows first.
func (o *Owner) acquireAssigned(ctx context.Context, assigned map[string]bool) {
	var missing, keys []string
	o.mu.Lock()
	now := o.now()
	if !o.registry.Alive() || (o.tableDown && now-o.searchedAt < outageSearchPeriod) {
		o.mu.Unlock()
		return
	}
	o.searchedAt = now
	for name := range assigned {
		if _, held := o.registry.Held(name); !held {
			missing = append(missing, name)
			keys = append(keys, o.registry.KeysToWatch(name)...)
		}
	}
	o.mu.Unlock()
	if len(missing) == 0 || !o.readBack(ctx, keys) {
		return
	}
	slices.Sort(missing)
	for _, name := range missing {
		o.acquire(ctx, name, 0)
	}
}

// acquire acquires a server if it is free, with an epoch higher than above.
func (o *Owner) acquire(ctx context.Context, name string, above uint64) {
	o.mu.Lock()
	tx, ok := o.registry.Acquire(o.now(), name, above)
	o.mu.Unlock()
	if ok {
		o.transact(ctx, tx)
	}
}

// logLeases logs and counts the leases that were acquired or lost.
func (o *Owner) logLeases() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range o.catalog.servers {
		epoch, held := o.registry.Held(name)
		previous := o.held[name]
		switch {
		case held && epoch != previous:
			o.held[name] = epoch
			o.Log.Info("lease acquired", zap.String("server", name), zap.Uint64("epoch", epoch))
			o.Metrics.countLeaseEvent("acquired")
		case !held && previous != 0:
			delete(o.held, name)
			r, _ := o.registry.Row(name)
			o.Log.Warn("lease lost", zap.String("server", name), zap.Uint64("epoch", previous),
				zap.String("holder", r.Node), zap.Uint64("holder-epoch", r.Epoch))
			o.Metrics.countLeaseEvent("lost")
		}
	}
}

// epochOf returns the epoch of a server, and whether this node holds its lease as
// far as it knows.
func (o *Owner) epochOf(server string) (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.registry.Held(server)
}

// mayOrder reports whether the lease of a server is valid now, and whether the
// table is unavailable, which may be the cause if it is not.
func (o *Owner) mayOrder(server string) (valid, outage bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, valid = o.registry.MaySend(o.now(), server)
	return valid, o.tableDown
}

// recordOrders writes unsettled orders to a server's row. It returns true only if
// the row is known to hold them.
func (o *Owner) recordOrders(ctx context.Context, server string, orders json.RawMessage) bool {
	for range 2 { // the first attempt may conflict with an earlier, delayed transaction of this node
		o.mu.Lock()
		r, _ := o.registry.Row(server)
		if _, held := o.registry.Held(server); held && bytes.Equal(r.Orders, orders) {
			o.mu.Unlock()
			return true
		}
		tx, ok := o.registry.RecordOrders(server, orders)
		o.mu.Unlock()
		if !ok {
			return false
		}
		o.transact(ctx, tx)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r, _ := o.registry.Row(server)
	_, held := o.registry.Held(server)
	return held && bytes.Equal(r.Orders, orders)
}

// leaseRow returns a server's row as last read.
func (o *Owner) leaseRow(server string) lease.Server {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, _ := o.registry.Row(server)
	return r
}

// keysToWatch returns the keys of the rows that determine who owns a server.
func (o *Owner) keysToWatch(server string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.registry.KeysToWatch(server)
}

// loadingCount returns how many items are being loaded on this node's servers.
func (o *Owner) loadingCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, v := range o.views {
		n += len(v.Loading)
	}
	return n
}

// markLost treats a server as lost because another node has a higher epoch.
func (o *Owner) markLost(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.registry.Forget(server)
}

// release releases the lease of a server.
func (o *Owner) release(ctx context.Context, server, reason string) {
	o.mu.Lock()
	tx, ok := o.registry.Release(server)
	o.mu.Unlock()
	if !ok {
		return
	}
	o.transact(ctx, tx)
	o.Log.Info("lease released", zap.String("server", server), zap.String("reason", reason))
	o.Metrics.countLeaseEvent("released")
}

// releaseAll ends the session, which releases all servers in one transaction.
func (o *Owner) releaseAll(ctx context.Context) {
	o.mu.Lock()
	tx, ok := o.registry.EndSession()
	o.mu.Unlock()
	if ok {
		o.transact(ctx, tx)
		o.Log.Info("session ended", zap.String("node", o.Node), zap.String("reason", "stop"))
		o.Metrics.countLeaseEvent("ended")
	}
}

package placer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"guavapaddle/core/leader"
	"guavapaddle/core/relay"
	"guavapaddle/core/revision"
	"guavapaddle/platform"
)

const (
	leaseTable = "lease"
	leaseKey   = "orders"
	// writeKeyPrefix begins the key of a row that is written with the lease's row and replaced by the
	// next write of it.
	writeKeyPrefix = "write/"

	// leaseInterval is the time between two checks of the lease; a renewal is due after each
	// third of the time to live.
	leaseInterval = 150 * time.Millisecond
	// searchInterval is how often a node that can't reach the leader reads the row.
	searchInterval = 700 * time.Millisecond
	// storeTimeout limits a call to the store.
	storeTimeout = 900 * time.Millisecond
	// maxIsolation is how long a leader keeps the lease after it has lost its path to the engines. Its orders would
	// fail while another node's reach them.
	maxIsolation = 500 * time.Millisecond
	// maxReleaseWrites is how often the lease row is written to release the lease: one more
	// than the number of renewals whose reply may have been lost.
	maxReleaseWrites = 2
	// maxLoadingRecorded is the number of engines whose loads in progress the row names, so that it stays within
	// the 64 KiB of a row however many engines there are. The next leader reads the report of an engine before
	// it orders anything there, so it learns of the others then.
	maxLoadingRecorded = 1000
	// maxOutage is how long the leader keeps sending orders during an outage of the store if
	// engines check epochs. This is safe because the first order of another leader fences
	// the orders of this one.
	maxOutage = 20 * time.Second
)

// runLease maintains the lease until ctx ends.
func (p *Placer) runLease(ctx context.Context) {
	t := time.NewTicker(leaseInterval)
	defer t.Stop()
	var searched time.Duration
	for {
		if p.observeIsolation() {
			p.release(ctx)
		}
		if now := p.Clock(); p.isLeader() || !p.leaderActive() && now-searched >= searchInterval {
			searched = now
			p.maintainLease(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// observeIsolation lets other nodes take the lease first while this one is isolated, and reports whether
// it is the leader and has been isolated for too long.
func (p *Placer) observeIsolation() bool {
	isolated := p.Isolated != nil && p.Isolated()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Elector.Deferred = isolated
	now := p.Clock()
	switch {
	case !isolated:
		p.isolatedAt = 0
		return false
	case p.isolatedAt == 0:
		p.isolatedAt = now
	}
	if !p.Elector.IsLeader() || now-p.isolatedAt < maxIsolation {
		return false
	}
	p.isolatedAt = now // the next try, if this one fails
	p.Log.Warn("lease-given-up", zap.Duration("isolated", maxIsolation))
	return true
}

// maintainLease reads the row unless this node is the leader, and writes it if a write is
// due.
func (p *Placer) maintainLease(ctx context.Context) {
	if !p.isLeader() {
		p.readRow(ctx)
	}
	sem := p.writeSemaphore()
	if sem.Acquire(ctx, 1) != nil {
		return // the node is shutting down
	}
	defer sem.Release(1)
	p.mu.Lock()
	now := p.Clock()
	previous, _ := p.Elector.Leader()
	l, expected, due := p.Elector.Propose(now)
	observed, _, _ := p.Elector.Row()
	wasLeader, restored := p.Elector.IsLeader(), p.Elector.IsRestored()
	if wasLeader {
		l = p.withHandover(l)
	} else {
		l = l.WithLoads(previous).WithRelays(previous) // until this node has ordered loads itself
	}
	l = p.withKnowledge(l)
	l.Write = p.nextWrite()
	due = (due || wasLeader && (p.relaysChanged || l.Software.HasMore(observed.Software))) && !p.released
	if due {
		p.relaysChanged = false
	}
	p.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, at, ok, err := p.writeRow(ctx, l, observed, expected)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		p.failedAt = p.Clock()
		p.Log.Warn("lease-write-failed", zap.Int64("epoch", l.Epoch), zap.Stringer("expected", expected), zap.Error(err))
	case ok:
		before := p.Elector.Revision()
		p.Elector.Acquired(now, l, at)
		p.logRestore(before)
		p.renewedAt, p.failedAt = now, 0
		if !wasLeader && p.Elector.IsLeader() {
			p.startTerm(l.Epoch, previous, restored)
		}
	default:
		p.logRefused(l, expected, rows)
		p.observe(rows, at.Era)
	}
}

// logRefused logs a write that the store refused because the row has another version.
func (p *Placer) logRefused(l leader.Lease, expected revision.Revision, rows []platform.Row) {
	current := platform.Row{}
	if len(rows) > 0 {
		current = rows[0]
	}
	p.Log.Warn("lease-write-refused", zap.Int64("epoch", l.Epoch), zap.Stringer("expected", expected), zap.Stringer("revision", current.Revision()))
}

// logRestore logs that the row was found restored from a copy since it had the given revision, and
// whether this node still holds the lease; p.mu is held.
func (p *Placer) logRestore(before revision.Revision) {
	l, at, _ := p.Elector.Row()
	if before.IsZero() || at.Era == before.Era {
		return
	}
	p.Log.Warn("lease-restored", zap.Stringer("held", before), zap.Stringer("revision", at), zap.String("holder", l.Node),
		zap.Int64("epoch", l.Epoch), zap.Bool("leading", p.Elector.IsLeader()))
}

// writeSemaphore returns the semaphore that serializes this node's writes of the row.
func (p *Placer) writeSemaphore() *semaphore.Weighted {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writeSem == nil {
		p.writeSem = semaphore.NewWeighted(1)
	}
	return p.writeSem
}

// writeRow writes the row on condition that it is still as observed at the given revision. It
// returns the new revision and true, or the row as it is in the store.
//
// A restored store assigns versions again, so the row may have the expected version and another
// content. Each write therefore also sets a row whose key no other write uses, and the next write
// expects that row at the same version.
func (p *Placer) writeRow(ctx context.Context, l, observed leader.Lease, expected revision.Revision) ([]platform.Row, revision.Revision, bool, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return nil, revision.Revision{}, false, err
	}
	row := platform.Row{Table: leaseTable, Key: leaseKey, Version: expected.Number, Value: value}
	c := platform.Change{Expect: []platform.Row{row}, Set: []platform.Row{row, writeRowOf(l, 0)}}
	if expected.Number != 0 && observed.Write != "" {
		previous := writeRowOf(observed, expected.Number)
		c.Expect = append(c.Expect, previous)
		c.Remove = append(c.Remove, previous)
	}
	rows, at, ok, err := p.Store.Change(ctx, c)
	rows = slices.DeleteFunc(rows, func(r platform.Row) bool { return r.Key != leaseKey })
	return rows, at, ok, err
}

// nextWrite returns an identifier that no other write of the row has; p.mu is held.
func (p *Placer) nextWrite() string {
	p.writes++
	return fmt.Sprintf("%s-%d", p.Elector.Self.Incarnation, p.writes)
}

// writeRowOf returns the row that was written with the lease's row, at a version.
func writeRowOf(l leader.Lease, version int64) platform.Row {
	return platform.Row{Table: leaseTable, Key: writeKeyPrefix + l.Write, Version: version, Value: []byte(leaseKey)}
}

// ObserveLease updates the row from another node's copy and reports whether that copy was newer.
func (p *Placer) ObserveLease(r platform.Row) bool {
	if r.Version == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.Elector.Revision()
	p.observe([]platform.Row{r}, r.Era)
	return before.Before(p.Elector.Revision())
}

// LeaseRow returns the row as last observed, with version zero if it has never been observed, or if it
// names an earlier leader than this node because the store was restored.
func (p *Placer) LeaseRow() platform.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, at, ok := p.Elector.Row()
	value, err := json.Marshal(l)
	if !ok || err != nil || p.Elector.IsLeader() && l.Incarnation != p.Elector.Self.Incarnation {
		return platform.Row{}
	}
	return platform.Row{Table: leaseTable, Key: leaseKey, Version: at.Number, Era: at.Era, Value: value}
}

// LeaseObserved reports whether it is known whether the row exists.
func (p *Placer) LeaseObserved() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Elector.Observed()
}

// LeaseRevision returns the revision of the row as last observed, zero if it has never been observed.
func (p *Placer) LeaseRevision() revision.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Elector.Revision()
}

// readRow reads the row from the store.
func (p *Placer) readRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r, err := p.Store.ReadOne(ctx, leaseTable, leaseKey)
	if err != nil {
		p.Log.Warn("lease-read-failed", zap.Error(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe([]platform.Row{r}, r.Era)
}

// observe updates the lease from the row as it is in the store in an era, where no row means that it
// doesn't exist; p.mu is held.
func (p *Placer) observe(rows []platform.Row, era int64) {
	before := p.Elector.Revision()
	defer p.logRestore(before)
	wasLeader := p.Elector.IsLeader()
	if len(rows) == 0 {
		p.Elector.Observe(p.Clock(), leader.Lease{}, revision.Revision{Era: era})
	}
	for _, r := range rows {
		var l leader.Lease
		if r.Version != 0 {
			if err := json.Unmarshal(r.Value, &l); err != nil {
				p.Log.Error("lease-unreadable", zap.Stringer("revision", r.Revision()), zap.Error(err))
			}
		}
		p.Elector.Observe(p.Clock(), l, r.Revision())
	}
	if l, at, ok := p.Elector.Row(); ok && at != before && l.Incarnation != p.Elector.Self.Incarnation {
		p.inherit(l)
	}
	l, _ := p.Elector.Leader()
	switch isLeader := p.Elector.IsLeader(); {
	case wasLeader && !isLeader:
		p.Log.Warn("lease-lost", zap.String("holder", l.Node), zap.Int64("epoch", l.Epoch))
	case isLeader && !wasLeader: // the reply to the write was lost
		p.startTerm(l.Epoch, leader.Lease{Node: l.Node}.WithLoads(l).WithRelays(l), false)
	}
}

// startTerm starts a term as leader. Nothing is known about orders in progress except the
// loads that the previous leader recorded in the lease: before these were handed over, a new
// leader ordered second copies of models that were still loading, for 8 s. If that lease was restored from
// a copy of the store, a later leader may have started loads that it doesn't show. p.mu is held.
func (p *Placer) startTerm(epoch int64, previous leader.Lease, restored bool) {
	p.Log.Info("lease-won", zap.Int64("epoch", epoch), zap.String("before", previous.Node), zap.Int("loads", previous.RecentLoads),
		zap.Int("late", len(previous.UnackedOrders)), zap.Int("coming", len(previous.Loading)))
	p.engines = map[string]*engine{}
	for id, model := range previous.Loading {
		e := p.engine(id)
		e.loading, e.changedAt, e.inherited = model, time.Now(), true
	}
	p.relays = leader.Lease{}.WithRelays(previous)
	p.priorLoad = nil
	p.termStart = time.Now()
	p.loads, p.loadOrdered = p.newBudget(), false
	p.loads.Inherit(p.termStart, previous.RecentLoads, previous.UnackedOrders)
	p.assumeLoads = previous.Node != "" || restored
	p.OnElected()
}

// SetRelays sets the relays that the lease names, and has the lease written.
func (p *Placer) SetRelays(list []relay.Relay) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relays.Relays, p.relays.Assigned = list, true
	p.relaysChanged = true
}

// Relays returns the relays of this node's term as leader, and whether they have been assigned.
func (p *Placer) Relays() ([]relay.Relay, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relays.Relays, p.relays.Assigned
}

// withKnowledge returns a lease with what has to outlast a change of the leader and a restart of all nodes: the versions of the
// servers' software that have served lately, the blocks of requests that crash servers, and the crashes that may lead to others.
func (p *Placer) withKnowledge(l leader.Lease) leader.Lease {
	if p.Software != nil {
		l.Software = p.Software()
	}
	if p.Blocks != nil {
		l.Blocks, l.Crashes = p.Blocks()
	}
	return l
}

// inherit takes over what another node's lease passes on.
func (p *Placer) inherit(l leader.Lease) {
	if p.OnSoftware != nil {
		p.OnSoftware(l.Software)
	}
	if p.OnBlocks != nil {
		p.OnBlocks(l.Blocks, l.Crashes)
	}
}

// withHandover returns a lease with the relays, and the loads that the next leader has to know
// about; p.mu is held.
func (p *Placer) withHandover(l leader.Lease) leader.Lease {
	l = l.WithRelays(p.relays)
	l.RecentLoads, l.UnackedOrders = p.loads.Handover(time.Now())
	l.Loading = p.loadingModels()
	return l
}

// loadingModels returns the models that are being loaded, by engine; p.mu is held.
func (p *Placer) loadingModels() map[string]string {
	out := map[string]string{}
	for id, e := range p.engines {
		if e.loading != "" && len(out) < maxLoadingRecorded {
			out[id] = e.loading
		}
	}
	return out
}

// epoch returns the current epoch and whether this node may act as leader under it.
func (p *Placer) epoch() (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock()
	e, ok := p.Elector.Epoch(now)
	if !ok && e != 0 && p.Fencing && p.failedAt > p.renewedAt && now-p.renewedAt < maxOutage && now-p.failedAt < 2*storeTimeout {
		ok = true
	}
	return e, ok
}

// orderEpoch returns the current epoch and whether orders may be sent under it. A leader
// that has released the lease sends no more orders, since the loads that it handed over must
// be complete.
func (p *Placer) orderEpoch() (int64, bool) {
	p.mu.Lock()
	released := p.released
	p.mu.Unlock()
	if released {
		return 0, false
	}
	return p.epoch()
}

// IsLeading reports whether this node acts as leader: its lease is valid, or no other node can
// acquire it because the store is unavailable.
func (p *Placer) IsLeading() bool {
	_, ok := p.epoch()
	return ok
}

// isLeader reports whether this node holds the lease by the row as last observed.
func (p *Placer) isLeader() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Elector.IsLeader()
}

// Leader returns the lease, with the leader's address and key, as last observed.
func (p *Placer) Leader() (leader.Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Elector.Leader()
}

// Release releases the lease so that another node can acquire it at once, and ends this
// node's term. A node that stayed leader until its lease expired kept all others from
// looking for the next leader for 3 s, and both sent orders.
//
// Release waits for a renewal in progress. If the reply to that renewal was lost, the first
// write fails with the row from the store, and the second write uses its version. Without
// the second write the other nodes had to wait for the lease to expire.
func (p *Placer) Release(ctx context.Context) {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.release(ctx)
}

// release releases the lease. Unless Release was called, this node may take it again later.
func (p *Placer) release(ctx context.Context) {
	p.mu.Lock()
	p.released = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.released = p.stopped
	}()
	sem := p.writeSemaphore()
	if err := sem.Acquire(ctx, 1); err != nil {
		p.Log.Warn("lease-not-released", zap.Error(err))
		return
	}
	defer sem.Release(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for range maxReleaseWrites {
		if p.releaseRow(ctx) {
			return
		}
	}
}

// releaseRow writes the row without a leader and reports whether the release is complete.
func (p *Placer) releaseRow(ctx context.Context) bool {
	p.mu.Lock()
	observed, _, _ := p.Elector.Row()
	expected, epoch, isLeader := p.Elector.Release()
	l := p.withKnowledge(p.withHandover(leader.Lease{Epoch: epoch, Cores: p.Elector.Self.Cores, Write: p.nextWrite()}))
	p.mu.Unlock()
	if !isLeader {
		return true
	}
	rows, at, ok, err := p.writeRow(ctx, l, observed, expected)
	p.Log.Info("lease-released", zap.Int64("epoch", epoch), zap.Bool("written", ok), zap.Error(err))
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		return false
	case ok:
		p.Elector.Observe(p.Clock(), l, at)
		return true
	default:
		p.observe(rows, at.Era)
		return false
	}
}

package placer

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"guavapaddle/core/leader"
	"guavapaddle/platform"
)

const (
	leaseTable = "lease"
	leaseKey   = "orders"

	// leaseTick is how often the lease is looked after; a renewal is due each
	// third of the time to live.
	leaseTick = 150 * time.Millisecond
	// searchEvery is how often a node that can't reach the holder reads the row.
	searchEvery = 700 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 900 * time.Millisecond
	// releaseTries is how often the lease's row is written to give the lease up: once
	// more than there can be a renewal whose answer was lost.
	releaseTries = 2
	// outageMost is how long orders go on when the store can't be reached and
	// engines check epochs: a rival's first order fences ours.
	outageMost = 20 * time.Second
)

// keepLease looks after the lease until ctx ends.
func (p *Placer) keepLease(ctx context.Context) {
	t := time.NewTicker(leaseTick)
	defer t.Stop()
	var searched time.Duration
	for {
		if now := p.Clock(); p.mine() || !p.reachable() && now-searched >= searchEvery {
			searched = now
			p.tend(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// tend reads the row unless it is our own, and writes it if that is due.
func (p *Placer) tend(ctx context.Context) {
	if !p.mine() {
		p.read(ctx)
	}
	writing := p.writer()
	if writing.Acquire(ctx, 1) != nil {
		return // this node ends
	}
	defer writing.Release(1)
	p.mu.Lock()
	now := p.Clock()
	before, _ := p.Keeper.Leader()
	l, version, due := p.Keeper.Propose(now)
	was := p.Keeper.IsLeader()
	if was {
		l = p.telling(l)
	} else {
		l = l.WithLoads(before) // until this node has begun others
	}
	due = due && !p.released
	p.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, got, ok, err := p.write(ctx, l, version)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		p.failedAt = p.Clock()
		p.Log.Warn("lease-write-failed", zap.Int64("epoch", l.Epoch), zap.Int64("version", version), zap.Error(err))
	case ok:
		p.Keeper.Acquired(now, l, got)
		p.wonAt, p.failedAt = now, 0
		if !was {
			p.begin(l.Epoch, before)
		}
	default:
		p.observe(rows)
	}
}

// writer returns what a node holds while it writes the row: one write at a time.
func (p *Placer) writer() *semaphore.Weighted {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writing == nil {
		p.writing = semaphore.NewWeighted(1)
	}
	return p.writing
}

// write writes the row under the condition that it has a version. It returns the
// row as the store has it, or the new version and true.
func (p *Placer) write(ctx context.Context, l leader.Lease, version int64) ([]platform.Row, int64, bool, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return nil, 0, false, err
	}
	row := platform.Row{Table: leaseTable, Key: leaseKey, Version: version, Value: value}
	return p.Store.Change(ctx, platform.Change{Expect: []platform.Row{row}, Set: []platform.Row{row}})
}

// Learn takes in the row as another node has it, and tells whether it was newer than
// the one here.
func (p *Placer) Learn(r platform.Row) bool {
	if r.Version == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.Keeper.Version()
	p.observe([]platform.Row{r})
	return p.Keeper.Version() > before
}

// LeaseRow returns the row as last seen, with version zero if it wasn't.
func (p *Placer) LeaseRow() platform.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.Keeper.Leader()
	value, err := json.Marshal(l)
	if !ok || err != nil {
		return platform.Row{}
	}
	return platform.Row{Table: leaseTable, Key: leaseKey, Version: p.Keeper.Version(), Value: value}
}

// LeaseVersion returns the version of the row as last seen, zero if it wasn't.
func (p *Placer) LeaseVersion() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Keeper.Version()
}

// read reads the row.
func (p *Placer) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := p.Store.ReadOne(ctx, leaseTable, leaseKey)
	if err != nil {
		p.Log.Warn("lease-read-failed", zap.Error(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe([]platform.Row{r})
}

// observe takes in the row as the store has it; p.mu is held.
func (p *Placer) observe(rows []platform.Row) {
	was := p.Keeper.IsLeader()
	if len(rows) == 0 {
		p.Keeper.Observe(p.Clock(), leader.Lease{}, 0)
	}
	for _, r := range rows {
		var l leader.Lease
		if r.Version != 0 {
			if err := json.Unmarshal(r.Value, &l); err != nil {
				p.Log.Error("lease-unreadable", zap.Int64("version", r.Version), zap.Error(err))
			}
		}
		p.Keeper.Observe(p.Clock(), l, r.Version)
	}
	l, _ := p.Keeper.Leader()
	switch mine := p.Keeper.IsLeader(); {
	case was && !mine:
		p.Log.Warn("lease-lost", zap.String("holder", l.Node), zap.Int64("epoch", l.Epoch))
	case mine && !was: // the answer to the write was lost
		p.begin(l.Epoch, leader.Lease{Node: l.Node}.WithLoads(l))
	}
}

// begin starts a time as holder. Of the engines' orders nothing is known but the
// loads that the holder before told of: without them a new holder ordered second
// copies of what was on its way for 8 s; p.mu is held.
func (p *Placer) begin(epoch int64, before leader.Lease) {
	p.Log.Info("lease-won", zap.Int64("epoch", epoch), zap.String("before", before.Node), zap.Int("loads", before.RecentLoads),
		zap.Int("late", len(before.UnackedOrders)), zap.Int("coming", len(before.Loading)))
	p.engines = map[string]*engine{}
	for id, model := range before.Loading {
		e := p.engine(id)
		e.coming, e.since, e.inherited = model, time.Now(), true
	}
	p.prior = nil
	p.tookOver = time.Now()
	p.loads, p.loaded = p.noLoads(), false
	p.loads.Inherit(p.tookOver, before.RecentLoads, before.UnackedOrders)
	p.silent = before.Node != ""
	p.Began()
}

// telling returns a lease with the loads that the next holder has to know of; p.mu is
// held.
func (p *Placer) telling(l leader.Lease) leader.Lease {
	l.RecentLoads, l.UnackedOrders = p.loads.Handover(time.Now())
	l.Loading = p.coming()
	return l
}

// coming returns the models whose loads are under way, by engine; p.mu is held.
func (p *Placer) coming() map[string]string {
	out := map[string]string{}
	for id, e := range p.engines {
		if e.coming != "" {
			out[id] = e.coming
		}
	}
	return out
}

// epoch returns the epoch under which orders may be given now.
func (p *Placer) epoch() (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock()
	e, ok := p.Keeper.Epoch(now)
	if !ok && e != 0 && p.Fencing && p.failedAt > p.wonAt && now-p.wonAt < outageMost && now-p.failedAt < 2*callTimeout {
		ok = true
	}
	return e, ok
}

// orders returns the epoch under which orders may be given now. A holder that gives
// the lease up gives none any more, since what it tells the next one has to be all.
func (p *Placer) orders() (int64, bool) {
	p.mu.Lock()
	released := p.released
	p.mu.Unlock()
	if released {
		return 0, false
	}
	return p.epoch()
}

// Holding tells whether this node may decide for all: its lease is valid, or
// nobody can take it because the store is away.
func (p *Placer) Holding() bool {
	_, ok := p.epoch()
	return ok
}

func (p *Placer) mine() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Keeper.IsLeader()
}

// Leader returns the holder's address and key as last known.
func (p *Placer) Leader() (leader.Lease, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Keeper.Leader()
}

// Release gives the lease up, so that another node takes it at once, and stops
// holding it: a node that went on until its lease would have ended kept all others from
// looking for the next holder for 3 s, and both gave orders. A renewal
// that is under way is waited for; if its answer was lost, the row that the store
// returns tells its version, and the second write follows it. Without that a node
// that stopped as it renewed kept the others waiting for the lease's whole time.
func (p *Placer) Release(ctx context.Context) {
	p.mu.Lock()
	p.released = true
	p.mu.Unlock()
	writing := p.writer()
	if err := writing.Acquire(ctx, 1); err != nil {
		p.Log.Warn("lease-not-released", zap.Error(err))
		return
	}
	defer writing.Release(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range releaseTries {
		if p.release(ctx) {
			return
		}
	}
}

// release writes the row without a holder, and tells whether there is no more to
// do.
func (p *Placer) release(ctx context.Context) bool {
	p.mu.Lock()
	version, epoch, mine := p.Keeper.Release()
	l := p.telling(leader.Lease{Epoch: epoch, Cores: p.Keeper.Self.Cores})
	p.mu.Unlock()
	if !mine {
		return true
	}
	rows, got, ok, err := p.write(ctx, l, version)
	p.Log.Info("lease-released", zap.Int64("epoch", epoch), zap.Bool("written", ok), zap.Error(err))
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		return false
	case ok:
		p.Keeper.Observe(p.Clock(), l, got)
		return true
	default:
		p.observe(rows)
		return false
	}
}

package claims

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/claim"
	"guavapaddle/core/outcome"
	"guavapaddle/core/row"
)

const (
	committed = "committed"
	conflict  = "conflict"
	refused   = "refused"
	unsure    = "unsure"
)

type (
	// op is one change on its way to the table.
	op struct {
		change    claim.Change
		durable   bool         // goes again until its fate is known
		settle    bool         // settles an insert that was given up
		unsure    bool         // a transaction with it had no answer
		abandoned bool         // its caller waits no longer
		over      bool         // it has ended
		tries     int          // failures
		done      chan ended   // of capacity one, nil if nobody waits
		insert    claim.Change // that settle settles
	}

	// ended is how an op ended.
	ended struct {
		fate claim.WriteOutcome
		row  row.Row // with the revision if it took, the one in the way if it lost
		err  error   // *outcome.Error, for an insert that could not be written
	}
)

// Run commits what is claimed, settles and sweeps, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	s.once.Do(s.init)
	go s.sweepLoop(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for batch := s.next(ctx); len(batch) > 0; batch = s.next(ctx) {
			select {
			case <-ctx.Done():
				return
			case s.slots <- struct{}{}:
			}
			go func() {
				s.commit(ctx, batch)
				<-s.slots
			}()
			if !sleep(ctx, s.Spacing) {
				return
			}
		}
	}
}

// await waits until o has ended, at most for d.
func (o *op) await(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-o.done:
	case <-t.C:
	}
}

// begin notes that one more change must take effect.
func (s *Store) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending++
	s.Metrics.setPending(s.pending)
}

// end notes that a change that must take effect did.
func (s *Store) end() {
	s.pending--
	s.Metrics.setPending(s.pending)
	if s.pending == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// submit queues ops.
func (s *Store) submit(ops ...*op) {
	s.mu.Lock()
	s.queue = append(s.queue, ops...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// next takes the next batch from the queue: no key twice, within the bounds.
func (s *Store) next(ctx context.Context) []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch, rest []*op
	keys := map[string]bool{}
	bytes := 0
	for _, o := range s.queue {
		if o.over || s.dropAbandoned(ctx, o) {
			continue
		}
		size := o.size()
		full := len(batch) >= s.MaxBatch || (len(batch) > 0 && bytes+size > s.MaxBatchBytes)
		if full || keys[o.change.Key] {
			rest = append(rest, o)
			continue
		}
		keys[o.change.Key] = true
		bytes += size
		batch = append(batch, o)
	}
	s.queue = rest
	return batch
}

// dropAbandoned ends o if its caller waits no longer, and tells whether it did.
// The lock is held.
func (s *Store) dropAbandoned(ctx context.Context, o *op) bool {
	if !o.abandoned {
		return false
	}
	o.over = true
	if o.unsure {
		s.pending++
		go s.settle(ctx, o.change, 0)
	}
	return true
}

// size returns the bytes that the answer in o has, about.
func (o *op) size() int {
	if o.change.Claim.Answer == nil {
		return 0
	}
	return len(o.change.Claim.Answer.Body)
}

// commit commits a batch and ends, settles or queues again each of its ops.
func (s *Store) commit(ctx context.Context, batch []*op) {
	var tx row.Tx
	changes := make([]claim.Change, len(batch))
	for i, o := range batch {
		changes[i] = o.change
		tx = o.change.AddTo(tx)
	}
	tx = claim.AddBatch(tx, claim.Minute(time.Now()), s.Node+"-"+rand.Text(), changes)
	call, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	res, err := s.Table.Transact(call, tx)
	switch {
	case err == nil && res.Committed:
		s.Metrics.transaction(committed)
		for _, o := range batch {
			s.finish(ctx, o, ended{fate: claim.Committed, row: row.Row{Key: o.change.Key, Revision: res.Revision}})
		}
	case err == nil && s.sortConflicts(ctx, batch, res.Conflicts):
		s.Metrics.transaction(conflict)
	case err != nil && notDone(err):
		s.Metrics.transaction(refused)
		s.failed(ctx, batch, err)
	default:
		s.Metrics.transaction(unsure)
		s.readBack(ctx, batch, err)
	}
}

// sortConflicts ends the ops whose rows are in conflict and queues the others
// again. It returns false if no row concerns an op.
func (s *Store) sortConflicts(ctx context.Context, batch []*op, conflicts []row.Row) bool {
	rows := map[string]row.Row{}
	for _, r := range conflicts {
		rows[r.Key] = r
	}
	hit := slices.ContainsFunc(batch, func(o *op) bool { _, found := rows[o.change.Key]; return found })
	if !hit {
		return false
	}
	for _, o := range batch {
		if r, found := rows[o.change.Key]; found {
			s.judge(ctx, o, r)
		} else {
			s.submit(o)
		}
	}
	return true
}

// readBack learns the fate of a batch whose answer was lost.
func (s *Store) readBack(ctx context.Context, batch []*op, cause error) {
	keys := make([]string, len(batch))
	s.mu.Lock()
	for i, o := range batch {
		o.unsure = true
		keys[i] = o.change.Key
	}
	s.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	rows, err := s.Table.Read(call, keys...)
	if err != nil || len(rows) != len(keys) {
		s.failed(ctx, batch, cause)
		return
	}
	for i, o := range batch {
		s.judge(ctx, o, rows[i])
	}
}

// judge ends o by the row as it is now, or queues it again if its fate is open:
// to write it once more is safe, since only one of the copies can take effect.
func (s *Store) judge(ctx context.Context, o *op, r row.Row) {
	fate, err := o.change.Outcome(r)
	switch {
	case err != nil:
		s.Log.Error("claim row not understood", zap.Error(err))
		s.finish(ctx, o, ended{err: outcome.Refuse(outcome.Internal, err.Error(), 0)})
	case fate == claim.Pending:
		s.submit(o)
	default:
		s.finish(ctx, o, ended{fate: fate, row: r})
	}
}

// failed handles a batch that the table did not take: claims are refused as not
// run, everything else goes again later.
func (s *Store) failed(ctx context.Context, batch []*op, cause error) {
	s.Log.Warn("claims not written", zap.Int("claims", len(batch)), zap.Error(cause))
	s.markDown(ctx)
	for _, o := range batch {
		if !o.durable {
			s.finish(ctx, o, s.tableDown("failed"))
			continue
		}
		o.tries++
		time.AfterFunc(s.backoff(o.tries), func() {
			if ctx.Err() == nil {
				s.submit(o)
			}
		})
	}
}

// markDown makes claims be refused at once until the table answers a read.
func (s *Store) markDown(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	go s.probe(ctx)
}

// probe reads a row now and then until the table answers.
func (s *Store) probe(ctx context.Context) {
	for sleep(ctx, s.Pause) {
		call, cancel := context.WithTimeout(ctx, s.Timeout)
		_, err := s.Table.Read(call, claim.CursorKey)
		cancel()
		if err == nil {
			s.mu.Lock()
			s.down = false
			s.mu.Unlock()
			return
		}
	}
}

// abandon notes that o's caller waits no longer. It returns false if o has
// ended already.
func (s *Store) abandon(o *op) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.over {
		return false
	}
	o.abandoned = true
	return true
}

// finish ends o. An insert that may stand although its caller was told that the
// call did not run is settled.
func (s *Store) finish(ctx context.Context, o *op, e ended) {
	s.mu.Lock()
	if o.over {
		s.mu.Unlock()
		return
	}
	o.over = true
	gone := !o.durable && ((o.abandoned && e.fate == claim.Committed) || (e.err != nil && o.unsure))
	if o.durable && !o.settle {
		s.end()
	}
	s.mu.Unlock()
	if e.err == nil {
		s.Metrics.change(string(e.fate))
	}
	if o.settle {
		s.settled(ctx, o, e)
		return
	}
	if gone {
		s.begin()
		go s.settle(ctx, o.change, 0)
	}
	if o.done != nil {
		o.done <- e
	}
}

// sleep waits for d and returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

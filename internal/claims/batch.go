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
	// op is a change that is queued or being written.
	op struct {
		change      claim.Change
		durable     bool          // written again until its outcome is known
		settle      bool          // settles an abandoned insert
		unconfirmed bool          // the reply to a transaction with it was lost
		abandoned   bool          // its caller no longer waits
		ended       bool          // it has ended
		tries       int           // failed transactions
		done        chan opResult // of capacity one, nil if nobody waits
		insert      claim.Change  // the abandoned insert, if settle is set
	}

	// opResult is the result of an op.
	opResult struct {
		writeOutcome claim.WriteOutcome
		row          row.Row // with the revision if it committed, the conflicting row if it lost
		err          error   // *outcome.Error, for an insert that could not be written
	}
)

// Run writes the submitted changes and sweeps old claims until ctx ends.
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

// await waits until o has ended, for at most d.
func (o *op) await(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-o.done:
	case <-t.C:
	}
}

// addPending counts a change that must take effect.
func (s *Store) addPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending++
	s.Metrics.setPending(s.pending)
}

// pendingDone records that a change counted by addPending has taken effect. The lock is held.
func (s *Store) pendingDone() {
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

// next removes the next batch from the queue. It contains each key at most once and is
// within MaxBatch and MaxBatchBytes.
func (s *Store) next(ctx context.Context) []*op {
	s.mu.Lock()
	defer s.mu.Unlock()
	var batch, rest []*op
	keys := map[string]bool{}
	bytes := 0
	for _, o := range s.queue {
		if o.ended || s.dropAbandoned(ctx, o) {
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

// dropAbandoned ends o if its caller no longer waits, and reports whether it did.
// The lock is held.
func (s *Store) dropAbandoned(ctx context.Context, o *op) bool {
	if !o.abandoned {
		return false
	}
	o.ended = true
	if o.unconfirmed {
		s.pending++
		go s.settle(ctx, o.change, 0)
	}
	return true
}

// size returns the approximate size of the answer in o, in bytes.
func (o *op) size() int {
	if o.change.Claim.Answer == nil {
		return 0
	}
	return len(o.change.Claim.Answer.Body)
}

// commit writes a batch and ends, settles or requeues each of its ops.
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
			s.finish(ctx, o, opResult{writeOutcome: claim.Committed, row: row.Row{Key: o.change.Key, Revision: res.Revision}})
		}
	case err == nil && s.resolveConflicts(ctx, batch, res.Conflicts):
		s.Metrics.transaction(conflict)
	case err != nil && notCommitted(err):
		s.Metrics.transaction(refused)
		s.handleFailure(ctx, batch, err)
	default:
		s.Metrics.transaction(unsure)
		s.readBack(ctx, batch, err)
	}
}

// resolveConflicts handles the ops whose rows conflict and requeues the others. It
// returns false if no row belongs to an op.
func (s *Store) resolveConflicts(ctx context.Context, batch []*op, conflicts []row.Row) bool {
	rows := map[string]row.Row{}
	for _, r := range conflicts {
		rows[r.Key] = r
	}
	concernsBatch := slices.ContainsFunc(batch, func(o *op) bool { _, found := rows[o.change.Key]; return found })
	if !concernsBatch {
		return false
	}
	for _, o := range batch {
		if r, found := rows[o.change.Key]; found {
			s.resolve(ctx, o, r)
		} else {
			s.submit(o)
		}
	}
	return true
}

// readBack reads the outcome of a batch whose reply was lost.
func (s *Store) readBack(ctx context.Context, batch []*op, cause error) {
	keys := make([]string, len(batch))
	s.mu.Lock()
	for i, o := range batch {
		o.unconfirmed = true
		keys[i] = o.change.Key
	}
	s.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	rows, err := s.Table.Read(call, keys...)
	if err != nil || len(rows) != len(keys) {
		s.handleFailure(ctx, batch, cause)
		return
	}
	for i, o := range batch {
		s.resolve(ctx, o, rows[i])
	}
}

// resolve ends o by the current content of its row, or requeues it if its outcome is
// pending: writing it again is safe, since only one of the copies can take effect.
func (s *Store) resolve(ctx context.Context, o *op, r row.Row) {
	writeOutcome, err := o.change.Outcome(r)
	switch {
	case err != nil:
		s.Log.Error("claim row can't be parsed", zap.Error(err))
		s.finish(ctx, o, opResult{err: outcome.Refuse(outcome.Internal, err.Error(), 0)})
	case writeOutcome == claim.Pending:
		s.submit(o)
	default:
		s.finish(ctx, o, opResult{writeOutcome: writeOutcome, row: r})
	}
}

// handleFailure handles a batch that was not written, or whose outcome is unknown: claims are
// refused as not run, all other changes are written again after a backoff.
func (s *Store) handleFailure(ctx context.Context, batch []*op, cause error) {
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

// markDown makes the store refuse claims at once until the table answers a read.
func (s *Store) markDown(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	go s.probe(ctx)
}

// probe reads a row periodically until the table answers.
func (s *Store) probe(ctx context.Context) {
	for sleep(ctx, s.ProbeInterval) {
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

// abandon records that o's caller no longer waits. It returns false if o has already
// ended.
func (s *Store) abandon(o *op) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.ended {
		return false
	}
	o.abandoned = true
	return true
}

// finish ends o. It settles an insert that may have committed although its caller was
// refused as not run.
func (s *Store) finish(ctx context.Context, o *op, e opResult) {
	s.mu.Lock()
	if o.ended {
		s.mu.Unlock()
		return
	}
	o.ended = true
	unsettled := !o.durable && ((o.abandoned && e.writeOutcome == claim.Committed) || (e.err != nil && o.unconfirmed))
	if o.durable && !o.settle {
		s.pendingDone()
	}
	s.mu.Unlock()
	if e.err == nil {
		s.Metrics.change(string(e.writeOutcome))
	}
	if o.settle {
		s.settlementEnded(ctx, o, e)
		return
	}
	if unsettled {
		s.addPending()
		go s.settle(ctx, o.change, 0)
	}
	if o.done != nil {
		o.done <- e
	}
}

// sleep waits for d. It returns false if ctx ended first.
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

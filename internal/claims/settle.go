package claims

import (
	"context"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/claim"
	"guavapaddle/core/row"
)

// settle ensures that an abandoned insert neither holds its row nor takes effect
// later. It retries until the table has confirmed that, or ctx ends.
func (s *Store) settle(ctx context.Context, insert claim.Change, tries int) {
	r, err := s.readOne(ctx, insert.Key)
	for ; err != nil; tries++ {
		if !sleep(ctx, s.backoff(tries)) {
			return
		}
		r, err = s.readOne(ctx, insert.Key)
	}
	change, needed, err := claim.Settle(insert, r, time.Now().UnixMilli())
	if err != nil || !needed {
		if err != nil {
			s.Log.Error("claim row can't be parsed", zap.Error(err))
		}
		s.countSettled()
		return
	}
	s.submit(&op{change: change, durable: true, settle: true, insert: insert})
}

// readOne reads one row within Timeout.
func (s *Store) readOne(ctx context.Context, key string) (row.Row, error) {
	call, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	rows, err := s.Table.Read(call, key)
	if err != nil {
		return row.Row{}, err
	}
	return rows[0], nil
}

// settlementEnded ends a settlement, or restarts it if another write came first.
func (s *Store) settlementEnded(ctx context.Context, o *op, e opResult) {
	if e.err == nil && e.writeOutcome == claim.Committed {
		s.countSettled()
		return
	}
	go s.settle(ctx, o.insert, o.tries)
}

// countSettled counts the end of a settlement.
func (s *Store) countSettled() {
	s.Metrics.change("settled")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingDone()
}

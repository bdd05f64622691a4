package claims

import (
	"context"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/claim"
	"guavapaddle/core/row"
)

// settle makes sure that an insert that was given up neither holds its row nor
// takes effect later. It goes on until the table has said so, or ctx ends.
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
			s.Log.Error("claim row not understood", zap.Error(err))
		}
		s.settleDone()
		return
	}
	s.submit(&op{change: change, durable: true, settle: true, insert: insert})
}

// readOne reads one row within the time-out.
func (s *Store) readOne(ctx context.Context, key string) (row.Row, error) {
	call, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	rows, err := s.Table.Read(call, key)
	if err != nil {
		return row.Row{}, err
	}
	return rows[0], nil
}

// settled ends a settlement, or starts it over if another write came first.
func (s *Store) settled(ctx context.Context, o *op, e ended) {
	if e.err == nil && e.fate == claim.Committed {
		s.settleDone()
		return
	}
	go s.settle(ctx, o.insert, o.tries)
}

// settleDone notes the end of a settlement.
func (s *Store) settleDone() {
	s.Metrics.change("settled")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
}

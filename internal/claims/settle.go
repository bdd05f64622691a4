package claims

import (
	"context"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/claim"
)

// settle makes sure that an insert that was given up neither holds its row nor
// takes effect later. It goes on until the table has said so.
func (s *Store) settle(insert claim.Change, tries int) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	rows, err := s.Table.Read(ctx, insert.Key)
	cancel()
	if err != nil || len(rows) != 1 {
		time.AfterFunc(s.backoff(tries), func() { s.settle(insert, tries+1) })
		return
	}
	change, needed, err := claim.Settle(insert, rows[0], time.Now().UnixMilli())
	if err != nil || !needed {
		if err != nil {
			s.Log.Error("claim row not understood", zap.Error(err))
		}
		s.settleDone()
		return
	}
	s.submit(&op{change: change, durable: true, settle: true, insert: insert})
}

// settled ends a settlement, or starts it over if another write came first.
func (s *Store) settled(o *op, e ended) {
	if e.err == nil && e.fate == claim.Took {
		s.settleDone()
		return
	}
	go s.settle(o.insert, o.tries)
}

// settleDone notes the end of a settlement.
func (s *Store) settleDone() {
	s.Metrics.change("settled")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
}

package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/claim"
)

const (
	// sweepMinutes is the maximum number of minutes of claims swept per period.
	sweepMinutes = 10
	// sweepTimeout bounds the sweep of one minute, which reads many rows.
	sweepTimeout = 5 * time.Second
)

// sweepLoop removes old claims periodically. All nodes do so; the random part of
// the period and the cursor row avoid duplicate work, which would be harmless.
func (s *Store) sweepLoop(ctx context.Context) {
	for sleep(ctx, s.SweepPeriod/2+rand.N(s.SweepPeriod)) {
		for range sweepMinutes {
			more, err := s.sweep(ctx)
			if err != nil {
				s.Log.Warn("old claims not removed", zap.Error(err))
			}
			if !more || err != nil {
				break
			}
		}
	}
}

// sweep removes the claims of the oldest minute that is due, and reports whether
// there was one.
func (s *Store) sweep(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	cursor, err := s.Table.Read(ctx, claim.CursorKey)
	if err != nil {
		return false, err
	}
	now := time.Now()
	minute, due, err := claim.NextMinute(cursor[0], now, s.Retention)
	if err != nil || !due {
		return false, err
	}
	batches, err := s.Table.Scan(ctx, claim.MinutePrefix(minute))
	if err != nil {
		return false, err
	}
	for _, b := range batches {
		keys, err := claim.BatchKeys(b)
		if err != nil {
			return false, err
		}
		rows, err := s.Table.Read(ctx, keys...)
		if err != nil {
			return false, err
		}
		res, err := s.Table.Transact(ctx, claim.Sweep(b, rows, now, s.Retention))
		if err != nil {
			return false, err
		}
		if !res.Committed {
			return false, nil // another node sweeps, or a call was claimed again
		}
		s.Metrics.change("swept")
	}
	_, err = s.Table.Transact(ctx, claim.Advance(cursor[0], minute))
	return err == nil, err
}

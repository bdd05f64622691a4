package experiment

import (
	"context"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/internal/testbed/report"
	"guavapaddle/internal/testbed/standin/engine"
)

// inventoryPeriod is the period at which inventories are read. No load is shorter, so
// that none is missed.
const inventoryPeriod = 40 * time.Millisecond

// watchMoves records each load that an engine starts, until ctx is done.
func watchMoves(ctx context.Context, engines map[string]*engine.Engine, start time.Time, r *report.Recorder) {
	seen := map[string]map[backend.Item]bool{}
	for name, e := range engines {
		seen[name] = presentItems(e)
	}
	t := time.NewTicker(inventoryPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for name, e := range engines {
			now := presentItems(e)
			for i := range now {
				if !seen[name][i] {
					r.AddMove(report.Move{At: time.Since(start), Server: name, Item: i.String()})
				}
			}
			seen[name] = now
		}
	}
}

// presentItems returns the items in the inventory of an engine, in any state.
func presentItems(e *engine.Engine) map[backend.Item]bool {
	out := map[backend.Item]bool{}
	for _, i := range e.State().Inventory.Items {
		out[i.Item] = true
	}
	return out
}

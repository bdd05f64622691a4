package experiment

import (
	"context"
	"time"

	"guavapaddle/core/backend"
	"guavapaddle/internal/testbed/report"
	"guavapaddle/internal/testbed/standin/engine"
)

// movesPeriod is how often inventories are looked at; no load is shorter.
const movesPeriod = 40 * time.Millisecond

// watchMoves records each load that an engine begins, until ctx ends.
func watchMoves(ctx context.Context, engines map[string]*engine.Engine, start time.Time, r *report.Recorder) {
	seen := map[string]map[backend.Item]bool{}
	for name, e := range engines {
		seen[name] = items(e)
	}
	t := time.NewTicker(movesPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for name, e := range engines {
			now := items(e)
			for i := range now {
				if !seen[name][i] {
					r.Moved(report.Move{At: time.Since(start), Server: name, Item: i.String()})
				}
			}
			seen[name] = now
		}
	}
}

// items returns what an engine holds or loads.
func items(e *engine.Engine) map[backend.Item]bool {
	out := map[backend.Item]bool{}
	for _, i := range e.State().Inventory.Items {
		out[i.Item] = true
	}
	return out
}

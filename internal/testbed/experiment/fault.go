package experiment

import (
	"context"
	"time"

	"guavapaddle/internal/testbed/standin/fault"
)

// removalDelay is the time after which the balancer stops selecting a lost node.
const removalDelay = time.Second

// fault injects the fault of the run, and ends it if it is temporary.
func (r *run) fault(ctx context.Context) {
	third := r.set.Duration / 3
	if r.set.Fault == "" || !sleep(ctx, time.Until(r.start.Add(third))) {
		return
	}
	switch r.set.Fault {
	case ServerLoss:
		r.lab.Engines[r.busiestEngine()].Crash()
	case NodeLoss:
		lost := int(r.set.Seed) % r.set.Nodes
		address := r.lab.Callers[lost]
		r.lab.KillNode(lost)
		if sleep(ctx, removalDelay) {
			r.balancer.remove(address)
		}
	case TableDown:
		r.lab.Platform.Table.Faults.SetFaults(fault.Faults{Down: true})
		sleep(ctx, third)
		r.lab.Platform.Table.Faults.SetFaults(fault.Faults{})
	}
}

// busiestEngine returns the engine with the most requests. Among several, it returns
// the first in the configuration.
func (r *run) busiestEngine() string {
	best, maxRequests := "", -1
	for _, s := range r.lab.Document.Servers {
		e := r.lab.Engines[s.Name]
		if e == nil {
			continue
		}
		if l := e.State().Load; l.Running+l.Waiting > maxRequests {
			best, maxRequests = s.Name, l.Running+l.Waiting
		}
	}
	return best
}

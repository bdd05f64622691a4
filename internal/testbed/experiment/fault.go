package experiment

import (
	"context"
	"time"

	"guavapaddle/internal/testbed/standin/fault"
)

// noticed is the time after which the balancer stops sending to a lost node.
const noticed = time.Second

// fault brings the run's fault about, and ends it if it ends.
func (r *run) fault(ctx context.Context) {
	third := r.set.Duration / 3
	if r.set.Fault == "" || !pause(ctx, time.Until(r.start.Add(third))) {
		return
	}
	switch r.set.Fault {
	case ServerLoss:
		r.lab.Engines[r.busiest()].Crash()
	case NodeLoss:
		lost := int(r.set.Seed) % r.set.Nodes
		address := r.lab.Callers[lost]
		r.lab.KillNode(lost)
		if pause(ctx, noticed) {
			r.balancer.remove(address)
		}
	case TableDown:
		r.lab.Platform.Table.Faults.Put(fault.Faults{Down: true})
		pause(ctx, third)
		r.lab.Platform.Table.Faults.Put(fault.Faults{})
	}
}

// busiest returns the engine with most requests, the first by name of several.
func (r *run) busiest() string {
	best, most := "", -1
	for _, s := range r.lab.Document.Servers {
		e := r.lab.Engines[s.Name]
		if e == nil {
			continue
		}
		if l := e.State().Load; l.Running+l.Waiting > most {
			best, most = s.Name, l.Running+l.Waiting
		}
	}
	return best
}

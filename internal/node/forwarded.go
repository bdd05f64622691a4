package node

import (
	"context"

	"go.uber.org/zap"

	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/internal/dispatch"
	"guavapaddle/internal/engines"
)

// forwarded runs the jobs that other nodes forward, and records a trace event with
// the lease under which each job runs.
type forwarded struct {
	*dispatch.Dispatcher
	node *Node
}

// RunJob implements cluster.Local.
func (f *forwarded) RunJob(ctx context.Context, job forward.Job, sink engines.Sink) error {
	v, _ := f.node.views.Get(job.Server)
	f.node.traceEvent(job.RequestID, "forwarded", zap.String("server", job.Server), zap.String("owner", v.Owner),
		zap.Uint64("epoch", v.Epoch), zap.Bool("resume", job.Resume))
	err := f.Dispatcher.RunJob(ctx, job, sink)
	if e := outcome.From(err); e != nil {
		f.node.traceEvent(job.RequestID, "forwarded-ended", zap.String("server", job.Server),
			zap.String("outcome", string(e.Outcome)), zap.String("reason", string(e.Reason)))
	}
	return err
}

package cluster

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"guavapaddle/core/forward"
	"guavapaddle/core/member"
	"guavapaddle/core/outcome"
	"guavapaddle/internal/dispatch"
	"guavapaddle/internal/engines"
	"guavapaddle/io/peer"
)

type (
	// replyWriter writes the replies of one job to the node that forwarded it.
	replyWriter struct {
		stream   *peer.Stream
		readDone chan struct{} // closed when the requester has closed its side
		mu       sync.Mutex
		last     time.Time
		ended    bool
	}
)

// serveCall serves one call of another node.
func (c *Cluster) serveCall(ctx context.Context, from string, f peer.Frame, s *peer.Stream) {
	defer s.Cancel()
	switch f.Kind {
	case KindJob:
		c.serveJob(ctx, f, s)
	case KindConfig:
		c.serveConfig(f, s)
	case KindSuspect:
		c.OnMessage(from, f)
		_ = s.Close()
		s.Drain(sendTimeout)
	}
}

// serveJob runs a job that another node forwarded.
func (c *Cluster) serveJob(ctx context.Context, f peer.Frame, s *peer.Stream) {
	var job forward.Job
	if f.Decode(&job) != nil {
		return
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &replyWriter{stream: s, readDone: make(chan struct{}), last: time.Now()}
	go a.watchCancel(cancel)
	if load, ok := c.Local.Load(job.Server); ok {
		_ = a.write(forward.Reply{Load: &load}) // acknowledges the job
	}
	go a.heartbeat(ctx, c.Local, job.Server)
	err := c.Local.RunJob(ctx, job, a.write)
	if _, gone := errors.AsType[*engines.SinkError](err); gone {
		return
	}
	a.finish(c.Local, job.Server, err)
}

// watchCancel ends the job when the requester cancels it. It is the only reader
// of the stream.
func (a *replyWriter) watchCancel(cancel context.CancelCauseFunc) {
	defer close(a.readDone)
	for {
		f, err := a.stream.Read()
		switch {
		case errors.Is(err, io.EOF):
			return
		case err != nil:
			cancel(err)
			return
		case f.Kind == KindCancel:
			cancel(dispatch.ErrCancelled)
		}
	}
}

// heartbeat sends the load of the server to the requester while the job waits,
// so that the requester does not consider the call lost.
func (a *replyWriter) heartbeat(ctx context.Context, l Local, server string) {
	t := time.NewTicker(HeartbeatPeriod / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		load, _ := l.Load(server)
		a.mu.Lock()
		idle := time.Since(a.last) >= HeartbeatPeriod/2 && !a.ended
		a.mu.Unlock()
		if idle && a.write(forward.Reply{Load: &load}) != nil {
			return
		}
	}
}

func (a *replyWriter) write(r forward.Reply) error {
	f, err := peer.Encode(KindReply, r)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = time.Now()
	return a.stream.Write(f)
}

// finish writes the last reply and waits until the requester has closed its side
// or sendTimeout has passed.
func (a *replyWriter) finish(l Local, server string, err error) {
	a.mu.Lock()
	a.ended = true
	a.mu.Unlock()
	last := forward.Reply{Failure: forward.FailureOf(err)}
	if load, ok := l.Load(server); ok {
		last.Load = &load
	}
	if a.write(last) == nil {
		_ = a.stream.Close()
		a.stream.SetReadDeadline(time.Now().Add(sendTimeout))
		<-a.readDone
	}
}

// RunJob runs a job at its owner on another node.
func (c *Cluster) RunJob(ctx context.Context, owner string, job forward.Job, sink engines.Sink) error {
	n, ok := c.Node(owner)
	if !ok || n.Status != member.Alive {
		return outcome.Refuse(outcome.PeerUnreachable, "no such live node: "+owner, 0)
	}
	f, err := peer.Encode(KindJob, job)
	if err != nil {
		return outcome.Refuse(outcome.Internal, err.Error(), 0)
	}
	s, err := c.Endpoint.Open(ctx, n.Address, f)
	if err != nil {
		return c.openError(owner, err)
	}
	return forwardReplies(ctx, s, sink, func() {
		c.markUnreachable(owner)
		c.Endpoint.Redial(n.Address)
	})
}

// markUnreachable reports to the membership state that a node does not respond.
func (c *Cluster) markUnreachable(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Unreachable(time.Now(), name)
}

// openError returns the error of a call that could not be opened.
func (c *Cluster) openError(owner string, err error) error {
	c.markUnreachable(owner)
	if e, ok := errors.AsType[*peer.Error](err); ok && e.Kind == peer.Unreachable {
		return outcome.Refuse(outcome.PeerUnreachable, owner, 0)
	}
	return outcome.Fail(outcome.PeerLost, err.Error())
}

// forwardReplies passes the replies of a call to sink. A call without any reply
// for ArrivalTimeout at first, or for ProgressTimeout later, is lost, and
// onTimeout is called.
func forwardReplies(ctx context.Context, s *peer.Stream, sink engines.Sink, onTimeout func()) error {
	stop := context.AfterFunc(ctx, func() { abandon(ctx, s) })
	defer stop()
	alive := time.AfterFunc(ArrivalTimeout, func() {
		onTimeout()
		s.Cancel()
	})
	defer alive.Stop()
	finished := false
	for {
		f, err := s.Read()
		if err != nil {
			return outcome.Fail(outcome.PeerLost, err.Error())
		}
		alive.Reset(ProgressTimeout)
		var r forward.Reply
		if err := f.Decode(&r); err != nil {
			s.Cancel()
			return outcome.Fail(outcome.PeerLost, err.Error())
		}
		last := r.Failure != nil || finished
		if err := sink(r); err != nil {
			s.Cancel()
			return &engines.SinkError{Err: err}
		}
		finished = finished || r.Finish != ""
		switch {
		case r.Failure != nil:
			_ = s.Close()
			return r.Failure.Err()
		case last:
			_ = s.Close()
			return nil
		}
	}
}

// abandon ends a call whose requester is gone. A requester that will not return
// cancels the job; a broken stream alone leaves the generation running for a
// while, so that it can be resumed.
func abandon(ctx context.Context, s *peer.Stream) {
	if context.Cause(ctx) == dispatch.ErrCancelled {
		_ = s.Write(peer.Frame{Kind: KindCancel})
		_ = s.Close()
		s.CancelRead()
		return
	}
	s.Cancel()
}

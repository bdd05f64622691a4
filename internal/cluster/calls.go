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
	// answering writes the replies of one job to the node that forwarded it.
	answering struct {
		stream *peer.Stream
		read   chan struct{} // closed when the asker has closed its side
		mu     sync.Mutex
		last   time.Time
		ended  bool
	}
)

// call serves one call of another node.
func (c *Cluster) call(ctx context.Context, from string, f peer.Frame, s *peer.Stream) {
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
	a := &answering{stream: s, read: make(chan struct{}), last: time.Now()}
	go a.watch(cancel)
	if load, ok := c.Local.Load(job.Server); ok {
		_ = a.write(forward.Reply{Load: &load}) // the job has arrived
	}
	go a.heartbeat(ctx, c.Local, job.Server)
	err := c.Local.Do(ctx, job, a.write)
	if _, gone := errors.AsType[*engines.SinkError](err); gone {
		return
	}
	a.end(c.Local, job.Server, err)
}

// watch ends the job when the asker cancels it. It alone reads the stream.
func (a *answering) watch(cancel context.CancelCauseFunc) {
	defer close(a.read)
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

// heartbeat tells the asker that the job waits on.
func (a *answering) heartbeat(ctx context.Context, l Local, server string) {
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
		quiet := time.Since(a.last) >= HeartbeatPeriod/2 && !a.ended
		a.mu.Unlock()
		if quiet && a.write(forward.Reply{Load: &load}) != nil {
			return
		}
	}
}

func (a *answering) write(r forward.Reply) error {
	f, err := peer.Encode(KindReply, r)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last = time.Now()
	return a.stream.Write(f)
}

// end writes the last reply and waits for the asker to have it.
func (a *answering) end(l Local, server string, err error) {
	a.mu.Lock()
	a.ended = true
	a.mu.Unlock()
	last := forward.Reply{Failure: forward.FailureOf(err)}
	if load, ok := l.Load(server); ok {
		last.Load = &load
	}
	if a.write(last) == nil {
		_ = a.stream.Close()
		a.stream.ReadBy(time.Now().Add(sendTimeout))
		<-a.read
	}
}

// Do runs a job at its owner on another node.
func (c *Cluster) Do(ctx context.Context, owner string, job forward.Job, sink engines.Sink) error {
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
		return c.notOpened(owner, err)
	}
	return follow(ctx, s, sink, func() {
		c.suspect(owner)
		c.Endpoint.Renew(n.Address)
	})
}

// suspect tells the membership that a node makes no sign of life.
func (c *Cluster) suspect(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Unreachable(time.Now(), name)
}

// notOpened judges a call that could not be opened.
func (c *Cluster) notOpened(owner string, err error) error {
	c.suspect(owner)
	if e, ok := errors.AsType[*peer.Error](err); ok && e.Kind == peer.Unreachable {
		return outcome.Refuse(outcome.PeerUnreachable, owner, 0)
	}
	return outcome.Fail(outcome.PeerLost, err.Error())
}

// follow passes the replies of a call to sink. A call that makes no sign of
// life for ArrivalTimeout at first, or for ProgressTimeout later, is lost, and
// silent is called.
func follow(ctx context.Context, s *peer.Stream, sink engines.Sink, silent func()) error {
	unwatch := context.AfterFunc(ctx, func() { abandon(ctx, s) })
	defer unwatch()
	alive := time.AfterFunc(ArrivalTimeout, func() {
		silent()
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

// abandon ends a call whose asker is gone. An asker that will not come back
// says so; a broken stream alone leaves the generation running for a while.
func abandon(ctx context.Context, s *peer.Stream) {
	if context.Cause(ctx) == dispatch.ErrCancelled {
		_ = s.Write(peer.Frame{Kind: KindCancel})
		_ = s.Close()
		s.CancelRead()
		return
	}
	s.Cancel()
}

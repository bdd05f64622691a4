package generate

import (
	"context"
	"strconv"
	"time"

	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/core/queue"
	"guavapaddle/internal/engines"
)

// send runs the request at the picked server, through the server's owner if
// possible.
func (a *attempt) send(ctx context.Context, resume bool) error {
	r := a.r
	job := a.job(resume)
	r.recordSent(a.server)
	defer r.recordEnded(a.server)
	sink := func(reply forward.Reply) error {
		if reply.Load != nil {
			r.Views.UpdateLoad(a.server, *reply.Load)
			r.ViewUpdated(a.server)
		}
		if reply.Token == "" && reply.Finish == "" {
			return nil
		}
		if !a.gotFirstToken && a.q.Started != nil {
			a.q.Started()
		}
		a.gotFirstToken = true
		if reply.Finish == "" {
			a.offset = reply.Offset + 1
		}
		return a.deliver(reply)
	}
	switch {
	case r.Forward && a.owner == r.Self && !a.bypassOwner:
		return r.Local.RunJob(ctx, job, sink)
	case r.Forward && a.owner != "" && !a.bypassOwner:
		err := r.Owners.RunJob(ctx, a.owner, job, sink)
		if e := outcome.From(err); e == nil || e.Reason != outcome.PeerUnreachable {
			return err
		}
		a.trace("direct", string(outcome.PeerUnreachable))
	}
	return a.sendDirect(ctx, job, sink)
}

// deliver passes a reply to the caller. For a buffered request it keeps the
// replies until the finish, so that a generation that fails halfway can restart.
func (a *attempt) deliver(reply forward.Reply) error {
	at := forward.ResumeToken{RequestID: a.engineRequestID(), Offset: a.offset, Server: a.server}
	if !a.q.Buffered {
		return a.emit(reply, at)
	}
	a.buffered = append(a.buffered, reply)
	if reply.Finish == "" {
		return nil
	}
	for _, r := range a.buffered {
		if err := a.emit(r, at); err != nil {
			return err
		}
	}
	return nil
}

// sendDirect runs a job at the engine without its owner.
func (a *attempt) sendDirect(ctx context.Context, job forward.Job, sink engines.Sink) error {
	e := a.r.Engine(a.server)
	if e == nil {
		return outcome.Refuse(outcome.NoServer, a.server, noCopyRetryAfter)
	}
	return engines.Run(ctx, e, job, queue.Priority(job.Urgency), sink)
}

// job returns the job for the picked server.
func (a *attempt) job(resume bool) forward.Job {
	return forward.Job{
		Server:      a.server,
		RequestID:   a.q.ID,
		EngineID:    forward.EngineID(a.q.Team, a.engineRequestID()),
		Team:        a.q.Team,
		Kind:        a.q.Kind.Name,
		Urgency:     a.q.Kind.Urgency,
		Value:       a.q.Kind.Value,
		RemainingMS: time.Until(a.q.Deadline).Milliseconds(),
		Item:        a.q.Item,
		Prompt:      a.q.Prompt,
		MaxTokens:   a.q.MaxTokens,
		Offset:      a.offset,
		Resume:      resume,
		Isolated:    a.q.Isolated,
		Fingerprint: string(a.q.Fingerprint),
	}
}

// engineRequestID returns the request ID used at the engine. A resumed request
// keeps the ID of its first part; each new attempt has its own.
func (a *attempt) engineRequestID() string {
	switch {
	case a.q.Resume != nil:
		return a.q.Resume.RequestID
	case a.attempts > 0:
		return a.q.ID + "-" + strconv.Itoa(a.attempts)
	}
	return a.q.ID
}

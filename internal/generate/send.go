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

// send runs the request at the picked server, through its owner if it can.
func (a *attempt) send(ctx context.Context, resume bool) error {
	r := a.r
	job := a.job(resume)
	r.begin(a.server)
	defer r.end(a.server)
	sink := func(reply forward.Reply) error {
		if reply.Load != nil {
			r.Views.Heard(a.server, *reply.Load)
			r.Seen(a.server)
		}
		if reply.Token == "" && reply.Finish == "" {
			return nil
		}
		if !a.began && a.q.Started != nil {
			a.q.Started()
		}
		a.began = true
		if reply.Finish == "" {
			a.offset = reply.Offset + 1
		}
		return a.pass(reply)
	}
	switch {
	case r.Forward && a.owner == r.Self && !a.bypass:
		return r.Local.Do(ctx, job, sink)
	case r.Forward && a.owner != "" && !a.bypass:
		err := r.Owners.Do(ctx, a.owner, job, sink)
		if e := outcome.From(err); e == nil || e.Reason != outcome.PeerUnreachable {
			return err
		}
		a.note("direct", string(outcome.PeerUnreachable))
	}
	return a.direct(ctx, job, sink)
}

// pass gives a reply to the caller, or holds it until the finish if the caller
// sees nothing before: a generation that fails halfway can then begin anew.
func (a *attempt) pass(reply forward.Reply) error {
	at := forward.ResumeToken{RequestID: a.engineRequest(), Offset: a.offset, Server: a.server}
	if !a.q.Buffered {
		return a.emit(reply, at)
	}
	a.held = append(a.held, reply)
	if reply.Finish == "" {
		return nil
	}
	for _, r := range a.held {
		if err := a.emit(r, at); err != nil {
			return err
		}
	}
	return nil
}

// direct runs a job at the engine without its owner.
func (a *attempt) direct(ctx context.Context, job forward.Job, sink engines.Sink) error {
	e := a.r.Engine(a.server)
	if e == nil {
		return outcome.Refuse(outcome.NoServer, a.server, copyRetry)
	}
	return engines.Run(ctx, e, job, queue.Priority(job.Urgency), sink)
}

// job returns the job for the picked server.
func (a *attempt) job(resume bool) forward.Job {
	return forward.Job{
		Server:      a.server,
		RequestID:   a.q.ID,
		EngineID:    forward.EngineID(a.q.Team, a.engineRequest()),
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

// engineRequest returns the request id that the engine knows. A request that
// is continued keeps the id of its first part; each new attempt has its own.
func (a *attempt) engineRequest() string {
	switch {
	case a.q.Resume != nil:
		return a.q.Resume.RequestID
	case a.count > 0:
		return a.q.ID + "-" + strconv.Itoa(a.count)
	}
	return a.q.ID
}

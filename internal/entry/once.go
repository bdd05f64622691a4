package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"guavapaddle/core/claim"
	"guavapaddle/core/forward"
	"guavapaddle/core/outcome"
	"guavapaddle/internal/claims"
	"guavapaddle/internal/generate"
	"guavapaddle/io/caller"
)

// modelAPI stands for the service in the claim of a generation.
const modelAPI = "model-api"

type (
	// Claims keeps claims; *claims.Store is one.
	Claims interface {
		Claim(ctx context.Context, c claims.Call) (claims.Grant, error)
		Finish(h claim.Held, a claim.Answer)
		MarkUnknown(h claim.Held, r outcome.Reason)
		Release(h claim.Held)
	}

	// storedAnswer is a generation's answer as its claim keeps it.
	storedAnswer struct {
		Tokens []string `json:"tokens"`
		Finish string   `json:"finish"`
	}

	// recording collects an answer while it is passed on.
	recording struct {
		storedAnswer
		held   claim.Held
		claims Claims
		emit   forward.Emit
		gone   error // of the caller's connection
	}
)

// once runs a generation of a kind that may not be repeated under its caller's
// key: the first call runs, later ones get its stored answer. It goes on after
// its caller is gone, so that the answer is there when the caller asks again.
func (e *Entry) once(ctx context.Context, g caller.Generation, q generate.Request, emit forward.Emit) error {
	grant, err := e.Claims.Claim(ctx, claims.Call{
		Team: q.Team, Key: g.Key, RequestID: q.ID, Deadline: q.Deadline,
		BodyHash: claim.BodyHash(modelAPI, http.MethodPost, g.Model, g.Body),
	})
	if err != nil {
		return err
	}
	if grant.Stored != nil {
		e.Note(q.ID, "stored-answer", zap.String("row", claim.Key(q.Team, g.Key)))
		return replay(*grant.Stored, q.ID, emit)
	}
	e.Note(q.ID, "claimed", zap.String("row", claim.Key(q.Team, g.Key)), zap.String("attempt", grant.Held.Claim.Attempt))
	r := &recording{held: grant.Held, claims: e.Claims, emit: emit}
	err = e.Router.Do(context.WithoutCancel(ctx), q, r.take)
	switch f := outcome.From(err); {
	case f == nil:
		return r.gone
	case f.Outcome == outcome.RefusedNotRun:
		e.Claims.Release(grant.Held)
	default:
		e.Claims.MarkUnknown(grant.Held, f.Reason)
	}
	return err
}

// take keeps a reply and passes it on. The answer is stored before its finish
// is passed on, so that a repeat finds it.
func (r *recording) take(reply forward.Reply, at forward.ResumeToken) error {
	if reply.Finish == "" {
		r.Tokens = append(r.Tokens, reply.Token)
	} else {
		r.Finish = reply.Finish
		r.store()
	}
	if r.gone == nil {
		if err := r.emit(reply, at); err != nil {
			r.gone = outcome.Fail(outcome.CallerGone, "the answer is kept")
		}
	}
	return nil
}

// store ends the claim with the whole answer.
func (r *recording) store() {
	body, err := json.Marshal(r.storedAnswer)
	if err != nil {
		r.claims.MarkUnknown(r.held, outcome.Internal)
		return
	}
	r.claims.Finish(r.held, claim.Answer{Status: http.StatusOK, Body: body})
}

// replay passes a stored answer on.
func replay(a claim.Answer, id string, emit forward.Emit) error {
	var s storedAnswer
	if err := json.Unmarshal(a.Body, &s); err != nil {
		return outcome.Unconfirmed(outcome.Internal, "the stored answer can't be read")
	}
	for i, t := range s.Tokens {
		if err := emit(forward.Reply{Offset: i, Token: t}, forward.ResumeToken{RequestID: id, Offset: i + 1, Server: "stored"}); err != nil {
			return outcome.Fail(outcome.CallerGone, "")
		}
	}
	last := forward.Reply{Offset: len(s.Tokens), Finish: s.Finish}
	if err := emit(last, forward.ResumeToken{RequestID: id, Offset: len(s.Tokens), Server: "stored"}); err != nil {
		return outcome.Fail(outcome.CallerGone, "")
	}
	return nil
}

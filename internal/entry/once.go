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

// modelAPI takes the place of the service name in the claim of a generation.
const modelAPI = "model-api"

type (
	// Claims stores claims; *claims.Store implements it.
	Claims interface {
		Claim(ctx context.Context, c claims.Call) (claims.Grant, error)
		Finish(h claim.Held, a claim.Answer)
		MarkUnknown(h claim.Held, r outcome.Reason)
		Release(h claim.Held)
	}

	// storedAnswer is the encoding of a generation's response in its claim.
	storedAnswer struct {
		Tokens []string `json:"tokens"`
		Finish string   `json:"finish"`
	}

	// recorder collects a response while it is emitted.
	recorder struct {
		storedAnswer
		held       claim.Held
		claims     Claims
		emit       forward.Emit
		callerGone error // set after the caller's connection has failed
	}
)

// generateOnce runs a generation of a kind that is not repeatable under its
// caller's key. The first call runs, later ones get the stored response. The
// generation continues after its caller has disconnected, so that the response
// is stored when the caller retries.
func (e *Entry) generateOnce(ctx context.Context, g caller.Generation, q generate.Request, emit forward.Emit) error {
	grant, err := e.Claims.Claim(ctx, claims.Call{
		Team: q.Team, Key: g.Key, RequestID: q.ID, Deadline: q.Deadline,
		BodyHash: claim.BodyHash(modelAPI, http.MethodPost, g.Model, g.Body),
	})
	if err != nil {
		return err
	}
	if grant.Stored != nil {
		e.Trace(q.ID, "stored-answer", zap.String("row", claim.Key(q.Team, g.Key)))
		return replay(*grant.Stored, q.ID, emit)
	}
	e.Trace(q.ID, "claimed", zap.String("row", claim.Key(q.Team, g.Key)), zap.String("attempt", grant.Held.Claim.Attempt))
	r := &recorder{held: grant.Held, claims: e.Claims, emit: emit}
	err = e.Router.Do(context.WithoutCancel(ctx), q, r.record)
	switch f := outcome.From(err); {
	case f == nil:
		return r.callerGone
	case f.Outcome == outcome.RefusedNotRun:
		e.Claims.Release(grant.Held)
	default:
		e.Claims.MarkUnknown(grant.Held, f.Reason)
	}
	return err
}

// record stores a reply and emits it. The response is stored before its finish
// is emitted, so that a repeat finds it.
func (r *recorder) record(reply forward.Reply, at forward.ResumeToken) error {
	if reply.Finish == "" {
		r.Tokens = append(r.Tokens, reply.Token)
	} else {
		r.Finish = reply.Finish
		r.store()
	}
	if r.callerGone == nil {
		if err := r.emit(reply, at); err != nil {
			r.callerGone = outcome.Fail(outcome.CallerGone, "the answer is kept")
		}
	}
	return nil
}

// store completes the claim with the whole response.
func (r *recorder) store() {
	body, err := json.Marshal(r.storedAnswer)
	if err != nil {
		r.claims.MarkUnknown(r.held, outcome.Internal)
		return
	}
	r.claims.Finish(r.held, claim.Answer{Status: http.StatusOK, Body: body})
}

// replay emits a stored response.
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

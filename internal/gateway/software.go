package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/core/software"
	"guavapaddle/internal/hub"
)

// maxHolderRetry bounds the time between two tries at servers that hold the model of a stream and have failed. An entry lapses after some
// seconds.
const maxHolderRetry = 2 * time.Second

// takesUp reports whether the client takes up a stream that an earlier request of it began.
func (r *request) takesUp() bool {
	return r.route.Kind == fleet.Stream && (r.meta.Resumes != "" || r.meta.LastEvent != "")
}

// findSoftware finds out which service and which version of its software began the stream that the client takes up. It returns
// the reason for which the stream must not go on, if any.
func (r *request) findSoftware() Reason {
	if !r.takesUp() || r.g.FindOrigin == nil {
		return ""
	}
	began := time.Now()
	ctx, cancel := context.WithDeadline(r.x.Context(), r.deadline)
	defer cancel()
	origin := r.g.FindOrigin(ctx, hub.OriginQuery{Service: r.service, Stream: r.meta.Resumes})
	r.g.mu.Lock()
	servers, holders := r.g.picker.SoftwareServers(time.Now(), origin.Service, origin.Version, r.meta.Model)
	r.g.mu.Unlock()
	r.g.Log.Info("take-up", zap.String("request-id", r.meta.ID), zap.String("resumes", r.meta.Resumes), zap.String("service", origin.Service),
		zap.Bool("known", origin.Known), zap.String("software", origin.Version), zap.String("model", r.meta.Model), zap.Int("servers", servers), zap.Int("holders", holders),
		zap.Duration("took", time.Since(began)))
	switch {
	case r.x.Context().Err() != nil:
		return ClientLeft
	case !origin.Known:
		return UnknownVersion
	case !slices.ContainsFunc(r.route.Splits, func(s fleet.Split) bool { return s.Service == origin.Service }):
		return NoVersion
	}
	r.service, r.software = origin.Service, origin.Version
	return ""
}

// awaitsModel reports whether the request is a stream that has begun at a software version and that waits, as long as its client does,
// for a server of that version with its model: nothing else can complete it.
func (r *request) awaitsModel() bool { return r.software != "" && r.usesEngine() }

// awaitHolders waits before the servers that hold the stream's model are tried again, after all of them were: each either responds again
// or leaves the list, so that the model is loaded elsewhere. It returns the reason if the request ends meanwhile, or the client's
// patience would.
func (r *request) awaitHolders() Reason {
	r.holderRetry = min(max(recheckInterval, 2*r.holderRetry), maxHolderRetry)
	if r.holderRetry > r.maxWait(r.meta.Model) {
		return NoServer
	}
	if ended := r.awaitChange(nil, r.holderRetry, time.Now().Add(r.holderRetry)); ended != "" {
		return ended
	}
	clear(r.excluded)
	return ""
}

// recordSoftware records the version that begins the stream, before its first event is forwarded.
func (t *try) recordSoftware() {
	s := t.selection.Server
	if t.software != "" || s.Software == "" {
		return
	}
	t.software = s.Software
	if t.route.Resumable && t.g.RecordOrigin != nil {
		t.g.RecordOrigin(t.x.Context(), software.Origin{Stream: t.meta.ID, Service: s.Service, Version: s.Software})
	}
}

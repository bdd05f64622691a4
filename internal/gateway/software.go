package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"guavapaddle/core/fleet"
	"guavapaddle/core/software"
	"guavapaddle/internal/hub"
)

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
	origin := r.g.FindOrigin(r.x.Context(), hub.OriginQuery{Service: r.service, Stream: r.meta.Resumes})
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

package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap/zapcore"

	"guavapaddle/core/apikey"
	"guavapaddle/core/fleet"
)

const (
	// refreshWait bounds the wait for a newer configuration that may hold a key.
	refreshWait = 700 * time.Millisecond
	// staleRetry is when a client may come back to a node whose configuration is too
	// old for keys: another node may serve it at once.
	staleRetry = 200 * time.Millisecond
)

// authenticate finds out which team calls. It answers the request and returns false if
// the caller may not call.
func (r *request) authenticate(c *fleet.Config) bool {
	if !c.KeysRequired() {
		return true
	}
	key, err := apikey.Bearer(r.meta.Credentials)
	if err != nil {
		if r.route.Public {
			return true
		}
		r.problem = err.Error()
		r.unauthorized()
		return false
	}
	digest := apikey.Sum(key)
	r.key, r.keyed = digest, true
	team, ok := c.Team(digest)
	if !ok && !r.route.Public && !c.Revoked(digest) {
		c = r.refresh(c)
		team, ok = c.Team(digest)
	}
	switch {
	case ok:
		r.team = team
	case r.route.Public:
		r.keyed = false
		return true
	default:
		r.problem = "unknown-key"
		r.unauthorized()
		return false
	}
	if r.route.Public || r.g.fresh() {
		return true
	}
	r.answer(http.StatusServiceUnavailable, StaleConfig, staleRetry)
	return false
}

// refresh asks for a configuration newer than c, which doesn't hold the request's key,
// and returns the one then in force.
func (r *request) refresh(c *fleet.Config) *fleet.Config {
	if r.g.Refresh == nil {
		return c
	}
	ctx, cancel := context.WithTimeout(r.x.Context(), min(refreshWait, time.Until(r.deadline)))
	defer cancel()
	r.g.Refresh(ctx)
	newest := r.g.config.Load()
	if newest.Version() != c.Version() {
		r.version = newest.Version()
	}
	return newest
}

// unauthorized refuses a caller without a valid key.
func (r *request) unauthorized() { r.answer(http.StatusUnauthorized, Unauthorized, 0) }

// allowed returns why the request may not be sent to a server, or nothing: its key must be
// in the configuration in force, which must not be too old. The request may have waited
// since it was admitted, or the process may have stood still. The age is looked at first:
// a newer configuration may be put in force between the two.
func (r *request) allowed() Reason {
	if !r.keyed || r.route.Public {
		return ""
	}
	if !r.g.fresh() {
		return StaleConfig
	}
	if _, ok := r.g.config.Load().Team(r.key); !ok {
		return Unauthorized
	}
	return ""
}

// fresh tells whether the configuration in force was the newest so short a time ago that
// keys may be relied on.
func (g *Gateway) fresh() bool {
	return g.KeyAge <= 0 || g.ConfigAge() < g.KeyAge
}

// Serves tells whether requests with keys can be served now.
func (g *Gateway) Serves() bool {
	c := g.config.Load()
	return c != nil && (!c.KeysRequired() || g.fresh())
}

// callerFields tells of the caller in a log line. A key is named by a part of its digest.
type callerFields struct{ r *request }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (f callerFields) MarshalLogObject(e zapcore.ObjectEncoder) error {
	if f.r.team.Name != "" {
		e.AddString("team", f.r.team.Name)
	}
	if f.r.keyed {
		e.AddString("key", f.r.key.String())
	}
	if f.r.limited() {
		e.AddFloat64("charge", f.r.cost())
		e.AddBool("charged", f.r.charged)
		e.AddBool("alone", f.r.alone)
	}
	if g := f.r.g; f.r.keyed && g.KeyAge > 0 {
		e.AddDuration("config-age", g.ConfigAge())
	}
	if f.r.problem != "" {
		e.AddString("credentials", f.r.problem)
	}
	return nil
}

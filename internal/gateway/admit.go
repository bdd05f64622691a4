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
	// refreshWait bounds the wait for a newer configuration that may contain the key.
	refreshWait = 700 * time.Millisecond
	// staleConfigRetryAfter is the Retry-After of a node whose configuration is too old
	// for checking keys. It is short, as another node may serve the request at once.
	staleConfigRetryAfter = 200 * time.Millisecond
)

// authenticate determines the calling team. If the caller isn't authorized, it
// responds to the request and returns false.
func (r *request) authenticate(c *fleet.Config) bool {
	if !c.KeysRequired() {
		return true
	}
	key, err := apikey.Bearer(r.meta.Credentials)
	if err != nil {
		if r.route.Public {
			return true
		}
		r.credentialProblem = err.Error()
		r.unauthorized()
		return false
	}
	digest := apikey.Sum(key)
	r.key, r.hasKey = digest, true
	team, ok := c.Team(digest)
	if !ok && !r.route.Public && !c.Revoked(digest) {
		c = r.refresh(c)
		team, ok = c.Team(digest)
	}
	switch {
	case ok:
		r.team = team
	case r.route.Public:
		r.hasKey = false
		return true
	default:
		r.credentialProblem = "unknown-key"
		r.unauthorized()
		return false
	}
	if r.route.Public || r.g.configFresh() {
		return true
	}
	r.respond(http.StatusServiceUnavailable, StaleConfig, staleConfigRetryAfter)
	return false
}

// refresh looks for a configuration newer than c, which doesn't contain the request's
// key, and returns the configuration that is in force afterwards.
func (r *request) refresh(c *fleet.Config) *fleet.Config {
	if r.g.Refresh == nil {
		return c
	}
	ctx, cancel := context.WithTimeout(r.x.Context(), min(refreshWait, time.Until(r.deadline)))
	defer cancel()
	r.g.Refresh(ctx)
	newest := r.g.config.Load()
	if newest.Version() != c.Version() {
		r.configVersion = newest.Version()
	}
	return newest
}

// unauthorized refuses a request without a valid key.
func (r *request) unauthorized() { r.refuseByConfig(http.StatusUnauthorized, Unauthorized) }

// refuseByConfig refuses a request that the configuration in force doesn't allow. If a newer one may be in force elsewhere, the client is
// asked to come back instead.
func (r *request) refuseByConfig(status int, cause Reason) {
	if r.g.refusalAgeReached() {
		r.respond(http.StatusServiceUnavailable, StaleConfig, staleConfigRetryAfter)
		return
	}
	r.respond(status, cause, 0)
}

// refusalAgeReached reports whether the configuration in force is too old to refuse requests for good.
func (g *Gateway) refusalAgeReached() bool { return g.RefusalAge > 0 && g.ConfigAge() > g.RefusalAge }

// Outdated reports whether the configuration in force must not be used.
func (g *Gateway) Outdated() bool {
	return g.Delayed != nil && g.refusalAgeReached() && g.Delayed()
}

// recheckKey returns the reason why the request may not be sent to a server, or "": its
// key must be in the configuration in force, which must not be too old. The key is checked
// again since the request may have waited after it was admitted, or the process may have
// been paused. The age is checked first, as a newer configuration may come into force
// between the two checks.
func (r *request) recheckKey() Reason {
	if !r.hasKey || r.route.Public {
		return ""
	}
	if !r.g.configFresh() {
		return StaleConfig
	}
	if _, ok := r.g.config.Load().Team(r.key); !ok {
		return Unauthorized
	}
	return ""
}

// configFresh reports whether the configuration in force was confirmed as the newest
// recently enough for checking keys.
func (g *Gateway) configFresh() bool {
	return g.KeyAge <= 0 || g.ConfigAge() < g.KeyAge
}

// Serves reports whether requests with keys can be served now.
func (g *Gateway) Serves() bool {
	c := g.config.Load()
	return c != nil && (!c.KeysRequired() || g.configFresh())
}

// callerFields logs the caller of a request. A key is shown as a prefix of its digest.
type callerFields struct{ r *request }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (f callerFields) MarshalLogObject(e zapcore.ObjectEncoder) error {
	if f.r.team.Name != "" {
		e.AddString("team", f.r.team.Name)
	}
	if f.r.hasKey {
		e.AddString("key", f.r.key.String())
	}
	if f.r.hasQuota() {
		e.AddFloat64("charge", f.r.cost())
		e.AddBool("charged", f.r.charged)
		e.AddBool("alone", f.r.chargedLocally)
	}
	if g := f.r.g; f.r.hasKey && g.KeyAge > 0 {
		e.AddDuration("config-age", g.ConfigAge())
	}
	if f.r.credentialProblem != "" {
		e.AddString("credentials", f.r.credentialProblem)
	}
	return nil
}

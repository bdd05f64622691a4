package gateway

import (
	"context"
	"net/http"
	"time"

	"guavapaddle/core/quota"
	"guavapaddle/internal/hub"
)

const (
	// chargeWait bounds the wait for the granter's answer to a charge.
	chargeWait = 150 * time.Millisecond
	// returnSpread is by how much, at most, clients over their quota are told to come
	// back later than their tokens are there, so that they don't come back together.
	returnSpread = 0.5
	// returnLeast is the least time after which they may.
	returnLeast = 50 * time.Millisecond
)

// limited tells whether the request counts for a quota.
func (r *request) limited() bool { return r.team.Quota.Rate > 0 }

// cost returns what the request takes of its team's quota.
func (r *request) cost() float64 {
	return r.team.Quota.Cost(r.meta.PromptTokens, r.meta.OutputTokens, r.meta.Counted)
}

// due returns what is still to be charged, with the request's place.
func (r *request) due() hub.Charge {
	if r.charged || !r.limited() {
		return hub.Charge{}
	}
	return hub.Charge{Team: r.team.Name, Cost: r.cost()}
}

// paid notes that the granter has charged the request.
func (r *request) paid(c hub.Charge) {
	if c == (hub.Charge{}) {
		return
	}
	r.charged = true
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.purse.Charged(c.Team, c.Cost)
}

// spend charges a request that asks for no place: here, or at the granter if little is
// left. It answers the request and returns false if that is over the quota.
func (r *request) spend() bool {
	if r.charged || !r.limited() {
		return true
	}
	c, g := r.due(), r.g
	g.mu.Lock()
	led, scarce := g.led, g.purse.Scarce(c.Team)
	if led && !scarce {
		g.purse.Spend(c.Team, c.Cost)
		r.charged = true
	}
	g.mu.Unlock()
	if r.charged {
		return true
	}
	if led {
		ctx, cancel := context.WithTimeout(r.x.Context(), chargeWait)
		defer cancel()
		if a, err := g.Charge(ctx, c); err == nil && a.Done {
			if a.OK {
				r.paid(c)
				return true
			}
			r.overQuota(a.After)
			return false
		}
	}
	return r.spendAlone(c)
}

// spendAlone charges a request of this node's share of the quota.
func (r *request) spendAlone(c hub.Charge) bool {
	if c == (hub.Charge{}) {
		return true
	}
	g := r.g
	g.mu.Lock()
	ok, after := g.purse.SpendAlone(time.Now(), r.team, c.Cost)
	g.mu.Unlock()
	if !ok {
		r.overQuota(after)
		return false
	}
	r.charged, r.alone = true, true
	return true
}

// overQuota refuses a request whose team has spent its quota.
func (r *request) overQuota(after time.Duration) {
	r.answer(http.StatusTooManyRequests, Quota, r.spread(after))
}

// spread returns when a client over its quota may come back.
func (r *request) spread(after time.Duration) time.Duration {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(returnLeast, time.Duration(float64(after)*(1+returnSpread*g.Rand.Float64())))
}

// refund gives back what the request was charged if no server may have run it.
func (r *request) refund() {
	if !r.charged || r.ran {
		return
	}
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.purse.Refund(r.team.Name, r.cost())
}

// Spent returns what this node has spent of the quotas, for a report.
func (g *Gateway) Spent() quota.Uses {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.purse.Report()
}

// Told takes in a granter's answer to what was reported.
func (g *Gateway) Told(number uint64, states map[string]quota.State, nodes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.purse.Answered(number)
	g.purse.Told(states, nodes)
	g.purse.Led()
	g.led = true
}

// Unled notes that no granter answers.
func (g *Gateway) Unled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.led = false
}

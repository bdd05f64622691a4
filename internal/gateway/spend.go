package gateway

import (
	"time"

	"guavapaddle/core/quota"
	"guavapaddle/internal/hub"
)

const (
	// granterBack is when a client may come back that was refused while no granter was
	// reached: another node may reach one.
	granterBack = 500 * time.Millisecond
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

// due returns what is still to be charged together with a place.
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
	g.purse.RecordCharge(c.Team, c.Cost)
}

// spend charges a request that got no place from a granter, or returns why it can't.
func (r *request) spend() Reason {
	if r.charged || !r.limited() {
		return ""
	}
	g := r.g
	g.mu.Lock()
	led := g.led
	ok, after := g.purse.Spend(time.Now(), r.team, r.cost(), led)
	g.mu.Unlock()
	r.alone = !led
	if ok {
		r.charged = true
		return ""
	}
	if !led {
		after = min(after, granterBack)
	}
	r.after = after
	return Quota
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
func (g *Gateway) Spent() quota.UsageReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.purse.Report()
}

// Told takes in a granter's answer to what was reported.
func (g *Gateway) Told(number uint64, states map[string]quota.State, nodes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.purse.Acknowledge(number)
	g.purse.Update(time.Now(), states, nodes)
	g.led = true
}

// Unled notes that no granter answers.
func (g *Gateway) Unled() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.led = false
}

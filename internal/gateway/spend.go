package gateway

import (
	"time"

	"guavapaddle/core/quota"
	"guavapaddle/internal/hub"
)

const (
	// noGranterRetryAfter is the longest Retry-After of requests that were refused while no
	// granter was reachable: another node may reach one.
	noGranterRetryAfter = 500 * time.Millisecond
	// retryJitter is the maximum share by which a Retry-After exceeds the time until a request may be served, as until the tokens of a
	// team are available, so that clients don't retry together.
	retryJitter = 0.5
	// minJitteredRetryAfter is the shortest Retry-After with jitter.
	minJitteredRetryAfter = 50 * time.Millisecond
)

// hasQuota reports whether the request counts against a quota.
func (r *request) hasQuota() bool { return r.team.Quota.Rate > 0 }

// cost returns the tokens that the request takes from its team's quota.
func (r *request) cost() float64 {
	return r.team.Quota.Cost(r.meta.PromptTokens, r.meta.OutputTokens, r.meta.HasTokenCount)
}

// pendingCharge returns the charge that is still to be made with a slot request.
func (r *request) pendingCharge() hub.Charge {
	if r.charged || !r.hasQuota() {
		return hub.Charge{}
	}
	return hub.Charge{Team: r.team.Name, Cost: r.cost()}
}

// recordCharge records that the granter has charged the request.
func (r *request) recordCharge(c hub.Charge) {
	if c == (hub.Charge{}) {
		return
	}
	r.charged = true
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.RecordCharge(c.Team, c.Cost)
}

// chargeLocally charges a request that has no slot from a granter, or returns the reason
// why it can't.
func (r *request) chargeLocally() Reason {
	if r.charged || !r.hasQuota() {
		return ""
	}
	g := r.g
	g.mu.Lock()
	granterReachable := g.granterReachable
	ok, retryAfter := g.account.Spend(time.Now(), r.team, r.cost(), granterReachable)
	g.mu.Unlock()
	r.chargedLocally = !granterReachable
	if ok {
		r.charged = true
		return ""
	}
	if !granterReachable {
		retryAfter = min(retryAfter, noGranterRetryAfter)
	}
	r.retryAfter = retryAfter
	return Quota
}

// jitterRetryAfter returns a Retry-After with jitter.
func (r *request) jitterRetryAfter(after time.Duration) time.Duration {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(minJitteredRetryAfter, time.Duration(float64(after)*(1+retryJitter*g.Rand.Float64())))
}

// refund returns the charge of the request to the quota if no server may have run it.
func (r *request) refund() {
	if !r.charged || r.mayHaveRun {
		return
	}
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Refund(r.team.Name, r.cost())
}

// QuotaUsage returns this node's usage of the quotas, for a report.
func (g *Gateway) QuotaUsage() quota.UsageReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.Report()
}

// UpdateQuotas applies a granter's reply to a report of the usage.
func (g *Gateway) UpdateQuotas(number uint64, states map[string]quota.State, nodes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.Acknowledge(number)
	g.account.Update(time.Now(), states, nodes)
	g.granterReachable = true
}

// LeaderLost records that no granter replies.
func (g *Gateway) LeaderLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.granterReachable = false
}

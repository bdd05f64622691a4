// Package limit decides whether a team's request is admitted, by shares of the
// node's capacity.
//
// No team is limited while the node's total usage is below its capacity. Above
// it, a team's requests are admitted only while the team's usage is below its
// share. Shares divide the capacity among the active teams by weight, and what a
// team leaves unused is divided among the others (max-min fairness). Work of
// lower urgency is admitted only up to a fraction of the capacity, so that
// capacity is left for urgent work. Rules limit a team and kind regardless of
// the capacity.
//
// Usage is measured in units per second over a window. Settled units decay
// exponentially with the window as the time constant; reserved units don't decay
// until they are settled. A cancelled request that may still run keeps its
// reservation; only units that are known to be unused are released. These rules
// for expensive work (reserve an estimate, settle the actual cost once, keep
// what is not known to be unused) are taken from "How to review rate limits
// around expensive API operations".
//
// Two policies implement the Policy interface: ByRequests counts every request
// as one unit, and ByCost counts the caller's estimate, which is replaced by the
// actual cost once it is known.
//
// # Usage
//
//	var p limit.Policy = limit.NewByCost(limit.Settings{Capacity: 4000})
//	r, ok, retryAfter := p.Admit(now, team, kind, estimate)
//	if !ok {
//		return outcome.Refuse(outcome.TeamLimit, "", retryAfter)
//	}
//	...
//	p.Settle(now, r, actual)
package limit

// Package limit decides whether a team's request is taken on, by shares of
// the node's capacity.
//
// As long as the node's whole use is below its capacity nobody is limited. Once
// it is not, a team is taken on only while its own use is below its share:
// the capacity divided by the weights of the teams in use, where what a
// team leaves of its share is divided among the others (max-min fairness).
// Work of lesser urgency is taken on only up to a part of the capacity, so that
// urgent work finds room. Rules bound a team and kind in any case.
//
// Use is measured in units a second over a window: of units settled it fades
// with the window, of units reserved it stays until they are settled. A
// cancelled request that may still run keeps its reservation: only the proven
// unused part is given back. These rules for expensive work (reserve an
// estimate, settle the actual cost once, keep what is not proven) are taken
// from "How to review rate limits around expensive API operations".
//
// Two policies stand behind one interface: ByRequests counts every request as
// one unit and ByCost counts the caller's estimate, replaced by the actual cost
// when it is known.
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

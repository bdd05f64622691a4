// Package retry decides whether and when a failed request is retried, and gives
// the reason if it is not.
//
// It has three parts: Policy.Decide classifies one failure, Budget limits the
// retries of a node to a fraction of its successes, and Policy.Backoff spreads
// retries in time. Without the budget, an outage of half the servers would add
// one retry to every second request, at a time when the remaining servers have
// the least spare capacity.
//
// # Usage
//
//	v := policy.Decide(retry.Failure{Attempt: 1, Err: e, Repeatable: true, Remaining: left})
//	if v.Action == retry.Retry && !budget.Take(now) {
//		v = retry.BudgetExhausted()
//	}
//	count(v.Reason)
//
// Call Budget.Success for every first attempt that succeeds, and exclude the
// server that failed from the next attempt.
package retry

// Package retry decides whether a request that failed is tried again, when, and
// why not.
//
// Three parts: Policy.Decide judges one failure, Budget bounds all retries of a
// node to a share of its successes, and Policy.Backoff spreads them in time.
// Without the budget an outage of half the servers would add one retry to every
// second request, just when the rest have the least to spare.
//
// # Usage
//
//	v := policy.Decide(retry.Failure{Attempt: 1, Err: e, Repeatable: true, Remaining: left})
//	if v.Action == retry.Again && !budget.Take(now) {
//		v = retry.Spent()
//	}
//	count(v.Reason)
//
// Every first attempt that succeeded is told to the budget by Success. The
// server that failed goes into the list of servers to avoid.
package retry

// Package quota enforces the quotas of teams across all nodes.
//
// A quota is a token bucket with a rate and a burst. The granter, the node that
// grants slots, keeps a Ledger with one bucket per team; each node keeps an Account.
//
//   - A request to a model engine is charged in the granter's ledger when its slot
//     is granted, so that charging needs no call of its own.
//   - Any other request is charged in the node's account and included in the node's
//     next report to the granter. While the team's bucket is low, the node stays
//     within its share of the quota; what it spends reduces what the granter can
//     charge.
//   - A node that can't reach the granter charges all requests to its share. Shares
//     follow the recent spending of the nodes and sum to at most one. The granter
//     withholds the shares of nodes that have stopped reporting for as long as they
//     may still be spent.
//
// The total error is bounded by the tolerance that the operator configures: a
// quarter of it is for what nodes spend without the granter, a quarter for a
// granter that starts without knowledge of earlier spending, and the rest for
// reports in flight.
//
// # Usage
//
//	l := &quota.Ledger{Tolerance: tolerance}
//	l.Reset(now, teams)
//	ok, after := l.Charge(now, "desk", 1460)
//	l.Report(now, "node-1", "process-1", account.Report())
package quota

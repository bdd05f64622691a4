// Package quota holds teams to their quotas over all nodes together.
//
// A quota is a token bucket of a rate and a burst. One granter keeps a Ledger
// with a bucket for each team; each node keeps a Purse.
//
//   - A request to a model engine is charged in the granter's ledger together
//     with its place, so that it costs no call of its own.
//   - Another request is charged in the node's purse and told to the granter with
//     the next report. While the team's bucket runs low the node keeps to its share
//     of the quota; what it spends is missing from what the granter can charge.
//   - A node that reaches no granter spends its share for all requests. Shares
//     follow what nodes have spent of late; they sum to one. The granter keeps the
//     shares of nodes that have fallen silent back for as long as they may be
//     spent.
//
// What a granter, a report or a node can err by is bounded by the tolerance
// that the operator states: a quarter of it for what nodes spend by themselves,
// a quarter for a granter that begins without knowledge, the rest for reports that
// are under way.
//
// # Usage
//
//	l := &quota.Ledger{Tolerance: tolerance}
//	l.Reset(now, teams)
//	ok, after := l.Charge(now, "desk", 1460)
//	l.Report(now, "node-1", "process-1", purse.Report())
package quota

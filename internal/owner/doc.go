// Package owner manages the backend servers that run models: it decides which of
// them this node should own, holds their leases, keeps their memory ledgers, sends
// load and unload orders until each server matches its plan, and publishes their
// state.
//
// # Method
//
// Rendezvous hashing over the live nodes determines the assigned owner of each
// server. Separate goroutines watch the clock, renew the node's session, and
// acquire the servers that the node should own. One worker per owned server polls
// the engine and sends orders. The rules that protect memory and reachability are
// in core/lease and core/ledger; docs/OWNERSHIP.md describes the whole design.
//
// # Usage
//
//	o := &owner.Owner{Node: "n1", Incarnation: id, Table: table, Engine: dial, Live: live, Known: known}
//	o.SetDocument(document, version)
//	go o.Run(ctx)
//	o.SetPlan("e1", items)
//	for _, v := range o.Views() { ... }
package owner

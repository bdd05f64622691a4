// Package owner owns backend servers that run models: it decides which of them
// this node should own, holds their leases, keeps their memory ledgers, gives
// orders until each holds what it should, and publishes what it sees.
//
// # Method
//
// The wanted owner of a server is the first of the live nodes by rendezvous
// hashing. One goroutine, the keeper, renews the node's session and takes the
// servers that it should own; another per server, the worker, polls the engine
// and gives orders. Rules that keep memory and reachability safe are in
// core/lease and core/ledger; docs/OWNERSHIP.md describes the whole.
//
// # Usage
//
//	o := &owner.Owner{Node: "n1", Incarnation: id, Table: table, Engine: dial, Live: live, Known: known}
//	o.SetDocument(document, version)
//	go o.Run(ctx)
//	o.SetPlan("e1", items)
//	for _, v := range o.Views() { ... }
package owner

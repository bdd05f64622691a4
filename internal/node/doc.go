// Package node puts the parts of one guavapaddle node together and runs them.
//
// Every node plays every role (see docs/DESIGN.md): it answers callers, owns
// some backend servers, follows the configuration, and one of the live nodes
// plans the placement.
//
// # Usage
//
//	n, err := node.New(settings, log)
//	addresses, err := n.Listen()
//	err = n.Run(ctx) // returns after a graceful shutdown when ctx ends
package node

// Package node assembles the components of one guavapaddle node and runs them.
//
// Every node has the same roles (see docs/DESIGN.md): it serves callers, owns some
// of the backend servers and follows the configuration. One of the live nodes also
// plans the placement.
//
// # Usage
//
//	n, err := node.New(settings, log)
//	addresses, err := n.Listen()
//	err = n.Run(ctx) // returns after a graceful shutdown when ctx ends
package node

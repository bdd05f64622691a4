// Package front ties the parts of a node together that serves clients on the
// machines' platform: the listener for clients, the answers to readiness
// probes, the copies of the store's tables, the exchange with other nodes, and
// the orders to model engines while the node holds the lease.
//
// # Stopping
//
// On a stop the node says at once that it isn't ready, and that each answer is
// the last of its connection, but goes on serving for Notice: that is how long
// the balancer may still send clients. Then it closes idle connections, waits
// for open requests, and ends before the platform kills it.
//
// # Usage
//
//	s, err := front.Load("/etc/guavapaddle/node.json")
//	n, err := front.New(s, log)
//	err = n.Run(ctx)
package front

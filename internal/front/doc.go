// Package front assembles a node that serves clients on the machines' platform: the listener
// for clients, the responses to readiness probes, the copies of the store's tables, the
// exchange of reports with other nodes, and the orders to model engines while the node is
// the leader.
//
// # Stopping
//
// On a stop the node reports at once that it isn't ready, and marks each response as the
// last of its connection, but goes on serving for DrainTime, because the balancer may keep
// sending clients for that long. Then it closes idle connections, waits for open requests,
// and ends before the platform kills it.
//
// # Usage
//
//	s, err := front.Load("/etc/guavapaddle/node.json")
//	n, err := front.New(s, log)
//	err = n.Run(ctx)
package front

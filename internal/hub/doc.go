// Package hub spreads between nodes what each of them has at the backend
// servers, and what it is asked for, through the node that holds the lease.
//
// Every node reports to the holder a few times a second and gets back the sum
// of what all others reported: two messages a node and period, however many
// nodes there are, where every node telling every other would take their
// square. Nothing safe rests on it: a node that hears nothing decides by what
// it has sent itself and by the servers' own answers.
//
// # Usage
//
//	h := &hub.Hub{}
//	picture := h.Take(now, report)           // at the holder
//
//	c := &hub.Client{Endpoint: endpoint}
//	picture, err := c.Exchange(ctx, address, report)
package hub

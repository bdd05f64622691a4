// Package hub exchanges state between nodes through the leader, the node that
// holds the lease: the load that each node has at the backend servers, and the
// demand that it sees.
//
// Every node reports to the leader a few times a second and gets back the sum
// of what all others reported. That is two messages per node and period,
// whatever the number of nodes; if every node sent to every other, the number
// of messages would grow with its square. Safety doesn't depend on the exchange:
// a node that gets no reply decides by the requests that it has sent itself and
// by the servers' own responses.
//
// The leader also merges what nodes observed of servers that crashed, decides which requests are refused for it
// (core/poison), and sends these blocks to all nodes. Relays pass both on. Its deputy gets the crashes, and reports them to the
// next leader.
//
// # Usage
//
//	h := &hub.Hub{}
//	reply := h.Merge(now, report)            // at the leader
//
//	c := &hub.Client{Endpoint: endpoint}
//	reply, err := c.Exchange(ctx, address, report)
package hub

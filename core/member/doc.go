// Package member maintains each node's view of the others: which nodes are alive,
// which are leaving, and a set of small versioned entries that each node
// distributes to all others, such as the views of the backend servers that it
// owns.
//
// # Method
//
// Failure detection follows SWIM (Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
// In each probe period a node pings one neighbour. If it gets no answer it asks a
// few other nodes to ping that neighbour. If there is still no answer the
// neighbour is suspected, and declared dead unless it refutes the suspicion within
// the suspicion timeout. The cost per node doesn't grow with the number of nodes.
//
// Changes are distributed by epidemic push: each changed record is sent to Fanout
// random neighbours in every gossip period, about Retransmit·log2(n+1) times in
// total. Records that the push misses are found by anti-entropy: in every sync
// period a node exchanges the versions of all records with one random peer. The
// sync period grows with the number of records.
//
// With more than Neighbours nodes, each node has up to that many neighbours: its
// successors in rings that order the names by different hashes. As in random
// regular graphs, paths are short. The number of connections, with their memory
// and the cost of opening them, therefore doesn't grow with the number of nodes.
// Every node is in turn the neighbour of as many nodes.
//
// The membership is not a safe basis for ownership decisions, since the two sides
// of a network partition have different views. Safety relies on leases (see
// core/lease).
//
// # Usage
//
// A State is driven by one goroutine. Time is passed as an argument, and each call
// returns the messages to send:
//
//	s := member.New(self, member.Settings{}, rand.New(rand.NewPCG(seed, 0)))
//	for _, m := range s.Join(now, seeds) { send(m) }
//	for _, m := range s.Tick(now) { send(m) }
//	for _, m := range s.Receive(now, message) { send(m) }
package member

// Package member keeps what the nodes know of each other: which nodes live,
// which leave, and a set of small versioned entries that each node spreads to
// all others, such as the views of the backend servers that it owns.
//
// # Method
//
// Failure detection follows SWIM (Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
// each probe period a node pings one neighbour; if no answer comes it asks a few
// others to ping that peer; if none comes either, the peer is suspected, and
// dead when it has not refuted within the suspicion timeout. The cost a node
// does not grow with the count of nodes.
//
// Changes spread by epidemic push: each changed record is sent to Fanout
// random neighbours every gossip period, about Retransmit·log2(n+1) times in all.
// What push misses is found by anti-entropy: every sync period a node exchanges
// the versions of all records with one random peer. That period grows with the
// count of records.
//
// With more than Neighbours nodes each has just so many neighbours, its
// successors in rings that order the names by different hashes (as in random
// regular graphs, which have short paths), so that connections, and what they
// keep and cost to open, do not grow with the count of nodes. Every node is the
// neighbour of as many.
//
// Nothing here is safe to decide ownership by: a split network has two views.
// Safety rests on leases (see core/lease).
//
// # Usage
//
// A State is driven from one goroutine. Each call returns messages to send;
// time is an argument:
//
//	s := member.New(self, member.Settings{}, rand.New(rand.NewPCG(seed, 0)))
//	for _, m := range s.Join(now, seeds) { send(m) }
//	for _, m := range s.Tick(now) { send(m) }
//	for _, m := range s.Receive(now, message) { send(m) }
package member

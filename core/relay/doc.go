// Package relay decides which nodes of a large fleet pass reports and updates on between the leader and
// the other nodes, and which of them a node uses.
//
// # Method
//
// Up to Sizes.MaxDirect nodes report to the leader directly. In a larger fleet the leader assigns one relay for
// each Sizes.Fanout nodes. A relay sums up the reports of its nodes, sends the sum to the leader as its own report,
// and answers from its own copy of what the leader sends. The leader then has one connection for each relay
// instead of one for each node, and what it sends grows with the number of relays.
//
// Relays are nodes with at least half of the leader's processor capacity, spread over the data centres
// in proportion to their nodes. An assigned relay stays one while it is a candidate, so that few
// nodes change their relay.
//
// A node orders the relays by rendezvous hashing, those in its own data centre first, and uses the first that
// responds. The loss of a relay thus spreads its nodes evenly over the others.
//
// # Usage
//
//	relays := relay.Assign(candidates, assigned, nodesByDataCentre, sizes.Count(nodes, len(assigned)))
//	order := relay.Order(relays, node, dataCentre)
package relay

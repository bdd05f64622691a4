// Package throttle limits the requests of all nodes to one backend server to the
// rate that the server names in its answers.
//
// # Method
//
// A server names a rate in some of its answers for as long as the rate applies.
// Answers may arrive out of order: a rate counts as withdrawn only after an answer
// without a rate to a request that was sent after the rate was last named.
//
// Where a scheduler decides for all nodes, it enforces the rate by a token bucket.
// Where nodes decide on their own they divide time among them: a node may send one
// request in a window that recurs with a period of one window for each node, at a
// phase that each node draws at random. On average one node has its window open at
// a time. Token buckets at the nodes would add up instead: each idle node keeps a
// token, and all of these may be spent at once.
//
// # Usage
//
//	t := throttle.New(rng.Float64())
//	t.Learn(throttle.NewLimit(now, 1.5))    // an answer with a rate
//	t.Learn(throttle.NoLimit(sent))         // an answer without a rate
//
//	if t.GlobalWait(now) == 0 {        // in a scheduler
//		t.Record(now)
//	}
//	share := throttle.Share{Nodes: 8, Fraction: 0.5}
//	if t.LocalWait(now, share) == 0 {  // at a node that decides on its own
//		t.Record(now)
//	}
package throttle

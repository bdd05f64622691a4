// Package throttle keeps the requests of all nodes to one backend server within the rate
// that the server names in its answers.
//
// # Method
//
// A server names a rate in some of its answers, for as long as it holds. Answers overtake
// each other: a rate counts as withdrawn only by an answer to a request that was sent after
// the rate was last named.
//
// Where a scheduler decides for all nodes, a token bucket at the scheduler holds the rate.
// Where nodes decide each by itself they divide time: a node may send one request in a
// window that recurs once for each node, with a phase that each draws at random. On average
// one node has its window open at a time. Buckets at the nodes would add up instead: each
// that has been idle holds a token, and all of them may be spent at once.
//
// # Usage
//
//	t := throttle.New(rng.Float64())
//	t.Learn(throttle.Named(now, 1.5))     // an answer with a rate
//	t.Learn(throttle.Withdrawn(sent))     // an answer without one
//
//	if t.Free(now) == 0 {                 // at the scheduler
//		t.Take(now)
//	}
//	share := throttle.Share{Nodes: 8, Part: 0.5}
//	if t.Opens(now, share) == 0 {         // at a node by itself
//		t.Take(now)
//	}
package throttle

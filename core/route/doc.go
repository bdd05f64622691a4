// Package route chooses the backend server that a request is sent to.
//
// An entry node knows of each server that holds the request's item what its
// owner last said, and what the node itself has sent there since. A Policy
// picks one of these candidates and says why. After a refusal the caller adds
// the server to Request.Exclude and asks again.
//
// # Method
//
// Policy home estimates the wait at each candidate from the view of its owner
// and the node's own requests that the view can't include yet, prefers a
// candidate where the deadline can be met, and of these the least wait. A
// request with a prefix goes to the server that wins the rendezvous hash of the
// prefix, as long as that server has a free slot and is not much busier than
// the mean of all candidates.
//
// Policy direct takes the better of two random candidates by the engine's
// lagging report and the node's own requests in flight (two random choices,
// Mitzenmacher 2001). Policies round-robin and static are baselines.
//
// # Usage
//
//	p, err := route.New("home")
//	c, ok := p.Pick(now, request, candidates, random)
//	if ok { send(candidates[c.Index]) }
//
// A Policy is not safe for concurrent use.
package route

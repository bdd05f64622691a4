// Package route selects the backend server that a request is sent to.
//
// For each server that holds the request's item, an entry node has the last view
// published by the server's owner and the number of requests that the node itself
// has sent since. A Policy picks one of these candidates and returns the reason.
// After a refusal the caller adds the server to Request.Exclude and picks again.
//
// # Method
//
// Policy home estimates the wait at each candidate from the owner's view and the
// node's own requests that the view can't include yet, and picks the candidate
// with the least wait, which is also the one most likely to meet the deadline. A
// request with a prefix goes to the server with the highest rendezvous hash of
// the prefix, as long as that server has a free slot and its load is not much
// above the mean of all candidates.
//
// Policy direct picks the less loaded of two random candidates by the engine's
// delayed report and the node's own requests in flight (power of two choices,
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

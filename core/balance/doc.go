// Package balance decides which backend server gets a request, from a picture
// of all of them that is exact in what the node itself has sent and late in
// everything else.
//
// # Method
//
// The picture keeps for each server the requests that this node has there, in
// two states: pending until the first byte of the answer, then running. What
// other nodes have there comes in digests; what the server says of itself comes
// with its answers. Where they differ the larger count holds: a request that
// is on its way is in no report yet.
//
// The cost of a server is the time until it would begin the request. A model
// engine reads prompts one after the other, so the cost is the prompt tokens
// that are pending there, and the request's own tokens that the engine doesn't
// keep yet, divided by the rate at which it reads. A plain service is judged by
// its requests in flight for each slot. The cost is scaled by how much slower
// than its peers the server has answered lately.
//
// Of Choices servers drawn at random the cheapest is picked (Mitzenmacher 2001,
// "The power of two choices in randomized load balancing"): nodes that act on
// the same late digest would otherwise all pick the same server.
//
// A server that names a rate in its answers gets no more than that (package throttle): all of it
// from a scheduler, a share from nodes that pick by themselves.
//
// A server that failed is avoided for a time that doubles with each failure in
// a row, unless all others are avoided too.
//
// # Usage
//
//	p := balance.New(rand.New(rand.NewPCG(1, 2)))
//	p.Update(now, servers)
//	c, why := p.Pick(now, balance.Request{Service: "drafter", Model: "m1", Tokens: 900})
//	t := p.Sent(now, c.Server.ID, request)
//	p.First(now, t)
//	p.Done(now, t, balance.Good)
//
// A Picture is not safe for concurrent use.
package balance

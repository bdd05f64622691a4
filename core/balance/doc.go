// Package balance picks the backend server for a request. It tracks the load of
// every server: exactly for the requests that this node sent, with a delay for
// everything else.
//
// # Method
//
// For each server the picker counts the requests that this node has there, in
// two states: pending until the first byte of the answer, then running. The
// counts of other nodes come in load reports, and the server's own counts come
// with its answers. Where they differ the larger count is used, because a request
// that is still on its way is in no report yet.
//
// The cost of a server is the estimated time until it starts the request. A model
// engine reads prompts one after the other, so the cost is the number of prompt
// tokens that are pending there, plus the tokens of the request that the engine
// has not cached, divided by the rate at which it reads prompts. For a plain
// service the cost depends on the number of requests in flight for each slot. The
// cost is scaled by how much slower than estimated the server has recently
// answered.
//
// Servers that report their pace with their load are treated in another way: the cost
// is scaled by the estimate of package speed, PickWithin bounds the unread prompt tokens at
// an engine by the time that they take and grants fewer slots of an engine that is much
// slower, and Pick doesn't pick a server that was full by its last report while another
// wasn't.
//
// The cheapest of SampleSize randomly drawn servers is picked (Mitzenmacher 2001,
// "The power of two choices in randomized load balancing"). Otherwise all nodes
// that act on the same delayed load report would pick the same server.
//
// A server that names a rate limit in its answers gets no more than that (package
// throttle): a scheduler may use the whole rate, nodes that pick on their own
// share a fraction of it.
//
// A server that failed is avoided for a time that doubles with each consecutive
// failure, unless all other servers are avoided too.
//
// # Usage
//
//	p := balance.New(rand.New(rand.NewPCG(1, 2)))
//	p.Update(servers)
//	c, reason := p.Pick(now, balance.Request{Service: "drafter", Model: "m1", Tokens: 900})
//	t := p.RecordSent(now, c.Server.ID, request)
//	p.FirstByte(now, t)
//	p.RecordDone(now, t, balance.Succeeded)
//
// A Picker is not safe for concurrent use.
package balance

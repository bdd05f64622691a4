// Package admission decides which of the requests that reach a VM it takes on, so that what it has taken on is done in time.
//
// # Method
//
// A VM that takes on more than its processor or its link can do finishes nothing in time: each request waits behind all others, and so do
// configurations, reports and the ends of connections. A Controller turns a queueing delay into the probability with which a
// request isn't admitted, as PIE does for packets (RFC 8033): the probability rises with the excess of the delay over a
// target, and with the growth of the delay. It holds no capacity, which depends on the VM and on what is asked, only a delay.
//
// RoundTrips estimates the queueing delay of the VM's link from the time that round trips to different peers take, such as the opening of
// connections: those that were completed, are under way, or were given up.
//
// A Limiter combines the controllers of processor and link. What isn't admitted is closed unread, which costs the VM least and lets the client
// try another VM at once. If that is more than is admitted, clients are likely to come back to this VM: the rest is read and rejected
// with a time to come back. Where half isn't admitted, or the link is full of requests, which rejecting them doesn't change, the VM is Saturated and
// gets no new connections.
//
// # Usage
//
//	id := trips.Begin(now, peer)
//	...
//	trips.End(now, id, completed)
//
//	l.Observe(admission.Sample{Processor: schedulingLatency, Link: trips.Delay(now)}) // each 25 ms
//	switch l.Decide(rand.Float64()) {
//	case admission.Close:
//	...
package admission

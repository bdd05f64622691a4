// Package queue decides, for one backend server, which request runs next and
// which is refused.
//
// Waiting requests are ordered by urgency, then by the value of their kind for
// each second of service (Smith 1956), then by deadline. A request that has
// waited long is treated as of the next higher urgency, and one dispatch in
// AgedEvery goes to the one that has waited longest, so that deferrable work
// moves under a constant stream of urgent work.
//
// A request is admitted only if it can end before its deadline by the state of
// the queue: the work ahead of it, what runs, and the service time learned from
// requests that ended. Any other is refused at once, with the time after which
// the same request would have been admitted.
//
// Deferrable work leaves some slots of the server free. Urgent work may take
// the place of running deferrable work: either the engine preempts by priority
// or the dispatch names the request to cancel.
//
// # Method
//
// Waiting entries stand in a treap whose nodes carry the summed service time of
// their subtree, so that the work ahead of an entry is found in O(log n). Two
// heaps give the next entry to expire and the next one to age. With s slots,
// r the shortest remaining time of a running request and w the work ahead, the
// wait is estimated as r + w/s: the first slot is free after r, and from then
// on slots become free s times in a service time.
//
// # Usage
//
//	q := queue.New(queue.Settings{Slots: 8})
//	r := q.Offer(now, queue.Entry{ID: id, Urgency: config.Urgent, Deadline: d, Tokens: 200})
//	if !r.Admitted { refuse(r.Reason, r.RetryAfter) }
//	for d, ok := q.Next(now); ok; d, ok = q.Next(now) { send(d.Entry) }
//	q.Done(id, now, seconds)
//
// After every call that changes the queue, call Next until it has nothing. Call
// Expire at the time that NextExpiry names. A Queue is not safe for concurrent
// use.
package queue

// Package queue decides, for one backend server, which request runs next and
// which is refused.
//
// Waiting requests are ordered by urgency, then by the value of their kind per
// second of service time (Smith 1956), then by deadline. A request that has
// waited for AgeAfter is aged: it is promoted to the next higher urgency, and one
// dispatch in AgingInterval goes to the aged request that has waited longest, so
// that deferrable work makes progress under a constant stream of urgent work.
//
// A request is admitted only if it is estimated to complete before its deadline,
// given the work queued ahead of it, the running requests and the service times
// learned from completed requests. Any other request is refused at once, with
// the time after which the same request would have been admitted.
//
// Deferrable work leaves some slots of the server free. Urgent work may preempt
// running deferrable work: either the engine preempts by priority or the
// dispatch names the request to cancel.
//
// # Method
//
// Waiting entries are kept in a treap whose nodes hold the total service time of
// their subtree, so that the work ahead of an entry is computed in O(log n). Two
// heaps return the next entry to expire and the next one to promote. With s
// slots, r the shortest remaining time of a running request and w the work
// ahead, the wait is estimated as r + w/s: the first slot is free after r, and
// from then on s slots become free per service time.
//
// # Usage
//
//	q := queue.New(queue.Settings{Slots: 8})
//	r := q.Enqueue(now, queue.Entry{ID: id, Urgency: config.Urgent, Deadline: d, Tokens: 200})
//	if !r.Admitted { refuse(r.Reason, r.RetryAfter) }
//	for d, ok := q.Next(now); ok; d, ok = q.Next(now) { send(d.Entry) }
//	q.Done(id, now, seconds)
//
// After every call that changes the queue, call Next until it returns false.
// Call Expire at the time that NextExpiry returns. A Queue is not safe for
// concurrent use.
package queue

// Package call executes calls of plain services: it picks a backend server,
// sends the call and returns the response to the caller.
//
// A call of a repeatable kind is retried within its deadline and the retry
// budget. A call of any other kind runs at most once. With an idempotency key, a
// claim is written before the send, and the response is stored for repeats.
// Without a key, the call is sent once and never retried.
//
// # Usage
//
//	c := &call.Caller{Servers: picker, Backend: client, Claims: store, Retry: retry.Policy{}, Budget: &retry.Budget{}}
//	answer, err := c.Do(ctx, call.Request{...})
//	if err != nil {
//		e := outcome.From(err) // holds the outcome, the reason and the retry delay
//	}
package call

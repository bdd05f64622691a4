// Package call carries out one call of a plain service, from the pick of a
// backend server to the answer that its caller is told.
//
// A call of a repeatable kind is retried within its deadline and the retry
// budget. A call of any other kind runs at most once: with an idempotency key
// a claim is written before the send and its answer is stored for repeats;
// without a key it is sent once and never retried.
//
// # Usage
//
//	c := &call.Caller{Servers: picker, Backend: client, Claims: store, Retry: retry.Policy{}, Budget: &retry.Budget{}}
//	answer, err := c.Do(ctx, call.Request{...})
//	if err != nil {
//		e := outcome.From(err) // tells the outcome, the reason and when to come back
//	}
package call

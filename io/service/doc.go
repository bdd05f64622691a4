// Package service is a client for the backend servers of plain services.
//
// A call that is not repeatable uses a connection of its own, so that it cannot be sent
// twice, neither by this client nor by the Transport of net/http, which replays requests
// with an Idempotency-Key when a reused connection breaks. A repeatable call may reuse a
// connection, unless a call with its id was made before. It is not repeated here either:
// retries are up to the caller of this package.
//
// # Usage
//
//	c := &service.Client{Address: "127.0.0.1:9200"}
//	resp, err := c.Do(ctx, service.Request{Method: "POST", Path: "/bookings/confirm", RequestID: id, IdempotencyKey: key, Body: body})
//	if service.NotRun(err) {
//		// The call certainly did not run.
//	}
package service

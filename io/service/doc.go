// Package service speaks to a backend server of a plain service.
//
// A call that is not repeatable opens a connection of its own, so that neither
// this client nor net/http's Transport, which replays requests with an
// Idempotency-Key on broken reused connections, can send it twice. A call that
// is repeatable may use a connection again and is not repeated either: that is
// for the caller of this package.
//
// # Usage
//
//	c := &service.Client{Address: "127.0.0.1:9200"}
//	resp, err := c.Do(ctx, service.Request{Method: "POST", Path: "/bookings/confirm", RequestID: id, IdempotencyKey: key, Body: body})
//	if service.NotRun(err) {
//		// It certainly did not run.
//	}
package service

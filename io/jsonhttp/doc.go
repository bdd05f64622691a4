// Package jsonhttp implements HTTP/1.1 calls with JSON bodies and reports how far a failed
// call got. The clients of the platform and of backend servers are built on it.
//
// This package never repeats a call. The Transport of net/http replays a request if a reused
// connection breaks and the request has a body that can be read again or an Idempotency-Key
// header. A Client with DisableReuse set opens a new connection for each call, so there is
// nothing to replay. Bodies are always sent without GetBody, so a Client that reuses
// connections replays only calls without a body.
//
// Writes are counted at the connection and not by httptrace, because its WroteHeaders is
// called only after the first part of a large header has been sent. When a call fails, its
// connection is sealed first, so that a byte that was not written by then is never written.
// This does not depend on when the transport itself closes the connection of a cancelled
// call.
//
// The package uses net/http and not nbhttp because the client of nbhttp delivers only
// complete bodies, and streams must be read as they arrive.
//
// # Usage
//
//	c := &jsonhttp.Client{Address: "127.0.0.1:9000"}
//	var out row.Result
//	resp, err := c.JSON(ctx, http.MethodPost, "/table/v1/transact", tx, &out)
//	var e *jsonhttp.Error
//	if errors.As(err, &e) && e.Stage == jsonhttp.NotSent {
//		// The server has not received any part of the call.
//	}
package jsonhttp

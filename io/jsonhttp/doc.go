// Package jsonhttp makes single HTTP/1.1 calls with JSON bodies and tells how
// far a failed call got. The clients of the platform and of backend servers
// are built on it.
//
// A call is never repeated by this package. A Client with Fresh set opens a
// new connection for each call, so that net/http's Transport, which replays a
// request when a reused connection breaks and the request has a body that can
// be read again or an Idempotency-Key header, has nothing to replay. A body is
// always sent without GetBody, so a Client that reuses connections replays
// nothing but calls without a body.
//
// Whether a byte was written is counted at the connection and not by
// httptrace: its WroteHeaders comes after the first part of a large header has
// left. When a call fails the connection is sealed first, so a byte that was
// not written by then never will be; that does not rest on when the transport
// itself closes the connection of a call that was given up.
//
// The package stands on net/http and not on nbhttp because the client of
// nbhttp hands over whole bodies only, and streams have to be read as they
// come.
//
// # Usage
//
//	c := &jsonhttp.Client{Address: "127.0.0.1:9000"}
//	var out row.Result
//	status, err := c.JSON(ctx, http.MethodPost, "/table/v1/transact", tx, &out)
//	var e *jsonhttp.Error
//	if errors.As(err, &e) && e.Stage == jsonhttp.NotSent {
//		// The server has not seen the call.
//	}
package jsonhttp

// Package gateway serves requests: it finds the route, picks a backend server,
// sends the request there directly, and forwards the response.
//
// # Life of a request
//
//  1. Match the route in the configuration in force.
//  2. Pick a server with the picker (core/balance), which tracks the load of all
//     servers. If no server holds the model, report the demand to the leader and
//     wait until a server holds it, or until it is known that none will in time.
//  3. Send the request with the expected incarnation, the remaining time until
//     the deadline and the route's urgency.
//  4. Classify the response: complete, refused as not run, or unknown whether
//     the request ran.
//  5. Retry at another server where that is allowed: always after a refusal or
//     if no byte was written; if it is unknown whether the request ran, only on
//     routes that are repeatable. Every retry counts against the retry budget.
//
// A response is matched to its request by its place on the connection and the
// request's id, which is the same in every send. So each send of a request goes
// over another connection: the server may send its earlier response again.
//
// A response ends with its length, its last chunk, or, with neither, its connection.
// One whose connection is reset or times out before was broken off, as was a stream
// that ends inside an event, however it was framed. A plain response that was broken
// off isn't forwarded.
//
// A stream is forwarded as it arrives. On resumable routes only complete events
// are forwarded, and a stream that breaks continues at another server after the
// last event. On others the client's connection ends without the last chunk.
//
// A node reports the requests that were in flight at servers that crashed, or that it had given up shortly before, and which responses were sound.
// Requests that match a block, which the leader decides from that (core/poison), are refused before each send: copies of one
// that crashes servers, and those with a part of a prompt that does.
//
// Statuses that promise that a request hasn't run (429 and 503) are only sent if
// no server may have run it; otherwise the status is 502 or 504.
//
// # Usage
//
//	g := &gateway.Gateway{Pool: &http1.Pool{}, Log: log, Zone: "dc1", ...}
//	g.Run(picker)
//	server := &http1.Server{Handler: g}
package gateway

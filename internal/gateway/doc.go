// Package gateway serves requests: it finds the route, picks a backend server,
// sends the request there directly, and passes the answer on.
//
// # The way of a request
//
//  1. Match the route in the configuration in force.
//  2. Pick a server by the picture of all servers (core/balance). If none holds
//     the model, tell the holder of the lease and wait until one does, or until
//     it is known that none will in time.
//  3. Send it with the incarnation that is expected, what is left of the
//     deadline and the route's urgency.
//  4. Judge the answer: whole, refused as not run, or of unknown fate.
//  5. Send it again elsewhere where that is allowed: after a refusal or before
//     a byte was written always, after an unknown fate only where the route may
//     be repeated; each time within the budget for repeats.
//
// A stream is passed on event by event. Where the route may be resumed, only
// whole events are passed on, and one that breaks goes on at another server
// after the last event.
//
// Statuses that promise that a request hasn't run (429 and 503) are only given
// when no server may have run it; otherwise 502 or 504 is.
//
// # Usage
//
//	g := &gateway.Gateway{Pool: &http1.Pool{}, Picture: picture, Log: log, Zone: "dc1"}
//	server := &http1.Server{Handler: g}
package gateway

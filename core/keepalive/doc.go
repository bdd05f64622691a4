// Package keepalive decides how long an idle connection to a server may be used again.
//
// # Method
//
// The time that a server states for idle connections is used, less a margin for the network delay. Where it states none the time
// is learned: it falls to a part of the idle time at which the server was found to have closed a connection, and grows while
// connections that were idle for most of it are found open (additive-increase schemes recover too slowly here, as a server ends and
// closes its connections for reasons of its own).
//
// A request that must not run twice uses only a share of the time: the longer a connection was idle, the likelier the server closes
// it as the request arrives, which leaves unknown whether it ran.
//
// # Usage
//
//	var e keepalive.Estimate
//	limit := e.Limit()                        // if the server states nothing
//	limit, ok := keepalive.Stated(fields)     // otherwise
//	e = e.WithOpen(idle)                      // it was open after a time
//	e = e.WithClosed(idle)                    // the server had closed it
package keepalive

// Package turns decides when callers that were refused for lack of room may come back, and what standing
// they have when they do.
//
// # Load
//
// For some seconds more requests arrive than can start. Refused callers that come back into the same overload
// are refused again. Callers that ignore the time they were given, or send copies, must not gain by it.
//
// # Method
//
// A calendar keeps a schedule of returns for each item. A refused caller gets the first turn at which its
// return can start: turns follow each other at the rate at which returns start, so that they are spread and
// don't meet. The rate is the caller's matter; a share of the recent rate of starts is suitable. The
// first turn isn't before the time at which room is expected. A caller for which no turn is left in
// the time that it can wait gets no promise, and the longest delay; it is recognized when it comes back all the same, since
// it is late by then.
//
// A return is recognized by its key. In the window of its turn it is Kept: it has the standing of its first
// arrival. A promise is for one return: a copy uses it up. A return before its window is Early and loses its
// promise. The schedule shrinks with the rate: if less starts than when the turns were
// promised, the returns beyond the rate are Displaced, and are ordered like others that arrive then. This is the
// generic cell rate algorithm (ITU-T I.371), once for promises and once for returns.
//
// The refused requests that are remembered are bounded in number and expire with their windows.
//
// # Usage
//
//	var c turns.Calendar[string]
//	after, ok := c.Promise(now, "model", key, turns.Offer{First: arrived, Earliest: time.Second, Latest: 4 * time.Second, PerSecond: 5})
//	t := c.Return(now, "model", key, 5)
//	if t.Standing == turns.Kept { order by t.First }
//
// A Calendar is not safe for concurrent use.
package turns

// Package throttle keeps the requests of all nodes to one backend server within the rate
// that the server names in its answers.
//
// # Method
//
// A server names a rate in some of its answers, for as long as it holds. Answers overtake
// each other: a rate counts as withdrawn only by an answer to a request that was sent after
// the rate was last named.
//
// # Usage
//
//	var t throttle.Throttle
//	t.Learn(throttle.Named(now, 1.5))     // an answer with a rate
//	t.Learn(throttle.Withdrawn(sent))     // an answer without one
package throttle

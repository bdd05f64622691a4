// Package outcome names how a request ended and why.
//
// Every answer that guavapaddle gives carries exactly one Outcome, and every
// answer other than Done carries a Reason. The two are the vocabulary of the
// logs, of the counters and of the headers that a caller sees.
//
// # Usage
//
// Code that ends a request returns an *Error, which carries the outcome, the
// reason, a detail for people and, for refusals, when to come back:
//
//	return outcome.Refuse(outcome.QueueFull, "12 requests ahead", 800*time.Millisecond)
//
// RefusedNotRun may only be used when no byte of the request was written to
// any backend connection, or when every backend server that got the request
// affirmed that it did not run it. When in doubt the outcome is Unknown.
package outcome

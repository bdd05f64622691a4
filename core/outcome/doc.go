// Package outcome defines how a request ended and why.
//
// Every answer of guavapaddle has exactly one Outcome, and every answer with an
// outcome other than Done has a Reason. Logs, metrics and the headers returned to
// callers use the same values.
//
// # Usage
//
// Code that ends a request returns an *Error with the outcome, the reason, an
// optional human-readable detail and, for refusals, a retry delay:
//
//	return outcome.Refuse(outcome.QueueFull, "12 requests ahead", 800*time.Millisecond)
//
// RefusedNotRun may be used only if no byte of the request was written to any
// backend connection, or if every backend server that received the request
// confirmed that it did not run it. In case of doubt the outcome is Unknown.
package outcome

// Package trace holds the latest events of requests in memory, so that operators
// can query what a node decided about a request.
//
// A Recorder holds a bounded number of events in a ring buffer and overwrites the
// oldest first. Events must not contain any part of a request's body or key.
//
// # Usage
//
//	r := &trace.Recorder{Node: "n1"}
//	r.Add(requestID, "admitted", trace.String("model", "drafter"))
//	explanation, ok := r.Explain(requestID)
package trace

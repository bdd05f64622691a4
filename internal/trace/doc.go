// Package trace keeps the last events of requests in memory, so that operators
// can ask a node what was decided about one request.
//
// A Recorder holds a bounded number of events in a ring; the oldest are
// forgotten first. Nothing of a request's body or key may be recorded.
//
// # Usage
//
//	r := &trace.Recorder{Node: "n1"}
//	r.Add(requestID, "admitted", trace.String("model", "drafter"))
//	explanation, ok := r.Explain(requestID)
package trace
